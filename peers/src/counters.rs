//! Messages and bytes between instances.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Counters of the messages of one instance.
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
    /// Messages that were not sent, as the peer does not take them.
    pub dropped: AtomicU64,
    /// Messages that were refused.
    pub refused: AtomicU64,
}

impl Counters {
    pub(crate) fn add(counter: &AtomicU64, more: usize) {
        counter.fetch_add(more as u64, Ordering::Relaxed);
    }
}
