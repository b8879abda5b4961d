//! When a caller that was refused is to come back.
//!
//! Answers callers that are refused together and would come back together.
//! Where another instance or another moment helps, they come back soon; where
//! the targets are full they stay away until some of the load has passed. Each
//! gets a time of its own, well within what it has left.

use model::ResultCode;
use rand::Rng;
use rand::RngExt;

/// Where only this instance is in the way: the time to open a connection to another.
const OTHER_INSTANCE_MS: f64 = 80.0;
/// Where a target refused though the service has room.
const OTHER_TARGET_MS: f64 = 250.0;
/// Where the targets are full: about the time in which a request is done.
pub(super) const FULL_MS: f64 = 900.0;
/// Times are spread from this share of the usual one to as much above it.
const SPREAD: f64 = 0.5;
/// Share of the time left that a caller stays away at most; callers of the
/// users' platform do not wait for more than a third.
const LONGEST_SHARE: f64 = 0.25;
const MICROS_PER_MILLI: f64 = 1e3;

/// Why and when a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The result.
    pub code: ResultCode,
    /// Whether the load fills the service's targets.
    pub is_full: bool,
    /// Time that the caller has left, in microseconds.
    pub left_us: u64,
}

impl Refused {
    /// The time after which it helps to come back, in milliseconds.
    pub fn return_after_ms(&self, rng: &mut impl Rng) -> u64 {
        let usual_ms = match self.code {
            ResultCode::NotReady | ResultCode::Draining | ResultCode::ConnectFailed => {
                OTHER_INSTANCE_MS
            }
            _ if self.is_full => FULL_MS,
            _ => OTHER_TARGET_MS,
        };
        let spread = rng.random_range(1.0 - SPREAD..1.0 + SPREAD);
        let longest_ms = self.left_us as f64 / MICROS_PER_MILLI * LONGEST_SHARE;
        (usual_ms * spread).min(longest_ms).max(1.0) as u64
    }
}
