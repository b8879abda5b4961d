//! A fake of the users' store: items, watches, transactions and leases.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures::FutureExt;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;

use crate::Body;
use crate::Server;
use crate::full_body;
use crate::http::empty_response;

use super::query::Query;

/// Faults of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// Works normally.
    #[default]
    None,
    /// Responds 503 to every call.
    Busy,
    /// Closes the connection on every call.
    Reset,
    /// Accepts calls but never responds.
    Silent,
    /// Answers each call with a body without end.
    EndlessBody,
    /// Names a further page after each page of a range, and answers with the first one again.
    EndlessPages,
}

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    lease: u64,
}

/// Contents of the store at one time.
#[derive(Clone)]
struct Copy {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, (Instant, Duration)>,
}

#[derive(Default)]
struct StoreData {
    /// Number of times that the store was restored from a copy.
    era: u64,
    copy: Option<Copy>,
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<(u64, Value)>,
    /// Revision of the last compaction. Watches that resume from an earlier one get
    /// 410, as their events are no longer stored.
    compacted_revision: u64,
    leases: HashMap<u64, (Instant, Duration)>,
    fault: StoreFault,
}

impl StoreData {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let item = Item {
            value,
            revision,
            lease,
        };
        self.events.push((revision, item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = json!({"key": key, "revision": self.revision, "deleted": true});
            self.events.push((self.revision, event));
        }
    }

    fn remove_expired_items(&mut self) {
        let now = Instant::now();
        let live = |lease: &u64| {
            self.leases
                .get(lease)
                .is_some_and(|(since, ttl)| now.duration_since(*since) < *ttl)
        };
        let expired = self.items.iter();
        let expired = expired.filter(|(_, item)| item.lease != 0 && !live(&item.lease));
        let expired: Vec<String> = expired.map(|(key, _)| key.clone()).collect();
        for key in expired {
            self.remove(&key);
        }
    }
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({
        "key": key,
        "value": STANDARD.encode(&item.value),
        "revision": item.revision,
        "lease": item.lease,
    })
}

fn endless_response() -> Response<Body> {
    let chunk = || Ok(Frame::data(Bytes::from_static(&[b' '; 4_096])));
    let body = StreamBody::new(futures::stream::repeat_with(chunk));
    Response::new(BodyExt::boxed(body))
}

struct State {
    data: Mutex<StoreData>,
    changed: Notify,
    calls: AtomicU64,
}

/// A fake of the users' store, served over HTTP.
pub struct UsersStore {
    state: Arc<State>,
    server: Server,
}

impl UsersStore {
    /// Starts an empty store at `address`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let state = Arc::new(State {
            data: Mutex::default(),
            changed: Notify::new(),
            calls: AtomicU64::new(0),
        });
        state.data.lock().revision = 100;
        let shared = state.clone();
        let handler = Arc::new(move |request| handle_request(shared.clone(), request).boxed());
        let server = Server::bind(address, handler).await?;
        Ok(Self { state, server })
    }

    /// Address that the server is bound to.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Writes an item as JSON, without a lease.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().into_bytes());
    }

    /// Writes an item that need not be valid JSON, without a lease.
    pub fn put_bytes(&self, key: &str, value: Vec<u8>) {
        self.state.data.lock().put(key, value, 0);
        self.state.changed.notify_waiters();
    }

    /// Deletes an item.
    pub fn remove(&self, key: &str) {
        self.state.data.lock().remove(key);
        self.state.changed.notify_waiters();
    }

    /// Sets the fault for all later calls and for watches that are waiting.
    pub fn set_fault(&self, fault: StoreFault) {
        self.state.data.lock().fault = fault;
        self.state.changed.notify_waiters();
    }

    /// Drops the event history, so that watchers have to list the items again.
    pub fn compact(&self) {
        let mut data = self.state.data.lock();
        data.events.clear();
        data.compacted_revision = data.revision + 1;
        data.revision += 1;
        drop(data);
        self.state.changed.notify_waiters();
    }

    /// Takes a copy of the contents for [`UsersStore::restore`].
    pub fn take_copy(&self) {
        let mut data = self.state.data.lock();
        data.copy = Some(Copy {
            revision: data.revision,
            items: data.items.clone(),
            leases: data.leases.clone(),
        });
    }

    /// Restores the contents of the last copy. Later changes are lost, and their revisions are
    /// given out again.
    pub fn restore(&self) {
        let mut data = self.state.data.lock();
        if let Some(copy) = data.copy.clone() {
            data.era += 1;
            data.events.clear();
            data.compacted_revision = copy.revision;
            data.revision = copy.revision;
            data.items = copy.items;
            data.leases = copy.leases;
        }
        drop(data);
        self.state.changed.notify_waiters();
    }

    /// Number of calls received so far, failed ones included.
    pub fn calls(&self) -> u64 {
        self.state.calls.load(Ordering::Relaxed)
    }
}

async fn handle_request(
    state: Arc<State>,
    request: Request<Incoming>,
) -> io::Result<Response<Body>> {
    let mut response = handle_call(state.clone(), request).await?;
    let era = state.data.lock().era;
    response.headers_mut().insert("store-era", era.into());
    Ok(response)
}

async fn handle_call(state: Arc<State>, request: Request<Incoming>) -> io::Result<Response<Body>> {
    state.calls.fetch_add(1, Ordering::Relaxed);
    let fault = state.data.lock().fault;
    match fault {
        StoreFault::None | StoreFault::EndlessPages => {}
        StoreFault::EndlessBody => return Ok(endless_response()),
        StoreFault::Busy => return empty_response(StatusCode::SERVICE_UNAVAILABLE),
        StoreFault::Reset => return Err(io::Error::other("store fault: connection reset")),
        StoreFault::Silent => return std::future::pending().await,
    }
    state.data.lock().remove_expired_items();
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let Some(query) = Query::parse(request.uri().query().unwrap_or("")) else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let body = request.into_body().collect().await;
    let body = body.map_err(io::Error::other)?.to_bytes();
    match (method, path.as_str()) {
        (Method::GET, "/sniperun/kv-range") => list_items(&state, &query),
        (Method::GET, "/sniperun/kv-key") => read_item(&state, &query),
        (Method::GET, "/sniperun/kv-watch") => watch(&state, &query).await,
        (Method::POST, "/sniperun/kv-lease") => grant_lease(&state, &body),
        (Method::POST, "/sniperun/kv-txn") => apply_transaction(&state, &body),
        (Method::POST, path) => match path.strip_prefix("/sniperun/kv-keep/") {
            Some(id) => renew_lease(&state, id),
            None => empty_response(StatusCode::NOT_FOUND),
        },
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

fn list_items(state: &State, query: &Query) -> io::Result<Response<Body>> {
    let data = state.data.lock();
    let prefix = query.text("pathPrefix");
    let is_endless = data.fault == StoreFault::EndlessPages;
    let after = if is_endless { "" } else { query.text("after") };
    let matching = data.items.iter();
    let matching = matching.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
    let items: Vec<Value> = matching.map(|(key, item)| item_json(key, item)).collect();
    // Two items per page, so that every longer listing exercises paging.
    let page: Vec<Value> = items.iter().take(2).cloned().collect();
    let has_more = is_endless || items.len() > page.len();
    json_response(&json!({"items": page, "hasMore": has_more, "asOf": data.revision}))
}

fn read_item(state: &State, query: &Query) -> io::Result<Response<Body>> {
    let data = state.data.lock();
    let key = query.text("key");
    match data.items.get(key) {
        Some(item) => {
            let mut body = item_json(key, item);
            body["asOf"] = json!(data.revision);
            json_response(&body)
        }
        None => empty_response(StatusCode::NOT_FOUND),
    }
}

async fn watch(state: &State, query: &Query) -> io::Result<Response<Body>> {
    let prefix = query.text("pathPrefix");
    let after = query.number("after");
    let wait = Duration::from_millis(query.number("waitMs"));
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        let changed = state.changed.notified();
        let fault = state.data.lock().fault;
        match fault {
            StoreFault::None | StoreFault::EndlessPages | StoreFault::EndlessBody => {}
            StoreFault::Silent => return std::future::pending().await,
            StoreFault::Busy | StoreFault::Reset => return Err(io::Error::other("watch aborted")),
        }
        let found = {
            let data = state.data.lock();
            if after < data.compacted_revision || after > data.revision {
                return empty_response(StatusCode::GONE);
            }
            let events = data.events.iter().filter(|(revision, event)| {
                let key = event["key"].as_str().unwrap_or("");
                *revision > after && key.starts_with(prefix)
            });
            let events: Vec<Value> = events.map(|(_, event)| event.clone()).collect();
            (events, data.revision)
        };
        let has_timed_out = tokio::time::Instant::now() >= deadline;
        if !found.0.is_empty() || has_timed_out {
            return json_response(&json!({"events": found.0, "asOf": found.1}));
        }
        let _ = tokio::time::timeout_at(deadline, changed).await;
    }
}

fn grant_lease(state: &State, body: &Bytes) -> io::Result<Response<Body>> {
    let body: Value = serde_json::from_slice(body).map_err(io::Error::other)?;
    let text = body["ttl_time"].as_str().unwrap_or("").to_owned();
    let ttl_ms: u64 = match text.trim_end_matches("ms").parse() {
        Ok(ttl_ms) => ttl_ms,
        Err(_) => return empty_response(StatusCode::BAD_REQUEST),
    };
    let mut data = state.data.lock();
    let id = 1_000 + data.leases.len() as u64;
    let ttl = Duration::from_millis(ttl_ms);
    data.leases.insert(id, (Instant::now(), ttl));
    json_response(&json!({"lease": id, "ttl_time": text}))
}

fn renew_lease(state: &State, id: &str) -> io::Result<Response<Body>> {
    let mut data = state.data.lock();
    let id: u64 = id.parse().unwrap_or(0);
    match data.leases.get_mut(&id) {
        Some((since, ttl)) if since.elapsed() < *ttl => {
            *since = Instant::now();
            let ttl_ms = ttl.as_millis();
            json_response(&json!({"ttl_time": format!("{ttl_ms}ms")}))
        }
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

fn apply_transaction(state: &State, body: &Bytes) -> io::Result<Response<Body>> {
    let body: Value = serde_json::from_slice(body).map_err(io::Error::other)?;
    let mut data = state.data.lock();
    for write in body["writes"].as_array().into_iter().flatten() {
        let key = write["key"].as_str().unwrap_or("");
        let lease = write["lease"].as_u64().unwrap_or(0);
        if lease != 0 && !data.leases.contains_key(&lease) {
            return empty_response(StatusCode::NOT_FOUND);
        }
        let value = STANDARD
            .decode(write["value"].as_str().unwrap_or(""))
            .map_err(io::Error::other)?;
        data.put(key, value, lease);
    }
    let revision = data.revision;
    drop(data);
    state.changed.notify_waiters();
    json_response(&json!({ "revision": revision }))
}

fn json_response(body: &Value) -> io::Result<Response<Body>> {
    Ok(Response::new(full_body(body.to_string())))
}
