//! A stand-in for the platform's store, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http::Channel;
use crate::http::Message;
use crate::json::Json;

#[derive(Clone)]
struct Item {
    /// The value in Base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key and JSON of each change.
    events: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

pub struct Store {
    is_down: AtomicBool,
    data: Mutex<Data>,
    changed: Condvar,
    pub address: SocketAddr,
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for place in 0..4 {
            match place <= chunk.len() {
                true => text.push(char::from(ALPHABET[(word >> (18 - 6 * place)) as usize & 63])),
                false => text.push('='),
            }
        }
    }
    text
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"createRevision\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

impl Data {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.events.push((revision, key.to_owned(), item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            let event = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}");
            self.events.push((revision, key.to_owned(), event));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let leases = &self.leases;
        let is_live = |lease: &u64| leases.get(lease).is_some_and(|(since, ttl)| now < *since + *ttl);
        let expired = self.items.iter().filter(|(_, item)| item.lease != 0 && !is_live(&item.lease));
        let expired: Vec<String> = expired.map(|(key, _)| key.clone()).collect();
        for key in expired {
            self.remove(&key);
        }
    }
}

fn query(path: &str, name: &str) -> Option<String> {
    let (_, text) = path.split_once('?')?;
    let mut pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
}

fn milliseconds(text: &str) -> Option<u64> {
    match text.strip_suffix("ms") {
        Some(number) => number.parse().ok(),
        None => text.strip_suffix('s')?.parse::<f64>().ok().map(|seconds| (seconds * 1e3) as u64),
    }
}

impl Store {
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("the store's address is taken");
        let address = listener.local_addr().expect("no address");
        let data = Data { revision: 100, next_lease: 1_000, ..Data::default() };
        let store = Arc::new(Self { is_down: AtomicBool::new(false), data: Mutex::new(data), changed: Condvar::new(), address });
        let shared = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                std::thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        store
    }

    /// While it is down, the store answers each call with 503 and does nothing.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
        self.changed.notify_all();
    }

    /// Writes an item as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        self.data.lock().unwrap().put(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut channel = Channel::new(stream);
        while let Some(message) = channel.request()? {
            let (status, body) = self.answer(&message);
            let text = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\nstore-era: 1\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            channel.stream.write_all(text.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, message: &Message) -> (u16, String) {
        let method = message.word(0).to_owned();
        let target = message.word(1).to_owned();
        let path = target.split('?').next().unwrap_or("");
        let body = Json::parse(&String::from_utf8_lossy(&message.body));
        if self.is_down.load(Ordering::Relaxed) {
            return (503, String::from("{}"));
        }
        let mut data = self.data.lock().unwrap();
        data.expire();
        match (method.as_str(), path) {
            ("GET", "/sniperun/kv-key") => {
                let key = query(&target, "key").unwrap_or_default();
                match data.items.get(&key) {
                    Some(item) => {
                        let text = item_json(&key, item);
                        (200, format!("{},\"asOf\":{}}}", &text[..text.len() - 1], data.revision))
                    }
                    None => (404, String::from("{}")),
                }
            }
            ("GET", "/sniperun/kv-range") => {
                let prefix = query(&target, "pathPrefix").unwrap_or_default();
                let after = query(&target, "after").unwrap_or_default();
                let items = data.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
                let more = items.len() > 500;
                let page = items[..items.len().min(500)].join(",");
                (200, format!("{{\"items\":[{page}],\"hasMore\":{more},\"asOf\":{}}}", data.revision))
            }
            ("GET", "/sniperun/kv-watch") => {
                let prefix = query(&target, "pathPrefix").unwrap_or_default();
                let number = |name: &str| query(&target, name).and_then(|text| text.parse::<u64>().ok());
                let after = number("after").unwrap_or(0);
                let deadline = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
                loop {
                    let events = data.events.iter().filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
                    let events: Vec<String> = events.map(|(_, _, text)| text.clone()).collect();
                    if self.is_down.load(Ordering::Relaxed) {
                        return (503, String::from("{}"));
                    }
                    let left = deadline.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        return (200, format!("{{\"events\":[{}],\"asOf\":{}}}", events.join(","), data.revision));
                    }
                    data = self.changed.wait_timeout(data, left.min(Duration::from_millis(200))).unwrap().0;
                    data.expire();
                }
            }
            ("POST", "/sniperun/kv-lease") => {
                let ttl = body.as_ref().and_then(|body| milliseconds(body.get("ttl_time")?.text()?));
                let Some(ttl) = ttl else {
                    return (400, String::from("{}"));
                };
                data.next_lease += 1;
                let lease = data.next_lease;
                data.leases.insert(lease, (Instant::now(), Duration::from_millis(ttl)));
                (200, format!("{{\"lease\":{lease},\"ttl_time\":\"{ttl}ms\"}}"))
            }
            ("POST", "/sniperun/kv-txn") => {
                let Some(body) = body else {
                    return (400, String::from("{}"));
                };
                let expects = body.get("expect").map(|rows| rows.list().to_vec()).unwrap_or_default();
                let is_met = expects.iter().all(|row| {
                    let key = row.get("key").and_then(Json::text).unwrap_or("");
                    let revision = row.get("revision").and_then(Json::number).unwrap_or(0);
                    data.items.get(key).map_or(0, |item| item.revision) == revision
                });
                if !is_met {
                    return (412, String::from("{\"items\":[]}"));
                }
                let writes = body.get("writes").map(|rows| rows.list().to_vec()).unwrap_or_default();
                for write in &writes {
                    let lease = write.get("lease").and_then(Json::number).unwrap_or(0);
                    if lease != 0 && !data.leases.contains_key(&lease) {
                        return (404, String::from("{}"));
                    }
                }
                for write in &writes {
                    let key = write.get("key").and_then(Json::text).unwrap_or("").to_owned();
                    if key.starts_with("op/") || key.starts_with("servers/") {
                        return (403, String::from("{}"));
                    }
                    let value = write.get("value").and_then(Json::text).unwrap_or("").to_owned();
                    let lease = write.get("lease").and_then(Json::number).unwrap_or(0);
                    data.put(&key, value, lease);
                }
                let deletes = body.get("deletes").map(|rows| rows.list().to_vec()).unwrap_or_default();
                for key in &deletes {
                    data.remove(key.text().unwrap_or(""));
                }
                self.changed.notify_all();
                (200, format!("{{\"revision\":{}}}", data.revision))
            }
            ("POST", path) if path.starts_with("/sniperun/kv-keep/") => {
                let id: u64 = path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
                match data.leases.get_mut(&id) {
                    Some((since, ttl)) if since.elapsed() < *ttl => {
                        *since = Instant::now();
                        (200, format!("{{\"ttl_time\":\"{}ms\"}}", ttl.as_millis()))
                    }
                    _ => (404, String::from("{}")),
                }
            }
            ("DELETE", path) if path.starts_with("/sniperun/kv-lease-end/") => {
                let id: u64 = path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
                data.leases.remove(&id);
                data.expire();
                (200, String::from("{}"))
            }
            _ => (404, String::from("{}")),
        }
    }
}
