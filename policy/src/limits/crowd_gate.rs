//! Lets requests to a service in, as many as its targets can finish.
//!
//! Callers with time enough come back and find another chance, and are let in on the
//! last one; those that have no time to come back are let in ahead of them.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use super::return_advice::FULL_MS;

const MILLI: f64 = 1e3;
/// Requests that may be let in at once after a pause.
const SAVED: f64 = 2.0;
/// Requests without time to come back that may be let in ahead of what accrues.
const AHEAD: f64 = 2.0;
/// Time after which a refused caller is back, in microseconds: as it is told where the
/// targets are full.
const RETURN_US: u64 = FULL_MS as u64 * 1_000;

/// A gate that is open, or lets requests in at a bounded rate.
#[derive(Debug)]
pub struct CrowdGate {
    is_open: AtomicBool,
    tokens_milli: AtomicI64,
    work_us: AtomicU64,
}

impl Default for CrowdGate {
    fn default() -> Self {
        Self {
            is_open: AtomicBool::new(true),
            tokens_milli: AtomicI64::new((SAVED * MILLI) as i64),
            work_us: AtomicU64::new(0),
        }
    }
}

impl CrowdGate {
    /// Whether all requests are let in.
    pub fn is_open(&self) -> bool {
        self.is_open.load(Ordering::Relaxed)
    }

    /// Sets how many requests a second are let in, none for all, and lets them accrue
    /// for `elapsed_us`; false if the gate was open and is not, or the other way round.
    pub fn set(&self, admitted_per_s: Option<f64>, elapsed_us: u64) -> bool {
        let is_open = admitted_per_s.is_none();
        let accrued = admitted_per_s.unwrap_or(f64::MAX) * elapsed_us as f64 / 1e6;
        let accrued_milli = (accrued.min(SAVED) * MILLI) as i64;
        let more = |tokens: i64| Some((tokens + accrued_milli).min((SAVED * MILLI) as i64));
        let _ = self
            .tokens_milli
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, more);
        self.is_open.swap(is_open, Ordering::Relaxed) == is_open
    }

    /// Sets how long a target works on a request, in microseconds.
    pub fn set_work_us(&self, work_us: u64) {
        self.work_us.store(work_us, Ordering::Relaxed);
    }

    /// How long a target works on a request, in microseconds; 0 while unknown.
    pub fn work_us(&self) -> u64 {
        self.work_us.load(Ordering::Relaxed)
    }

    /// Whether a request that has so much time cannot come back.
    pub fn is_hurried(&self, left_us: u64) -> bool {
        left_us < RETURN_US + self.work_us()
    }

    /// Lets a request in that has so much time, if it may.
    pub fn admit(&self, left_us: u64) -> bool {
        let needed = match self.is_hurried(left_us) {
            true => 1.0 - AHEAD,
            false => 1.0,
        };
        let needed_milli = (needed * MILLI) as i64;
        let less = |tokens: i64| (tokens >= needed_milli).then_some(tokens - MILLI as i64);
        self.is_open()
            || self
                .tokens_milli
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, less)
                .is_ok()
    }
}
