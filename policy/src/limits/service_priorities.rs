//! The priorities that the requests of a service have, in atomics that the request path reads
//! without locking.

use std::ops::RangeInclusive;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

/// Range of the priorities of a service's requests; a lower number is more urgent.
#[derive(Debug, Default)]
pub struct ServicePriorities {
    is_set: AtomicBool,
    most_urgent: AtomicU8,
    least_urgent: AtomicU8,
}

impl ServicePriorities {
    /// Whether the configuration has priorities for the service's requests.
    pub fn is_set(&self) -> bool {
        self.is_set.load(Ordering::Relaxed)
    }

    /// Whether the service has requests of two or more priorities.
    pub fn is_mixed(&self) -> bool {
        self.most_urgent.load(Ordering::Relaxed) != self.least_urgent.load(Ordering::Relaxed)
    }

    /// Whether no request of the service is more urgent.
    pub fn is_most_urgent(&self, priority: u8) -> bool {
        !self.is_mixed() || priority <= self.most_urgent.load(Ordering::Relaxed)
    }

    /// Publishes the range of priorities; `None` if no request has one.
    pub fn set(&self, range: Option<RangeInclusive<u8>>) {
        self.is_set.store(range.is_some(), Ordering::Relaxed);
        let range = range.unwrap_or(0..=0);
        self.most_urgent.store(*range.start(), Ordering::Relaxed);
        self.least_urgent.store(*range.end(), Ordering::Relaxed);
    }
}
