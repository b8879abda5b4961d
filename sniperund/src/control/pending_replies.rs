//! Replies of the control loop that requests of callers wait for.
//!
//! A caller's request sends a numbered input to the control loop and waits on a channel. The
//! number identifies the channel when the reply arrives.

use std::collections::HashMap;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use tokio::sync::oneshot;

/// Channels of the requests that wait for a reply.
#[derive(Debug)]
pub struct PendingReplies<T> {
    next_number: AtomicU64,
    pending: Mutex<HashMap<u64, oneshot::Sender<T>>>,
}

impl<T> Default for PendingReplies<T> {
    fn default() -> Self {
        Self {
            // Replies to an earlier process of this instance do not match any number.
            next_number: AtomicU64::new(rand::random::<u32>().into()),
            pending: Mutex::default(),
        }
    }
}

impl<T> PendingReplies<T> {
    /// Registers a request; returns its number and the channel for the reply.
    pub fn register(&self) -> (u64, oneshot::Receiver<T>) {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (sender, reply) = oneshot::channel();
        self.pending.lock().insert(number, sender);
        (number, reply)
    }

    /// Delivers a reply to the request that waits for it, if it still does.
    pub fn answer(&self, number: u64, reply: T) {
        if let Some(sender) = self.pending.lock().remove(&number) {
            // A request that has stopped waiting has no use for the reply.
            let _ = sender.send(reply);
        }
    }

    /// Removes a request that no longer waits.
    pub fn forget(&self, number: u64) {
        self.pending.lock().remove(&number);
    }
}
