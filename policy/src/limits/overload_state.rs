//! What the request path reads of a crowd.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

const MILLI: f64 = 1e3;

/// Whether a service is crowded, and what its requests then ask for.
#[derive(Debug, Default)]
pub struct OverloadState {
    is_overloaded: AtomicBool,
    part_finished_milli: AtomicU32,
    work_us: AtomicU64,
}

impl OverloadState {
    /// Whether requests need a permit.
    pub fn is_overloaded(&self) -> bool {
        self.is_overloaded.load(Ordering::Relaxed)
    }

    /// The part of the requests that the sound targets can finish: what is sent without a
    /// permit where none can be had.
    pub fn part_finished(&self) -> f64 {
        f64::from(self.part_finished_milli.load(Ordering::Relaxed)) / MILLI
    }

    /// How long a target works on a request, in microseconds; 0 while unknown.
    pub fn work_us(&self) -> u64 {
        self.work_us.load(Ordering::Relaxed)
    }

    /// Shows whether the service is crowded, and how long a target works on a request;
    /// false if it was not crowded and is, or the other way round.
    pub fn show(&self, is_overloaded: bool, part_finished: f64, work_us: u64) -> bool {
        let milli = (part_finished * MILLI) as u32;
        self.work_us.store(work_us, Ordering::Relaxed);
        self.part_finished_milli.store(milli, Ordering::Relaxed);
        self.is_overloaded.swap(is_overloaded, Ordering::Relaxed) == is_overloaded
    }
}
