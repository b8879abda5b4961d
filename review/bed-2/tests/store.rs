//! Stand-in of the platform's metadata store, by PROTOCOL.md: one revision counter, ranges, watches,
//! writes and leases. It is sound: it answers at once and loses nothing.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::Channel;
use crate::http::Head;

const PAGE_ITEMS: usize = 500;
const ANSWER_MS: u64 = 4;

/// A copy of the store, from which it can be restored.
pub struct Copy {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Instant, Duration)>,
}

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    create_revision: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Events in the order of their revisions: key, revision, and the item unless it was deleted.
    history: Vec<(String, u64, Option<Item>)>,
    /// Revision from which the history is known.
    history_from: u64,
    /// Number of times that the store was restored from a copy, and one.
    era: u64,
    /// Whether the store is away.
    is_away: bool,
    next_lease: u64,
    /// End and duration of each lease.
    leases: BTreeMap<u64, (Instant, Duration)>,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let known = self.items.get(key);
        let create_revision = known.map_or(revision, |item| item.create_revision);
        let item = Item {
            value,
            revision,
            create_revision,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((key.to_owned(), revision, Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((key.to_owned(), self.revision, None));
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.leases.remove(&lease);
            let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
            let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
            keys.iter().for_each(|key| self.delete(key));
        }
    }
}

/// The store. The operator and the targets write to it directly; instances call it over HTTP.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: String,
}

impl Store {
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("the store cannot listen");
        let address = listener.local_addr().expect("no address").to_string();
        let state = State {
            revision: 100,
            history_from: 100,
            era: 1,
            next_lease: 500,
            ..State::default()
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            address,
        };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// The same store at another address.
    pub fn at(&self, address: &str) -> Self {
        Self {
            address: address.to_owned(),
            ..self.clone()
        }
    }

    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.put(key, base64(value.as_bytes()), 0);
        changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let (state, changed) = &*self.state;
        state.lock().unwrap().delete(key);
        changed.notify_all();
    }

    pub fn copy(&self) -> Copy {
        let state = self.state.0.lock().unwrap();
        Copy {
            revision: state.revision,
            items: state.items.clone(),
            leases: state.leases.clone(),
        }
    }

    /// Is away from now on: answers with 503, and cuts watches.
    pub fn go_away(&self) {
        let (state, changed) = &*self.state;
        state.lock().unwrap().is_away = true;
        changed.notify_all();
    }

    /// Comes back from a copy, in a new era.
    pub fn come_back(&self, copy: Copy) {
        let mut state = self.state.0.lock().unwrap();
        state.is_away = false;
        state.era += 1;
        state.revision = copy.revision;
        state.history_from = copy.revision;
        state.history.clear();
        state.items = copy.items;
        state.leases = copy.leases;
    }

    /// Whether the value of a key is this one.
    pub fn holds(&self, key: &str, value: &str) -> bool {
        let state = self.state.0.lock().unwrap();
        let item = state.items.get(key);
        item.is_some_and(|item| item.value == base64(value.as_bytes()))
    }

    fn serve(&self, stream: TcpStream) {
        let mut channel = Channel::new(stream);
        while let Ok(Some(head)) = channel.read_head() {
            let Ok(body) = channel.read_body(&head) else {
                return;
            };
            let body = String::from_utf8_lossy(&body).into_owned();
            std::thread::sleep(Duration::from_millis(ANSWER_MS));
            let (status, answer) = self.answer(&head, &body);
            let era = self.state.0.lock().unwrap().era;
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if channel.stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let (mutex, changed) = &*self.state;
        let mut state = mutex.lock().unwrap();
        if state.is_away {
            return (503, "{}".to_owned());
        }
        state.expire_leases();
        let path = head.path().split('?').next().unwrap_or("");
        match (head.method(), path) {
            ("GET", "/sniperun/kv-key") => {
                let key = head.query("key").unwrap_or("");
                match state.items.get(key) {
                    Some(item) => (200, item_json(key, item)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("GET", "/sniperun/kv-range") => {
                let prefix = head.query("pathPrefix").unwrap_or("");
                let after = head.query("after").unwrap_or("");
                let mut items = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
                let page: Vec<String> = items
                    .by_ref()
                    .take(PAGE_ITEMS)
                    .map(|(key, item)| item_json(key, item))
                    .collect();
                let has_more = items.next().is_some();
                let items = page.join(",");
                let as_of = state.revision;
                (
                    200,
                    format!("{{\"items\":[{items}],\"hasMore\":{has_more},\"asOf\":{as_of}}}"),
                )
            }
            ("GET", "/sniperun/kv-watch") => {
                let prefix = head.query("pathPrefix").unwrap_or("");
                let after = head.query("after").and_then(|text| text.parse().ok());
                let after: u64 = after.unwrap_or(0);
                let wait_ms = head.query("waitMs").and_then(|text| text.parse().ok());
                let until = Instant::now() + Duration::from_millis(wait_ms.unwrap_or(0));
                let era = state.era;
                loop {
                    if state.is_away || state.era != era {
                        return (503, "{}".to_owned());
                    }
                    if after < state.history_from || after > state.revision {
                        return (410, "{}".to_owned());
                    }
                    let events = state.history.iter();
                    let events: Vec<String> = events
                        .filter(|(key, revision, _)| *revision > after && key.starts_with(prefix))
                        .map(|(key, revision, item)| match item {
                            Some(item) => item_json(key, item),
                            None => format!(
                                "{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"
                            ),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let events = events.join(",");
                        let as_of = state.revision;
                        return (200, format!("{{\"events\":[{events}],\"asOf\":{as_of}}}"));
                    }
                    let part = left.min(Duration::from_millis(500));
                    state = changed.wait_timeout(state, part).unwrap().0;
                    state.expire_leases();
                }
            }
            ("POST", "/sniperun/kv-txn") => {
                let lease: u64 = after_field(body, "lease").and_then(number).unwrap_or(0);
                if lease != 0 && !state.leases.contains_key(&lease) {
                    return (404, "{}".to_owned());
                }
                if let (Some(key), Some(value)) = (text(body, "key"), text(body, "value")) {
                    state.put(key, value.to_owned(), lease);
                    changed.notify_all();
                }
                (200, format!("{{\"revision\":{}}}", state.revision))
            }
            ("POST", "/sniperun/kv-lease") => {
                let ttl = text(body, "ttl_time").unwrap_or("20000ms").to_owned();
                let ttl_ms: u64 = ttl.trim_end_matches("ms").parse().unwrap_or(20_000);
                let ttl_time = Duration::from_millis(ttl_ms);
                state.next_lease += 1;
                let lease = state.next_lease;
                state
                    .leases
                    .insert(lease, (Instant::now() + ttl_time, ttl_time));
                (200, format!("{{\"lease\":{lease},\"ttl_time\":\"{ttl}\"}}"))
            }
            ("POST", path) if path.starts_with("/sniperun/kv-keep/") => {
                let lease = path.rsplit('/').next().and_then(|text| text.parse().ok());
                let lease = lease.and_then(|lease: u64| state.leases.get_mut(&lease));
                match lease {
                    Some((end, ttl)) => {
                        *end = Instant::now() + *ttl;
                        (200, format!("{{\"ttl_time\":\"{}ms\"}}", ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item {
        value,
        revision,
        create_revision,
        lease,
    } = item;
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"createRevision\":{create_revision},\"lease\":{lease}}}"
    )
}

/// What follows the name of a field in JSON without spaces.
fn after_field<'a>(json: &'a str, field: &str) -> Option<&'a str> {
    let name = format!("\"{field}\":");
    json.find(&name).map(|at| &json[at + name.len()..])
}

fn text<'a>(json: &'a str, field: &str) -> Option<&'a str> {
    after_field(json, field)?
        .strip_prefix('"')?
        .split('"')
        .next()
}

fn number(json: &str) -> Option<u64> {
    let digits = json.split(|c: char| !c.is_ascii_digit()).next()?;
    digits.parse().ok()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = part
            .iter()
            .fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - part.len()));
        for digit in 0..4 {
            let index = (word >> (18 - 6 * digit)) & 63;
            match digit <= part.len() {
                true => text.push(char::from(DIGITS[index as usize])),
                false => text.push('='),
            }
        }
    }
    text
}
