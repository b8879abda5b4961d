//! Interface to the key-value platform that stores notes, claims and snapshots.

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
    /// Version, which starts at 1 and increases with each write of the key.
    pub version: u64,
}

/// A key-value pair to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteRequest {
    /// The key.
    pub key: Arc<str>,
    /// The value.
    pub value: Arc<str>,
    /// Time to live in milliseconds; `None` if the entry does not expire.
    pub ttl_ms: Option<u64>,
}

/// Result of creating a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CreateOutcome {
    /// The key was created.
    Done,
    /// The key already exists, with this entry.
    Exists(Entry),
}

/// Result of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The value was written.
    Done,
    /// The key has a different version; `None` if it does not exist.
    Conflict(Option<Entry>),
}

/// A range read: the entries to return and the time to wait for the first one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeQuery {
    /// Prefix of the keys.
    pub prefix: Arc<str>,
    /// Key after which to start, exclusive; empty to start at the first key.
    pub after: Arc<str>,
    /// Maximum total size of the values in bytes; the first entry is returned even if larger.
    pub max_bytes: usize,
    /// Time to wait for an entry if none matches, in milliseconds.
    pub wait_ms: u64,
}

/// A key-value store with compare-and-swap.
///
/// Any call can return an error although it has taken effect.
pub trait Platform: Send + Sync {
    /// Reads a key; `None` if it does not exist.
    fn get(&self, key: Arc<str>) -> BoxFuture<'_, Result<Option<Entry>>>;

    /// Writes a key only if it does not exist.
    fn create(&self, request: WriteRequest) -> BoxFuture<'_, Result<CreateOutcome>>;

    /// Writes a key only if its current version is `version`.
    fn swap(&self, request: WriteRequest, version: u64) -> BoxFuture<'_, Result<SwapOutcome>>;

    /// Reads entries in key order; waits up to `wait_ms` if none matches.
    fn range(&self, query: RangeQuery) -> BoxFuture<'_, Result<Vec<Entry>>>;

    /// Lists the instances; the list may be out of date.
    fn instances(&self) -> BoxFuture<'_, Result<Vec<Member>>>;
}

/// Creates a key. If the call fails, reads the key, since the write may have taken effect.
///
/// # Errors
///
/// Returns an error if both calls fail, or if the first fails and the key does not exist.
pub async fn create_or_read(
    platform: &dyn Platform,
    request: WriteRequest,
) -> Result<CreateOutcome> {
    let key = request.key.clone();
    match platform.create(request).await {
        Ok(created) => Ok(created),
        Err(error) => match platform.get(key).await? {
            Some(entry) => Ok(CreateOutcome::Exists(entry)),
            None => Err(error),
        },
    }
}

/// Swaps a key. If the call fails, reads the key, since the write may have taken effect.
///
/// # Errors
///
/// Returns an error if both calls fail, or if the first fails and the version is unchanged.
pub async fn swap_or_read(
    platform: &dyn Platform,
    request: WriteRequest,
    version: u64,
) -> Result<SwapOutcome> {
    let (key, value) = (request.key.clone(), request.value.clone());
    match platform.swap(request, version).await {
        Ok(swapped) => Ok(swapped),
        Err(error) => match platform.get(key).await? {
            Some(entry) if entry.value == value => Ok(SwapOutcome::Done),
            Some(entry) if entry.version == version => Err(error),
            current => Ok(SwapOutcome::Conflict(current)),
        },
    }
}
