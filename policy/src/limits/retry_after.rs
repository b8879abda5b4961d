//! Computes the time after which a refused caller should retry.
//!
//! Callers that are refused together would otherwise retry together, so each time has jitter. It
//! is short if another instance or target can serve the request, and longer if the targets are
//! full, so that part of the load is processed first. It never exceeds a share of the caller's
//! remaining time.

use model::ResultCode;
use rand::Rng;
use rand::RngExt;

/// Base time if only this instance cannot serve: the time to open a connection to another.
const OTHER_INSTANCE_RETRY_AFTER_MS: f64 = 80.0;
/// Base time if a target refused although the service has free slots.
const OTHER_TARGET_RETRY_AFTER_MS: f64 = 250.0;
/// Base time if a target refused a request with a priority although the service has free slots. A
/// new attempt has the same chance of success at once; the time only keeps callers that are refused
/// together apart, as each needs 20 to 40 ms to connect again.
const PRIORITIZED_RETRY_AFTER_MS: f64 = 40.0;
/// Base time if the targets are full: about the duration of a request.
pub(super) const FULL_RETRY_AFTER_MS: f64 = 900.0;
/// Jitter in either direction, as a share of the base time.
const JITTER: f64 = 0.5;
/// Upper limit, as a share of the caller's remaining time; callers of the users' platform do not
/// wait for more than a third of it.
const MAX_SHARE_OF_TIME_LEFT: f64 = 0.25;
const MICROS_PER_MILLI: f64 = 1e3;

/// Properties of a refused request that decide when to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusedRequest {
    /// Result code of the refusal.
    pub code: ResultCode,
    /// Whether the load fills the service's healthy targets.
    pub is_full: bool,
    /// Time for which all targets are paused, in microseconds; 0 if they are not.
    pub pause_left_us: u64,
    /// Time until the caller's deadline, or its latency objective, in microseconds.
    pub left_us: u64,
    /// Whether the request has a priority.
    pub is_prioritized: bool,
}

impl RefusedRequest {
    /// Time after which a retry is useful, in milliseconds, with jitter.
    pub fn retry_after_ms(&self, rng: &mut impl Rng) -> u64 {
        let base_ms = match self.code {
            ResultCode::NotReady | ResultCode::Draining | ResultCode::ConnectFailed => {
                OTHER_INSTANCE_RETRY_AFTER_MS
            }
            _ if self.is_full => FULL_RETRY_AFTER_MS,
            ResultCode::TargetRefused if self.is_prioritized => PRIORITIZED_RETRY_AFTER_MS,
            _ => OTHER_TARGET_RETRY_AFTER_MS,
        };
        let pause_left_ms = self.pause_left_us as f64 / MICROS_PER_MILLI;
        let needs_target = base_ms != OTHER_INSTANCE_RETRY_AFTER_MS;
        let is_paused = needs_target && pause_left_ms > base_ms;
        // Nobody is served before the pause ends.
        let (base_ms, earliest) = match is_paused {
            true => (pause_left_ms, 1.0),
            false => (base_ms, 1.0 - JITTER),
        };
        let jitter = rng.random_range(earliest..earliest + 2.0 * JITTER);
        let max_ms = self.left_us as f64 / MICROS_PER_MILLI * MAX_SHARE_OF_TIME_LEFT;
        (base_ms * jitter).min(max_ms).max(1.0) as u64
    }
}
