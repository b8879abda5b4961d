//! Snapshots of the configuration in the platform.
//!
//! Parts are created only if absent and the pointer to the latest snapshot
//! only moves up, so two writers at once do no harm; a short lease keeps them
//! from doing the work twice.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::Created;
use super::Platform;
use super::Result;
use super::Swapped;
use super::Written;
use super::create_or_read;
use super::swap_or_read;

const POINTER: &str = "snapshots/latest";
const LEASE: &str = "snapshots/lease";
const LEASE_MS: u64 = 30_000;

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Pointer {
    number: u64,
    parts: u32,
}

/// The snapshots.
#[derive(Clone)]
pub struct SnapshotStore {
    platform: Arc<dyn Platform>,
}

impl SnapshotStore {
    /// The snapshots in `platform`.
    pub fn new(platform: Arc<dyn Platform>) -> Self {
        Self { platform }
    }

    /// Reads the latest snapshot: its number and its parts as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`crate::PlatformError`] if the platform does not answer.
    pub async fn read(&self) -> Result<Option<(u64, Vec<Arc<str>>)>> {
        let Some(entry) = self.platform.get(POINTER.into()).await? else {
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

    /// Writes a snapshot, unless another instance holds the lease or a later one stands.
    ///
    /// # Errors
    ///
    /// Returns [`crate::PlatformError`] if the platform does not answer.
    pub async fn write(&self, number: u64, parts: &[Arc<str>], writer: &str) -> Result<()> {
        let lease = written(LEASE.into(), writer.into(), Some(LEASE_MS));
        if let Created::Exists(entry) = create_or_read(&*self.platform, lease).await?
            && *entry.value != *writer
        {
            return Ok(());
        }
        for (index, part) in parts.iter().enumerate() {
            let part = written(part_key(number, index as u32), part.clone(), None);
            create_or_read(&*self.platform, part).await?;
        }
        self.advance(Pointer {
            number,
            parts: parts.len() as u32,
        })
        .await
    }

    /// Moves the pointer up to a snapshot.
    async fn advance(&self, pointer: Pointer) -> Result<()> {
        let value: Arc<str> = serde_json::to_string(&pointer).unwrap_or_default().into();
        let written = written(POINTER.into(), value, None);
        let mut standing = match create_or_read(&*self.platform, written.clone()).await? {
            Created::Done => return Ok(()),
            Created::Exists(entry) => entry,
        };
        loop {
            let old = serde_json::from_str::<Pointer>(&standing.value);
            if old.is_ok_and(|old| old.number >= pointer.number) {
                return Ok(());
            }
            match swap_or_read(&*self.platform, written.clone(), standing.version).await? {
                Swapped::Conflict(Some(entry)) => standing = entry,
                Swapped::Done | Swapped::Conflict(None) => return Ok(()),
            }
        }
    }
}

fn written(key: Arc<str>, value: Arc<str>, ttl_ms: Option<u64>) -> Written {
    Written { key, value, ttl_ms }
}

fn part_key(number: u64, index: u32) -> Arc<str> {
    format!("snapshots/{number:020}/{index:06}").into()
}
