//! A bound on an instance's calls to the platform.

use parking_lot::Mutex;

const MICROS_PER_SECOND: u64 = 1_000_000;

#[derive(Debug)]
struct Bucket {
    tokens_micro: u64,
    filled_us: u64,
}

/// A token bucket of calls.
#[derive(Debug)]
pub struct CallBudget {
    bucket: Mutex<Bucket>,
    per_second: u64,
    burst: u64,
}

impl CallBudget {
    /// A full bucket.
    pub fn new(per_second: u64, burst: u64) -> Self {
        Self {
            bucket: Mutex::new(Bucket {
                tokens_micro: burst * MICROS_PER_SECOND,
                filled_us: 0,
            }),
            per_second,
            burst,
        }
    }

    /// Takes a call out of the budget, if there is one.
    pub fn take(&self, now_us: u64) -> bool {
        let mut bucket = self.bucket.lock();
        let gap_us = now_us.saturating_sub(bucket.filled_us);
        bucket.filled_us = now_us;
        let filled = bucket
            .tokens_micro
            .saturating_add(gap_us.saturating_mul(self.per_second));
        bucket.tokens_micro = filled.min(self.burst * MICROS_PER_SECOND);
        if bucket.tokens_micro < MICROS_PER_SECOND {
            return false;
        }
        bucket.tokens_micro -= MICROS_PER_SECOND;
        true
    }
}
