//! The bound on the bodies that an instance sends to one target at a time.
//!
//! A target that holds more than its memory allows crashes. What is at a target is the declared
//! length of each body until it is sent and its request has ended.

use std::sync::Arc;

use super::TargetLoad;

/// Bytes of bodies in flight from one instance to one target.
const MAX_BODY_BYTES: u64 = 8 << 20;
/// Bytes for which a body without a declared length counts: most such bodies are shorter, and the
/// bound still holds no more than eight of them.
const UNDECLARED_BODY_BYTES: u64 = 1 << 20;

/// Bytes for which the body of a request counts.
pub fn counted_body_bytes(length: Option<u64>) -> u64 {
    length.unwrap_or(UNDECLARED_BODY_BYTES)
}

/// The bytes in flight to a target with one more body, or `None` if it has no room for it. A body
/// above the bound is sent to a target that has no other.
pub(super) fn add_body(held_bytes: u64, body_bytes: u64) -> Option<u64> {
    let sum_bytes = held_bytes.saturating_add(body_bytes);
    let fits = body_bytes == 0 || held_bytes == 0 || sum_bytes <= MAX_BODY_BYTES;
    fits.then_some(sum_bytes)
}

/// Guard of a body in flight to a target.
#[derive(Debug)]
pub struct BodyInFlight {
    pub(super) load: Arc<TargetLoad>,
    pub(super) bytes: u64,
}

impl Drop for BodyInFlight {
    fn drop(&mut self) {
        self.load.release_body(self.bytes);
    }
}
