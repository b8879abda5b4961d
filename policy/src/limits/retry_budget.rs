//! Token bucket that bounds retries and hedges to a share of first attempts.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;

const MILLI: i64 = 1_000;
/// Share of the reserve that can accumulate in the bucket; the rest accrues over the window.
const BURST_SHARE: f64 = 0.6;
/// Window that the reserve applies to, in microseconds.
const RESERVE_WINDOW_US: i64 = 10_000_000;
/// Retries that can accumulate in a bucket without a reserve.
const MAX_BURST: i64 = 10;

/// Token bucket that first attempts fill and retries drain.
#[derive(Debug)]
pub struct RetryBudget {
    tokens_milli: AtomicI64,
    share_milli: AtomicI64,
    capacity_milli: AtomicI64,
}

impl RetryBudget {
    /// Creates a full bucket to which each first attempt adds `share` of a retry; an empty one if
    /// `share` is 0.
    pub fn new(share: f64) -> Self {
        let share_milli = (share * MILLI as f64) as i64;
        let tokens_milli = if share_milli > 0 {
            MAX_BURST * MILLI
        } else {
            0
        };
        Self {
            tokens_milli: AtomicI64::new(tokens_milli),
            share_milli: AtomicI64::new(share_milli),
            capacity_milli: AtomicI64::new(MAX_BURST * MILLI),
        }
    }

    /// Creates a full bucket that holds at most `reserve` retries, so that the buckets of all
    /// instances together stay within a bound for the fleet.
    pub fn with_reserve(share: f64, reserve: f64) -> Self {
        let capacity_milli = (reserve * MILLI as f64) as i64;
        Self {
            tokens_milli: AtomicI64::new(capacity_milli),
            share_milli: AtomicI64::new((share * MILLI as f64) as i64),
            capacity_milli: AtomicI64::new(capacity_milli),
        }
    }

    /// Sets the reserve: the retries allowed per ten seconds in addition to the share of first
    /// attempts. Adds what has accrued in `elapsed_us`.
    ///
    /// A part can accumulate and the rest accrues over time, so that no window of ten seconds
    /// allows more than `reserve`. The bucket always has room for at least one retry.
    pub fn set_reserve(&self, reserve: f64, elapsed_us: u64) {
        let capacity = (reserve * BURST_SHARE).max(1.0);
        let capacity_milli = (capacity * MILLI as f64) as i64;
        let accruing_milli = ((reserve - capacity).max(0.0) * MILLI as f64) as i64;
        let before_milli = self.capacity_milli.swap(capacity_milli, Ordering::Relaxed);
        let raised_milli = (capacity_milli - before_milli).max(0);
        let accrued_milli = accruing_milli * elapsed_us as i64 / RESERVE_WINDOW_US;
        let refill =
            |tokens: i64| Some((tokens + raised_milli + accrued_milli).min(capacity_milli));
        let _ = self
            .tokens_milli
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, refill);
    }

    /// Sets the share of a retry that each first attempt adds.
    pub fn set_share(&self, share: f64) {
        let share_milli = (share * MILLI as f64) as i64;
        self.share_milli.store(share_milli, Ordering::Relaxed);
    }

    /// Retries available now.
    pub fn left(&self) -> f64 {
        self.tokens_milli.load(Ordering::Relaxed) as f64 / MILLI as f64
    }

    /// Adds the share of a first attempt.
    pub fn earn(&self) {
        let capacity_milli = self.capacity_milli.load(Ordering::Relaxed);
        let share_milli = self.share_milli.load(Ordering::Relaxed);
        let refill = |tokens: i64| Some((tokens + share_milli).min(capacity_milli));
        let _ = self
            .tokens_milli
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, refill);
    }

    /// Takes one retry from the budget. Returns `false` if none is available.
    pub fn take(&self) -> bool {
        let spend = |tokens: i64| (tokens >= MILLI).then_some(tokens - MILLI);
        self.tokens_milli
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend)
            .is_ok()
    }
}
