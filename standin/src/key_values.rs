//! An in-memory key-value store with versions and expiry.

use std::collections::BTreeMap;
use std::sync::Arc;

use border::CreateOutcome;
use border::Entry;
use border::RangeQuery;
use border::SwapOutcome;
use border::WriteRequest;

#[derive(Clone, Debug)]
struct Stored {
    entry: Entry,
    expires_ms: u64,
}

/// The key-value store of the fake platform.
#[derive(Clone, Debug, Default)]
pub struct KeyValues {
    stored: BTreeMap<Arc<str>, Stored>,
}

impl KeyValues {
    /// Returns the entry of a key, unless it has expired.
    pub fn get(&self, now_ms: u64, key: &str) -> Option<Entry> {
        let stored = self.stored.get(key)?;
        (stored.expires_ms > now_ms).then(|| stored.entry.clone())
    }

    /// Creates a key, unless it exists and has not expired.
    pub fn create(&mut self, now_ms: u64, request: WriteRequest) -> CreateOutcome {
        match self.get(now_ms, &request.key) {
            Some(entry) => CreateOutcome::Exists(entry),
            None => {
                self.put(now_ms, request, 1);
                CreateOutcome::Done
            }
        }
    }

    /// Replaces the value of a key if its current version is `version`.
    pub fn swap(&mut self, now_ms: u64, request: WriteRequest, version: u64) -> SwapOutcome {
        match self.get(now_ms, &request.key) {
            Some(entry) if entry.version == version => {
                self.put(now_ms, request, version + 1);
                SwapOutcome::Done
            }
            current => SwapOutcome::Conflict(current),
        }
    }

    /// Lists the entries under a prefix in key order.
    ///
    /// Stops before the values exceed `max_bytes`, but returns at least one entry
    /// if there is any, so that paging makes progress.
    pub fn range(&self, now_ms: u64, query: &RangeQuery) -> Vec<Entry> {
        let mut bytes = 0;
        let mut entries = Vec::new();
        for (key, stored) in self.stored.range(query.prefix.clone()..) {
            if !key.starts_with(&*query.prefix) {
                break;
            }
            if **key <= *query.after || stored.expires_ms <= now_ms {
                continue;
            }
            bytes += stored.entry.value.len();
            if bytes > query.max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(stored.entry.clone());
        }
        entries
    }

    fn put(&mut self, now_ms: u64, request: WriteRequest, version: u64) {
        let expires_ms = request.ttl_ms.map_or(u64::MAX, |ttl_ms| now_ms + ttl_ms);
        let entry = Entry {
            key: request.key.clone(),
            value: request.value,
            version,
        };
        self.stored
            .insert(request.key, Stored { entry, expires_ms });
    }
}
