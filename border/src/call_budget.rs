//! Rate limit of an instance's calls to the platform.

use parking_lot::Mutex;

const MICROS_PER_SECOND: u64 = 1_000_000;

#[derive(Debug)]
struct Bucket {
    tokens_micro: u64,
    refilled_us: u64,
}

/// Token bucket that limits the rate of calls.
#[derive(Debug)]
pub struct CallBudget {
    bucket: Mutex<Bucket>,
    per_second: u64,
    burst: u64,
}

impl CallBudget {
    /// Creates a full bucket that refills at `per_second` calls per second and holds at most
    /// `burst` calls.
    pub fn new(per_second: u64, burst: u64) -> Self {
        Self {
            bucket: Mutex::new(Bucket {
                tokens_micro: burst * MICROS_PER_SECOND,
                refilled_us: 0,
            }),
            per_second,
            burst,
        }
    }

    /// Takes one token; returns `false` if there is none, and the call must not be made.
    pub fn take(&self, now_us: u64) -> bool {
        let mut bucket = self.bucket.lock();
        let elapsed_us = now_us.saturating_sub(bucket.refilled_us);
        bucket.refilled_us = now_us;
        let refilled = bucket
            .tokens_micro
            .saturating_add(elapsed_us.saturating_mul(self.per_second));
        bucket.tokens_micro = refilled.min(self.burst * MICROS_PER_SECOND);
        if bucket.tokens_micro < MICROS_PER_SECOND {
            return false;
        }
        bucket.tokens_micro -= MICROS_PER_SECOND;
        true
    }
}
