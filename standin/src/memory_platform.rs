//! An in-process platform with injectable faults.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use border::CreateOutcome;
use border::Entry;
use border::Platform;
use border::PlatformError;
use border::RangeQuery;
use border::Result;
use border::SwapOutcome;
use border::WriteRequest;
use futures::FutureExt;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use policy::membership::Member;
use tokio::sync::watch;

use super::KeyValues;
use super::PlatformFault;

/// Delay before a call to the unavailable platform fails.
const UNAVAILABLE_DELAY: Duration = Duration::from_millis(20);

/// A fake of the platform that keeps its state in memory.
pub struct MemoryPlatform {
    keys: Mutex<KeyValues>,
    instances: Mutex<Vec<Member>>,
    fault: Mutex<PlatformFault>,
    /// Wakes pending range queries after a write or a change of the fault.
    changes: watch::Sender<u64>,
    calls: AtomicU64,
    started: Instant,
}

impl Default for MemoryPlatform {
    fn default() -> Self {
        Self {
            keys: Mutex::new(KeyValues::default()),
            instances: Mutex::new(Vec::new()),
            fault: Mutex::new(PlatformFault::default()),
            changes: watch::channel(0).0,
            calls: AtomicU64::new(0),
            started: Instant::now(),
        }
    }
}

impl MemoryPlatform {
    /// Sets the fault for all later calls and for range queries that are waiting.
    pub fn set_fault(&self, fault: PlatformFault) {
        *self.fault.lock() = fault;
        self.changes.send_modify(|count| *count += 1);
    }

    /// Adds an instance to the list, or replaces the one with the same id.
    pub fn add_instance(&self, member: Member) {
        let mut instances = self.instances.lock();
        instances.retain(|other| other.id != member.id);
        instances.push(member);
    }

    /// Removes an instance from the list.
    pub fn remove_instance(&self, id: &str) {
        self.instances.lock().retain(|other| *other.id != *id);
    }

    /// Number of calls so far, failed ones included.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Reads a key regardless of the fault and without counting a call.
    pub fn peek(&self, key: &str) -> Option<Entry> {
        self.keys.lock().get(self.now_ms(), key)
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    async fn begin_call(&self) -> Result<PlatformFault> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let fault = *self.fault.lock();
        if fault.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(fault.slow_ms)).await;
        }
        if fault.away {
            tokio::time::sleep(UNAVAILABLE_DELAY).await;
            return Err(unavailable("fault injection: platform unavailable"));
        }
        Ok(fault)
    }

    async fn write<T>(&self, change: impl FnOnce(&mut KeyValues, u64) -> T) -> Result<T> {
        let fault = self.begin_call().await?;
        let result = change(&mut self.keys.lock(), self.now_ms());
        self.changes.send_modify(|count| *count += 1);
        if fault.loses_answers {
            return Err(unavailable("fault injection: write reply lost"));
        }
        Ok(result)
    }
}

fn unavailable(reason: &str) -> PlatformError {
    PlatformError::Unreachable {
        reason: reason.to_owned(),
    }
}

impl Platform for MemoryPlatform {
    fn get(&self, key: Arc<str>) -> BoxFuture<'_, Result<Option<Entry>>> {
        async move {
            self.begin_call().await?;
            Ok(self.keys.lock().get(self.now_ms(), &key))
        }
        .boxed()
    }

    fn create(&self, request: WriteRequest) -> BoxFuture<'_, Result<CreateOutcome>> {
        self.write(move |keys, now_ms| keys.create(now_ms, request))
            .boxed()
    }

    fn swap(&self, request: WriteRequest, version: u64) -> BoxFuture<'_, Result<SwapOutcome>> {
        self.write(move |keys, now_ms| keys.swap(now_ms, request, version))
            .boxed()
    }

    fn range(&self, query: RangeQuery) -> BoxFuture<'_, Result<Vec<Entry>>> {
        async move {
            self.begin_call().await?;
            let mut changes = self.changes.subscribe();
            let deadline = tokio::time::Instant::now() + Duration::from_millis(query.wait_ms);
            loop {
                let entries = self.keys.lock().range(self.now_ms(), &query);
                if self.fault.lock().away {
                    return Err(unavailable("fault injection: platform became unavailable"));
                }
                if !entries.is_empty()
                    || tokio::time::timeout_at(deadline, changes.changed())
                        .await
                        .is_err()
                {
                    return Ok(entries);
                }
            }
        }
        .boxed()
    }

    fn instances(&self) -> BoxFuture<'_, Result<Vec<Member>>> {
        async move {
            self.begin_call().await?;
            Ok(self.instances.lock().clone())
        }
        .boxed()
    }
}
