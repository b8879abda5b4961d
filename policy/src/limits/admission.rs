//! Admission control by request class.
//!
//! Live requests and commands can use an instance's capacity except for a reserve, so that exports
//! never starve. Exports are limited to half of the capacity.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use model::configuration::Class;

/// Share of the capacity that live requests and commands cannot use.
const EXPORT_RESERVE: f64 = 0.1;
/// Share of the capacity that exports can use.
const EXPORT_SHARE: f64 = 0.5;

/// Requests in flight in an instance, by class, and their limits.
#[derive(Debug)]
pub struct Admission {
    urgent: AtomicU32,
    exports: AtomicU32,
    urgent_limit: u32,
    export_limit: u32,
}

impl Admission {
    /// Creates the limits of an instance that handles at most `limit` concurrent requests.
    pub fn new(limit: u32) -> Self {
        let share = |share: f64| (f64::from(limit) * share).ceil() as u32;
        Self {
            urgent: AtomicU32::new(0),
            exports: AtomicU32::new(0),
            urgent_limit: limit - share(EXPORT_RESERVE).min(limit),
            export_limit: share(EXPORT_SHARE),
        }
    }

    /// Requests in flight, of all classes.
    pub fn in_flight(&self) -> u32 {
        self.urgent.load(Ordering::Relaxed) + self.exports.load(Ordering::Relaxed)
    }

    /// Admits a request, or returns `None` if its class is at its limit.
    pub fn admit(self: &Arc<Self>, class: Class) -> Option<AdmissionGuard> {
        let (counter, limit) = self.pool(class);
        let increment = |count: u32| (count < limit).then_some(count + 1);
        counter
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, increment)
            .ok()?;
        Some(AdmissionGuard {
            admission: self.clone(),
            class,
        })
    }

    fn pool(&self, class: Class) -> (&AtomicU32, u32) {
        match class {
            Class::Live | Class::Command => (&self.urgent, self.urgent_limit),
            Class::Export => (&self.exports, self.export_limit),
        }
    }
}

/// Guard of an admitted request; decrements the count when dropped.
#[derive(Debug)]
pub struct AdmissionGuard {
    admission: Arc<Admission>,
    class: Class,
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        self.admission
            .pool(self.class)
            .0
            .fetch_sub(1, Ordering::AcqRel);
    }
}
