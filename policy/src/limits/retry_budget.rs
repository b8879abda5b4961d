//! Retries and hedges as a share of fresh requests.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;

const MILLI: i64 = 1_000;
/// Retries that may be saved up.
const MAX_SAVED: i64 = 10;

/// A bucket that fresh requests fill and retries empty.
#[derive(Debug)]
pub struct RetryBudget {
    tokens_milli: AtomicI64,
    share_milli: i64,
    saved_milli: AtomicI64,
}

impl RetryBudget {
    /// A full bucket; `share` of a retry is earned by each fresh request.
    pub fn new(share: f64) -> Self {
        let share_milli = (share * MILLI as f64) as i64;
        let tokens_milli = if share_milli > 0 {
            MAX_SAVED * MILLI
        } else {
            0
        };
        Self {
            tokens_milli: AtomicI64::new(tokens_milli),
            share_milli,
            saved_milli: AtomicI64::new(MAX_SAVED * MILLI),
        }
    }

    /// A full bucket that saves up `reserve` retries at most, so that the
    /// buckets of all instances together stay within a bound for the fleet.
    pub fn with_reserve(share: f64, reserve: f64) -> Self {
        let saved_milli = (reserve * MILLI as f64) as i64;
        Self {
            tokens_milli: AtomicI64::new(saved_milli),
            share_milli: (share * MILLI as f64) as i64,
            saved_milli: AtomicI64::new(saved_milli),
        }
    }

    /// Sets how many retries are saved up at most.
    pub fn set_reserve(&self, reserve: f64) {
        let saved_milli = (reserve * MILLI as f64) as i64;
        self.saved_milli.store(saved_milli, Ordering::Relaxed);
        self.tokens_milli.fetch_min(saved_milli, Ordering::Relaxed);
    }

    /// Counts a fresh request.
    pub fn earn(&self) {
        let saved_milli = self.saved_milli.load(Ordering::Relaxed);
        let more = |tokens: i64| Some((tokens + self.share_milli).min(saved_milli));
        let _ = self
            .tokens_milli
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, more);
    }

    /// Takes a retry out of the budget, if there is one.
    pub fn take(&self) -> bool {
        let less = |tokens: i64| (tokens >= MILLI).then_some(tokens - MILLI);
        self.tokens_milli
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, less)
            .is_ok()
    }
}
