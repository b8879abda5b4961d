//! The border to the platform.

use std::sync::Arc;

use futures::future::BoxFuture;
use policy::membership::Member;
use serde::Deserialize;
use serde::Serialize;

use super::Result;

/// A stored value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: Arc<str>,
    /// The value.
    pub value: Arc<str>,
    /// Rises with each write of the key, from 1.
    pub version: u64,
}

/// What is to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Written {
    /// The key.
    pub key: Arc<str>,
    /// The value.
    pub value: Arc<str>,
    /// Life of the value in milliseconds; for ever if absent.
    pub ttl_ms: Option<u64>,
}

/// What came of creating a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Created {
    /// It was created.
    Done,
    /// It stands already.
    Exists(Entry),
}

/// What came of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Swapped {
    /// It was written.
    Done,
    /// It stands in another version, or not at all.
    Conflict(Option<Entry>),
}

/// Which entries to read, and how long to wait for one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeQuery {
    /// Beginning of the keys.
    pub prefix: Arc<str>,
    /// Key after which to begin; may be empty.
    pub after: Arc<str>,
    /// Bytes of values at most; one entry comes in any case.
    pub max_bytes: usize,
    /// Time to wait if there is none, in milliseconds.
    pub wait_ms: u64,
}

/// The platform.
///
/// Each call can fail after it has taken effect.
pub trait Platform: Send + Sync {
    /// Reads a key.
    fn get(&self, key: Arc<str>) -> BoxFuture<'_, Result<Option<Entry>>>;

    /// Writes a key that does not exist.
    fn create(&self, written: Written) -> BoxFuture<'_, Result<Created>>;

    /// Writes a key that stands in `version`.
    fn swap(&self, written: Written, version: u64) -> BoxFuture<'_, Result<Swapped>>;

    /// Reads entries in the order of their keys; waits for one if there is none.
    fn range(&self, query: RangeQuery) -> BoxFuture<'_, Result<Vec<Entry>>>;

    /// Lists the instances; the list lags.
    fn instances(&self) -> BoxFuture<'_, Result<Vec<Member>>>;
}

/// Creates a key; reads it back if the answer was lost, as the write may stand.
///
/// # Errors
///
/// Returns an error if neither call was answered, or if nothing stands.
pub async fn create_or_read(platform: &dyn Platform, written: Written) -> Result<Created> {
    let key = written.key.clone();
    match platform.create(written).await {
        Ok(created) => Ok(created),
        Err(error) => match platform.get(key).await? {
            Some(entry) => Ok(Created::Exists(entry)),
            None => Err(error),
        },
    }
}

/// Swaps a key; reads it back if the answer was lost, as the write may stand.
///
/// # Errors
///
/// Returns an error if neither call was answered, or if the key is as before.
pub async fn swap_or_read(
    platform: &dyn Platform,
    written: Written,
    version: u64,
) -> Result<Swapped> {
    let (key, value) = (written.key.clone(), written.value.clone());
    match platform.swap(written, version).await {
        Ok(swapped) => Ok(swapped),
        Err(error) => match platform.get(key).await? {
            Some(entry) if entry.value == value => Ok(Swapped::Done),
            Some(entry) if entry.version == version => Err(error),
            standing => Ok(Swapped::Conflict(standing)),
        },
    }
}
