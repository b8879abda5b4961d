//! Keys and values with versions and lives.

use std::collections::BTreeMap;
use std::sync::Arc;

use border::Created;
use border::Entry;
use border::RangeQuery;
use border::Swapped;
use border::Written;

#[derive(Clone, Debug)]
struct Stored {
    entry: Entry,
    until_ms: u64,
}

/// The keys of the fake platform.
#[derive(Clone, Debug, Default)]
pub struct KeyValues {
    stored: BTreeMap<Arc<str>, Stored>,
}

impl KeyValues {
    /// Reads a key.
    pub fn get(&self, now_ms: u64, key: &str) -> Option<Entry> {
        let stored = self.stored.get(key)?;
        (stored.until_ms > now_ms).then(|| stored.entry.clone())
    }

    /// Writes a key that does not exist.
    pub fn create(&mut self, now_ms: u64, written: Written) -> Created {
        match self.get(now_ms, &written.key) {
            Some(entry) => Created::Exists(entry),
            None => {
                self.put(now_ms, written, 1);
                Created::Done
            }
        }
    }

    /// Writes a key that stands in `version`.
    pub fn swap(&mut self, now_ms: u64, written: Written, version: u64) -> Swapped {
        match self.get(now_ms, &written.key) {
            Some(entry) if entry.version == version => {
                self.put(now_ms, written, version + 1);
                Swapped::Done
            }
            standing => Swapped::Conflict(standing),
        }
    }

    /// Reads entries in the order of their keys.
    pub fn range(&self, now_ms: u64, query: &RangeQuery) -> Vec<Entry> {
        let mut bytes = 0;
        let mut entries = Vec::new();
        for (key, stored) in self.stored.range(query.prefix.clone()..) {
            if !key.starts_with(&*query.prefix) {
                break;
            }
            if **key <= *query.after || stored.until_ms <= now_ms {
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

    fn put(&mut self, now_ms: u64, written: Written, version: u64) {
        let until_ms = written.ttl_ms.map_or(u64::MAX, |ttl_ms| now_ms + ttl_ms);
        let entry = Entry {
            key: written.key.clone(),
            value: written.value,
            version,
        };
        self.stored.insert(written.key, Stored { entry, until_ms });
    }
}
