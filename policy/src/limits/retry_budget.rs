//! Retries and hedges as a share of fresh requests.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;

const MILLI: i64 = 1_000;
/// Part of a reserve that can be saved up.
const SAVED_PART: f64 = 0.6;
/// Span in which a reserve accrues once, in microseconds.
const RESERVE_SPAN_US: i64 = 10_000_000;
/// Retries that may be saved up.
const MAX_SAVED: i64 = 10;

/// A bucket that fresh requests fill and retries empty.
#[derive(Debug)]
pub struct RetryBudget {
    tokens_milli: AtomicI64,
    share_milli: AtomicI64,
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
            share_milli: AtomicI64::new(share_milli),
            saved_milli: AtomicI64::new(MAX_SAVED * MILLI),
        }
    }

    /// A full bucket that saves up `reserve` retries at most, so that the
    /// buckets of all instances together stay within a bound for the fleet.
    pub fn with_reserve(share: f64, reserve: f64) -> Self {
        let saved_milli = (reserve * MILLI as f64) as i64;
        Self {
            tokens_milli: AtomicI64::new(saved_milli),
            share_milli: AtomicI64::new((share * MILLI as f64) as i64),
            saved_milli: AtomicI64::new(saved_milli),
        }
    }

    /// Sets the retries that may be made in ten seconds beside the share of fresh
    /// requests, and lets them accrue for `elapsed_us`.
    ///
    /// A part can be saved up, the rest accrues, so that no span of ten seconds
    /// sees more than all of them; one whole retry can be saved up in any case.
    pub fn set_reserve(&self, reserve: f64, elapsed_us: u64) {
        let saved = (reserve * SAVED_PART).max(1.0);
        let saved_milli = (saved * MILLI as f64) as i64;
        let accruing_milli = ((reserve - saved).max(0.0) * MILLI as f64) as i64;
        let before_milli = self.saved_milli.swap(saved_milli, Ordering::Relaxed);
        let raised_milli = (saved_milli - before_milli).max(0);
        let accrued_milli = accruing_milli * elapsed_us as i64 / RESERVE_SPAN_US;
        let more = |tokens: i64| Some((tokens + raised_milli + accrued_milli).min(saved_milli));
        let _ = self
            .tokens_milli
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, more);
    }

    /// Sets the part of a retry that each fresh request earns.
    pub fn set_share(&self, share: f64) {
        let share_milli = (share * MILLI as f64) as i64;
        self.share_milli.store(share_milli, Ordering::Relaxed);
    }

    /// Retries that may be made at once.
    pub fn left(&self) -> f64 {
        self.tokens_milli.load(Ordering::Relaxed) as f64 / MILLI as f64
    }

    /// Counts a fresh request.
    pub fn earn(&self) {
        let saved_milli = self.saved_milli.load(Ordering::Relaxed);
        let share_milli = self.share_milli.load(Ordering::Relaxed);
        let more = |tokens: i64| Some((tokens + share_milli).min(saved_milli));
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
