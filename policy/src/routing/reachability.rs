//! Whether this instance reaches the targets of a service.
//!
//! One target that cannot be connected to may be down. If connections to several of them fail and
//! none succeeds in between, the instance's own link is the likelier cause, and other instances may
//! still reach them.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;

/// Targets in a row to which no connection opens from which the service counts as unreachable.
const TARGETS_UNTIL_LOST: usize = 3;
/// Time between two probes of an unreachable service, in microseconds.
const PROBE_PERIOD_US: u64 = 250_000;

/// Outcomes of connecting to the targets of a service.
#[derive(Debug, Default)]
pub struct Reachability {
    /// Targets to which connections failed since the last success.
    failed: Mutex<Vec<Arc<str>>>,
    is_lost: AtomicBool,
    next_probe_us: AtomicU64,
}

impl Reachability {
    /// Records that a target was reached. Returns whether the service counted as unreachable.
    pub fn record_reached(&self) -> bool {
        if !self.failed.lock().is_empty() {
            self.failed.lock().clear();
        }
        self.is_lost.swap(false, Ordering::AcqRel)
    }

    /// Records that no connection to a target of `targets` could be opened. Returns `true` if the
    /// service counts as unreachable from now on.
    pub fn record_unreachable(&self, target: &Arc<str>, targets: usize) -> bool {
        let mut failed = self.failed.lock();
        if !failed.contains(target) {
            failed.push(target.clone());
        }
        let is_lost = failed.len() >= TARGETS_UNTIL_LOST.min(targets);
        is_lost && !self.is_lost.swap(true, Ordering::AcqRel)
    }

    /// Whether the service counts as unreachable.
    pub fn is_lost(&self) -> bool {
        self.is_lost.load(Ordering::Acquire)
    }

    /// Whether a target is to be probed now; then the next probe is due a period later.
    pub fn take_probe(&self, now_us: u64) -> bool {
        let due_us = self.next_probe_us.load(Ordering::Acquire);
        let next_us = now_us + PROBE_PERIOD_US;
        let is_due = self.is_lost() && now_us >= due_us;
        is_due
            && self
                .next_probe_us
                .compare_exchange(due_us, next_us, Ordering::AcqRel, Ordering::Acquire)
                .is_ok()
    }
}
