//! Token bucket for the requests that a target takes from all instances together.
//!
//! The owner of the target holds it. A new owner does not know what the one before it has granted,
//! so its bucket starts with what has accrued since it became the owner, at most.

/// Time over which unused requests accrue, in seconds.
const BURST_S: f64 = 0.5;
/// Requests per second that are sent to a target with a lower limit, so that its end is noticed:
/// one in the window of four seconds in which the users count, which allows five more.
const MIN_RATE_PER_S: f64 = 0.25;
/// Longest time after which a denied instance asks again, in milliseconds.
const MAX_WAIT_MS: f64 = 2_000.0;

/// Token bucket of one target.
#[derive(Clone, Copy, Debug)]
pub struct RateBucket {
    tokens: f64,
    updated_us: u64,
    /// Requests denied since the last one was granted.
    waiting: u32,
}

impl RateBucket {
    /// Creates the bucket of an owner that has owned the target for `owned_us`.
    pub fn new(now_us: u64, owned_us: u64) -> Self {
        Self {
            tokens: 0.0,
            updated_us: now_us.saturating_sub(owned_us),
            waiting: 0,
        }
    }

    /// Takes a request from the bucket.
    ///
    /// # Errors
    ///
    /// Returns the time after which to ask again, in milliseconds, if there is none. It grows
    /// with the requests that were denied before, so that they come one after the other.
    pub fn take(&mut self, now_us: u64, rate_per_s: f64) -> Result<(), u32> {
        let rate_per_s = rate_per_s.max(MIN_RATE_PER_S);
        let elapsed_s = now_us.saturating_sub(self.updated_us) as f64 / 1e6;
        let capacity = (rate_per_s * BURST_S).max(1.0);
        self.tokens = (self.tokens + rate_per_s * elapsed_s).min(capacity);
        self.updated_us = now_us;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            self.waiting = 0;
            return Ok(());
        }
        let missing = 1.0 - self.tokens + f64::from(self.waiting);
        self.waiting += 1;
        Err((missing / rate_per_s * 1e3).clamp(1.0, MAX_WAIT_MS) as u32)
    }

    /// Whether the bucket was used since `since_us`.
    pub fn was_used_since(&self, since_us: u64) -> bool {
        self.updated_us >= since_us
    }
}
