//! How much of an instance each class may take.
//!
//! Live requests and commands may take all but a share that stays for
//! exports, so that exports never starve; exports may take half.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use model::configuration::Class;

const EXPORT_RESERVE: f64 = 0.1;
const EXPORT_SHARE: f64 = 0.5;

/// Requests that an instance works on at once, by class.
#[derive(Debug)]
pub struct Admission {
    urgent: AtomicU32,
    exports: AtomicU32,
    urgent_limit: u32,
    export_limit: u32,
}

impl Admission {
    /// An admission of `limit` requests at once.
    pub fn new(limit: u32) -> Self {
        let share = |share: f64| (f64::from(limit) * share).ceil() as u32;
        Self {
            urgent: AtomicU32::new(0),
            exports: AtomicU32::new(0),
            urgent_limit: limit - share(EXPORT_RESERVE).min(limit),
            export_limit: share(EXPORT_SHARE),
        }
    }

    /// Requests in work.
    pub fn in_flight(&self) -> u32 {
        self.urgent.load(Ordering::Relaxed) + self.exports.load(Ordering::Relaxed)
    }

    /// Admits a request if its class has room.
    pub fn admit(self: &Arc<Self>, class: Class) -> Option<Admitted> {
        let (counter, limit) = self.part(class);
        let below = |count: u32| (count < limit).then_some(count + 1);
        counter
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, below)
            .ok()?;
        Some(Admitted {
            admission: self.clone(),
            class,
        })
    }

    fn part(&self, class: Class) -> (&AtomicU32, u32) {
        match class {
            Class::Live | Class::Command => (&self.urgent, self.urgent_limit),
            Class::Export => (&self.exports, self.export_limit),
        }
    }
}

/// An admitted request's place; given back when dropped.
#[derive(Debug)]
pub struct Admitted {
    admission: Arc<Admission>,
    class: Class,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.admission
            .part(self.class)
            .0
            .fetch_sub(1, Ordering::AcqRel);
    }
}
