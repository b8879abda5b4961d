//! Token bucket that bounds retries and hedges to a share of first attempts.
//!
//! The retries that a fleet may make in a window, in addition to the share, are divided among its
//! instances. Whoever had a part before may have spent it in the same window: an instance that
//! stops, or the former process of one that starts. What an instance may spend at once therefore
//! grows only when a whole window has passed.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

const MILLI: i64 = 1_000;
/// Share of the reserve that can accumulate in the bucket; the rest accrues over the window.
const BURST_SHARE: f64 = 0.6;
/// Window that the reserve applies to, in microseconds.
pub const RESERVE_WINDOW_US: u64 = 10_000_000;
/// Retries that can accumulate in a bucket without a reserve.
const MAX_BURST: i64 = 10;

/// Token bucket that first attempts fill and retries drain.
#[derive(Debug)]
pub struct RetryBudget {
    tokens_milli: AtomicI64,
    share_milli: AtomicI64,
    capacity_milli: AtomicI64,
    /// Whether the first burst is due at once.
    is_unspent: AtomicBool,
    /// Part of the reserve that may be spent at once.
    burst_milli: AtomicI64,
    /// Part of the burst that is added once a window has passed since it was last raised.
    deferred_milli: AtomicI64,
    /// Time since then, in microseconds.
    deferred_for_us: AtomicU64,
    /// Retries spent since then.
    spent_milli: AtomicI64,
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
            is_unspent: AtomicBool::new(false),
            burst_milli: AtomicI64::new(0),
            deferred_milli: AtomicI64::new(0),
            deferred_for_us: AtomicU64::new(0),
            spent_milli: AtomicI64::new(0),
        }
    }

    /// Creates an empty bucket whose reserve is not known yet. A former process of the instance may
    /// have spent a part of it.
    pub fn without_reserve(share: f64) -> Self {
        Self {
            tokens_milli: AtomicI64::new(0),
            capacity_milli: AtomicI64::new(MILLI),
            ..Self::new(share)
        }
    }

    /// Creates a bucket of one retry whose reserve is not known yet, and of which nobody has spent
    /// anything.
    pub fn with_unspent_reserve(share: f64) -> Self {
        Self {
            is_unspent: AtomicBool::new(true),
            tokens_milli: AtomicI64::new(MILLI),
            burst_milli: AtomicI64::new(MILLI),
            ..Self::without_reserve(share)
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
        self.capacity_milli.store(capacity_milli, Ordering::Relaxed);
        let accruing_milli = ((reserve - capacity).max(0.0) * MILLI as f64) as i64;
        let accrued_milli = accruing_milli * elapsed_us as i64 / RESERVE_WINDOW_US as i64;
        let burst_milli = (capacity.min(reserve) * MILLI as f64) as i64;
        let added_milli = accrued_milli + self.set_burst(burst_milli, elapsed_us);
        let refill = |tokens: i64| Some((tokens + added_milli).min(capacity_milli));
        let _ = self
            .tokens_milli
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, refill);
    }

    /// Sets what may be spent at once, and returns the part that is due. What was spent since the
    /// burst was raised is taken off.
    fn set_burst(&self, burst_milli: i64, elapsed_us: u64) -> i64 {
        let raised_milli = burst_milli - self.burst_milli.swap(burst_milli, Ordering::Relaxed);
        let deferred_milli = self.deferred_milli.load(Ordering::Relaxed) + raised_milli;
        let deferred_milli = deferred_milli.max(0);
        if raised_milli > 0 {
            self.deferred_for_us.store(0, Ordering::Relaxed);
            self.spent_milli.store(0, Ordering::Relaxed);
        }
        let deferred_for_us = self
            .deferred_for_us
            .fetch_add(elapsed_us, Ordering::Relaxed);
        let is_unspent = raised_milli > 0 && self.is_unspent.swap(false, Ordering::Relaxed);
        let is_due = is_unspent || deferred_for_us >= RESERVE_WINDOW_US;
        let left_milli = if is_due { 0 } else { deferred_milli };
        self.deferred_milli.store(left_milli, Ordering::Relaxed);
        match is_due {
            true => (deferred_milli - self.spent_milli.load(Ordering::Relaxed)).max(0),
            false => 0,
        }
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
        self.take_above(0.0)
    }

    /// Takes one retry and leaves a share of the bucket's capacity for others; a full bucket gives
    /// one in any case, as it would lose what is added to it. Returns `false` if none is available.
    pub fn take_above(&self, kept_share: f64) -> bool {
        let capacity_milli = self.capacity_milli.load(Ordering::Relaxed);
        let kept_milli = (kept_share * capacity_milli as f64) as i64;
        let needed_milli = (MILLI + kept_milli).min(capacity_milli).max(MILLI);
        let spend = |tokens: i64| (tokens >= needed_milli).then_some(tokens - MILLI);
        let is_taken = self
            .tokens_milli
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend)
            .is_ok();
        if is_taken {
            self.spent_milli.fetch_add(MILLI, Ordering::Relaxed);
        }
        is_taken
    }
}
