//! Overload of a service, in atomics that the request path reads without locking.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

const MILLI: f64 = 1e3;

/// Whether a service is overloaded, and the parameters of permit requests while it is.
#[derive(Debug, Default)]
pub struct OverloadState {
    is_overloaded: AtomicBool,
    servable_share_milli: AtomicU32,
    work_us: AtomicU64,
}

impl OverloadState {
    /// Whether requests need a permit.
    pub fn is_overloaded(&self) -> bool {
        self.is_overloaded.load(Ordering::Relaxed)
    }

    /// Share of the requests that the healthy targets can serve. The same share is sent without
    /// a permit if no decision on permits can be obtained.
    pub fn servable_share(&self) -> f64 {
        f64::from(self.servable_share_milli.load(Ordering::Relaxed)) / MILLI
    }

    /// Time a target takes to process a request, in microseconds; 0 while unknown.
    pub fn work_us(&self) -> u64 {
        self.work_us.load(Ordering::Relaxed)
    }

    /// Publishes the current state. Returns whether `is_overloaded` is unchanged.
    pub fn update(&self, is_overloaded: bool, servable_share: f64, work_us: u64) -> bool {
        let milli = (servable_share * MILLI) as u32;
        self.work_us.store(work_us, Ordering::Relaxed);
        self.servable_share_milli.store(milli, Ordering::Relaxed);
        self.is_overloaded.swap(is_overloaded, Ordering::Relaxed) == is_overloaded
    }
}
