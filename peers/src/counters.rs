//! Counters of messages and bytes exchanged with other instances.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Message counters of one instance.
#[derive(Debug, Default)]
pub struct Counters {
    /// Messages sent.
    pub sent: AtomicU64,
    /// Bytes of the messages sent.
    pub sent_bytes: AtomicU64,
    /// Messages received.
    pub received: AtomicU64,
    /// Bytes of the messages received.
    pub received_bytes: AtomicU64,
    /// Messages dropped because they were too large, the peer's queue was full or the delivery
    /// failed.
    pub dropped: AtomicU64,
    /// Messages and connections of peers that were refused.
    pub refused: AtomicU64,
}

impl Counters {
    pub(crate) fn add(counter: &AtomicU64, increment: usize) {
        counter.fetch_add(increment as u64, Ordering::Relaxed);
    }
}
