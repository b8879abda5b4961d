//! A fake of the users' store: items, watches, transactions, leases.

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
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;

use crate::Body;
use crate::Server;
use crate::full;
use crate::http::status;

/// How the store behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// As it should.
    #[default]
    None,
    /// It answers 503 to everything.
    Busy,
    /// It closes each connection.
    Reset,
    /// It never answers.
    Silent,
}

struct Item {
    value: Vec<u8>,
    revision: u64,
    lease: u64,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<(u64, Value)>,
    /// Revision after which the history is known.
    history_from: u64,
    leases: HashMap<u64, (Instant, Duration)>,
    fault: StoreFault,
}

impl Data {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let item = Item {
            value,
            revision,
            lease,
        };
        self.events.push((revision, shown(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = json!({"key": key, "revision": self.revision, "deleted": true});
            self.events.push((self.revision, event));
        }
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let live = |lease: &u64| {
            self.leases
                .get(lease)
                .is_some_and(|(since, ttl)| now.duration_since(*since) < *ttl)
        };
        let over = self.items.iter();
        let over = over.filter(|(_, item)| item.lease != 0 && !live(&item.lease));
        let over: Vec<String> = over.map(|(key, _)| key.clone()).collect();
        for key in over {
            self.remove(&key);
        }
    }
}

fn shown(key: &str, item: &Item) -> Value {
    json!({
        "key": key,
        "value": STANDARD.encode(&item.value),
        "revision": item.revision,
        "lease": item.lease,
    })
}

struct State {
    data: Mutex<Data>,
    changed: Notify,
    calls: AtomicU64,
}

/// A fake of the users' store.
pub struct UsersStore {
    state: Arc<State>,
    server: Server,
}

impl UsersStore {
    /// Serves at `address`.
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
        let handler = Arc::new(move |request| answer(shared.clone(), request).boxed());
        let server = Server::bind(address, handler).await?;
        Ok(Self { state, server })
    }

    /// The address served at.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Writes an item as the operator or a target does.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().into_bytes());
    }

    /// Writes any bytes.
    pub fn put_bytes(&self, key: &str, value: Vec<u8>) {
        self.state.data.lock().put(key, value, 0);
        self.state.changed.notify_waiters();
    }

    /// Deletes an item.
    pub fn remove(&self, key: &str) {
        self.state.data.lock().remove(key);
        self.state.changed.notify_waiters();
    }

    /// Changes the behaviour from now on.
    pub fn set_fault(&self, fault: StoreFault) {
        self.state.data.lock().fault = fault;
        self.state.changed.notify_waiters();
    }

    /// Forgets the history, so that watches must read anew.
    pub fn compact(&self) {
        let mut data = self.state.data.lock();
        data.events.clear();
        data.history_from = data.revision + 1;
        data.revision += 1;
        drop(data);
        self.state.changed.notify_waiters();
    }

    /// Calls answered or refused so far.
    pub fn calls(&self) -> u64 {
        self.state.calls.load(Ordering::Relaxed)
    }
}

async fn answer(state: Arc<State>, request: Request<Incoming>) -> io::Result<Response<Body>> {
    state.calls.fetch_add(1, Ordering::Relaxed);
    let fault = state.data.lock().fault;
    match fault {
        StoreFault::None => {}
        StoreFault::Busy => return status(StatusCode::SERVICE_UNAVAILABLE),
        StoreFault::Reset => return Err(io::Error::other("reset")),
        StoreFault::Silent => return std::future::pending().await,
    }
    state.data.lock().end_leases();
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let query = query(request.uri().query().unwrap_or(""));
    let body = request.into_body().collect().await;
    let body = body.map_err(io::Error::other)?.to_bytes();
    match (method, path.as_str()) {
        (Method::GET, "/sniperun/kv-range") => range(&state, &query),
        (Method::GET, "/sniperun/kv-key") => item(&state, &query),
        (Method::GET, "/sniperun/kv-watch") => watch(&state, &query).await,
        (Method::POST, "/sniperun/kv-lease") => lease(&state, &body),
        (Method::POST, "/sniperun/kv-txn") => transaction(&state, &body),
        (Method::POST, path) => match path.strip_prefix("/sniperun/kv-keep/") {
            Some(id) => renew(&state, id),
            None => status(StatusCode::NOT_FOUND),
        },
        _ => status(StatusCode::NOT_FOUND),
    }
}

fn query(text: &str) -> HashMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

fn range(state: &State, query: &HashMap<String, String>) -> io::Result<Response<Body>> {
    let data = state.data.lock();
    let prefix = query.get("pathPrefix").cloned().unwrap_or_default();
    let after = query.get("after").cloned().unwrap_or_default();
    let inside = data.items.iter();
    let inside = inside.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
    let items: Vec<Value> = inside.map(|(key, item)| shown(key, item)).collect();
    // Small pages, so that paging is always played.
    let page: Vec<Value> = items.iter().take(2).cloned().collect();
    let more = items.len() > page.len();
    reply(&json!({"items": page, "hasMore": more, "asOf": data.revision}))
}

fn item(state: &State, query: &HashMap<String, String>) -> io::Result<Response<Body>> {
    let data = state.data.lock();
    let key = query.get("key").cloned().unwrap_or_default();
    match data.items.get(&key) {
        Some(item) => {
            let mut answer = shown(&key, item);
            answer["asOf"] = json!(data.revision);
            reply(&answer)
        }
        None => status(StatusCode::NOT_FOUND),
    }
}

async fn watch(state: &State, query: &HashMap<String, String>) -> io::Result<Response<Body>> {
    let number = |name: &str| -> u64 {
        let text = query.get(name);
        text.and_then(|text| text.parse().ok()).unwrap_or(0)
    };
    let prefix = query.get("pathPrefix").cloned().unwrap_or_default();
    let (after, wait) = (number("after"), Duration::from_millis(number("waitMs")));
    let until = tokio::time::Instant::now() + wait;
    loop {
        let changed = state.changed.notified();
        let fault = state.data.lock().fault;
        match fault {
            StoreFault::None => {}
            StoreFault::Silent => return std::future::pending().await,
            StoreFault::Busy | StoreFault::Reset => return Err(io::Error::other("cut")),
        }
        let found = {
            let data = state.data.lock();
            if after < data.history_from {
                return status(StatusCode::GONE);
            }
            let events = data.events.iter().filter(|(revision, event)| {
                let key = event["key"].as_str().unwrap_or("");
                *revision > after && key.starts_with(&prefix)
            });
            let events: Vec<Value> = events.map(|(_, event)| event.clone()).collect();
            (events, data.revision)
        };
        let over = tokio::time::Instant::now() >= until;
        if !found.0.is_empty() || over {
            return reply(&json!({"events": found.0, "asOf": found.1}));
        }
        let _ = tokio::time::timeout_at(until, changed).await;
    }
}

fn lease(state: &State, body: &Bytes) -> io::Result<Response<Body>> {
    let body: Value = serde_json::from_slice(body).map_err(io::Error::other)?;
    let text = body["ttl_time"].as_str().unwrap_or("").to_owned();
    let ttl_ms: u64 = match text.trim_end_matches("ms").parse() {
        Ok(ttl_ms) => ttl_ms,
        Err(_) => return status(StatusCode::BAD_REQUEST),
    };
    let mut data = state.data.lock();
    let id = 1_000 + data.leases.len() as u64;
    let ttl = Duration::from_millis(ttl_ms);
    data.leases.insert(id, (Instant::now(), ttl));
    reply(&json!({"lease": id, "ttl_time": text}))
}

fn renew(state: &State, id: &str) -> io::Result<Response<Body>> {
    let mut data = state.data.lock();
    let id: u64 = id.parse().unwrap_or(0);
    match data.leases.get_mut(&id) {
        Some((since, ttl)) if since.elapsed() < *ttl => {
            *since = Instant::now();
            let ttl_ms = ttl.as_millis();
            reply(&json!({"ttl_time": format!("{ttl_ms}ms")}))
        }
        _ => status(StatusCode::NOT_FOUND),
    }
}

fn transaction(state: &State, body: &Bytes) -> io::Result<Response<Body>> {
    let body: Value = serde_json::from_slice(body).map_err(io::Error::other)?;
    let mut data = state.data.lock();
    for write in body["writes"].as_array().into_iter().flatten() {
        let key = write["key"].as_str().unwrap_or("");
        let lease = write["lease"].as_u64().unwrap_or(0);
        if lease != 0 && !data.leases.contains_key(&lease) {
            return status(StatusCode::NOT_FOUND);
        }
        let value = STANDARD
            .decode(write["value"].as_str().unwrap_or(""))
            .map_err(io::Error::other)?;
        data.put(key, value, lease);
    }
    let revision = data.revision;
    drop(data);
    state.changed.notify_waiters();
    reply(&json!({ "revision": revision }))
}

fn reply(body: &Value) -> io::Result<Response<Body>> {
    Ok(Response::new(full(body.to_string())))
}
