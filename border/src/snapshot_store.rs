//! Snapshots of the configuration, stored in the platform.
//!
//! Parts are created only if absent and the pointer to the latest snapshot only moves to
//! higher numbers, so concurrent writers are harmless. A short lease only avoids duplicate
//! work.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::CreateOutcome;
use super::Platform;
use super::Result;
use super::SwapOutcome;
use super::WriteRequest;
use super::create_or_read;
use super::swap_or_read;

const POINTER_KEY: &str = "snapshots/latest";
const LEASE_KEY: &str = "snapshots/lease";
const LEASE_TTL_MS: u64 = 30_000;

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Pointer {
    number: u64,
    parts: u32,
}

/// Reads and writes snapshots in a platform.
#[derive(Clone)]
pub struct SnapshotStore {
    platform: Arc<dyn Platform>,
}

impl SnapshotStore {
    /// Creates a store of snapshots in `platform`.
    pub fn new(platform: Arc<dyn Platform>) -> Self {
        Self { platform }
    }

    /// Reads the latest snapshot: its number and its parts as JSON. `None` if there is no
    /// complete snapshot.
    ///
    /// # Errors
    ///
    /// Returns [`crate::PlatformError`] if the platform does not answer.
    pub async fn read(&self) -> Result<Option<(u64, Vec<Arc<str>>)>> {
        let Some(entry) = self.platform.get(POINTER_KEY.into()).await? else {
            return Ok(None);
        };
        let Ok(pointer) = serde_json::from_str::<Pointer>(&entry.value) else {
            return Ok(None);
        };
        let mut parts = Vec::new();
        for index in 0..pointer.parts {
            match self.platform.get(part_key(pointer.number, index)).await? {
                Some(part) => parts.push(part.value),
                None => return Ok(None),
            }
        }
        Ok(Some((pointer.number, parts)))
    }

    /// Writes a snapshot, unless another writer holds the lease or a later snapshot exists.
    ///
    /// # Errors
    ///
    /// Returns [`crate::PlatformError`] if the platform does not answer.
    pub async fn write(&self, number: u64, parts: &[Arc<str>], writer: &str) -> Result<()> {
        let lease = write_request(LEASE_KEY.into(), writer.into(), Some(LEASE_TTL_MS));
        if let CreateOutcome::Exists(entry) = create_or_read(&*self.platform, lease).await?
            && *entry.value != *writer
        {
            return Ok(());
        }
        for (index, part) in parts.iter().enumerate() {
            let part = write_request(part_key(number, index as u32), part.clone(), None);
            create_or_read(&*self.platform, part).await?;
        }
        self.advance_pointer(Pointer {
            number,
            parts: parts.len() as u32,
        })
        .await
    }

    /// Moves the pointer to a snapshot unless it already refers to the same or a later one.
    async fn advance_pointer(&self, pointer: Pointer) -> Result<()> {
        let value: Arc<str> = serde_json::to_string(&pointer).unwrap_or_default().into();
        let request = write_request(POINTER_KEY.into(), value, None);
        let mut current = match create_or_read(&*self.platform, request.clone()).await? {
            CreateOutcome::Done => return Ok(()),
            CreateOutcome::Exists(entry) => entry,
        };
        loop {
            let previous = serde_json::from_str::<Pointer>(&current.value);
            if previous.is_ok_and(|previous| previous.number >= pointer.number) {
                return Ok(());
            }
            match swap_or_read(&*self.platform, request.clone(), current.version).await? {
                SwapOutcome::Conflict(Some(entry)) => current = entry,
                SwapOutcome::Done | SwapOutcome::Conflict(None) => return Ok(()),
            }
        }
    }
}

fn write_request(key: Arc<str>, value: Arc<str>, ttl_ms: Option<u64>) -> WriteRequest {
    WriteRequest { key, value, ttl_ms }
}

fn part_key(number: u64, index: u32) -> Arc<str> {
    format!("snapshots/{number:020}/{index:06}").into()
}
