//! What is known about a request that was at crashes of targets.

use serde::Deserialize;
use serde::Serialize;

use super::CRASHES_UNTIL_QUARANTINE;
use super::Fingerprint;
use super::trial::Trial;
use crate::routing::TargetProcess;

/// Crashes recorded for a request; more do not change the decision.
const MAX_CRASHES: usize = 8;

/// A request that was at crashes of targets.
#[derive(Clone, Debug, Default)]
pub struct Case {
    crashes: Vec<TargetProcess>,
    /// Time of the last crash or change, in microseconds.
    pub(super) changed_us: u64,
    /// End of the quarantine, in microseconds; `None` if there is none now.
    pub(super) until_us: Option<u64>,
    /// Number of quarantines so far.
    pub(super) quarantines: u32,
    /// Time from which its crashes suffice for a quarantine, in microseconds.
    pub(super) suffices_us: Option<u64>,
    /// Whether this instance has seen one of the crashes itself.
    pub(super) is_witnessed: bool,
    /// Time at which the quarantine is broadcast next, in microseconds.
    pub(super) broadcast_at_us: Option<u64>,
    pub(super) trial: Trial,
}

/// A case as instances send it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CaseReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Processes that ended while it was sent to them.
    pub crashes: Vec<TargetProcess>,
    /// Time until its quarantine ends, in milliseconds; `None` if it is not quarantined.
    pub left_ms: Option<u64>,
    /// Number of quarantines so far.
    pub quarantines: u32,
    /// Whether it has crashed a target in its trial.
    pub is_confirmed: bool,
}

impl Case {
    /// Processes that ended while the request was sent to them.
    pub fn crashes(&self) -> &[TargetProcess] {
        &self.crashes
    }

    /// Time until the quarantine ends, in microseconds; `None` if there is none now.
    pub fn left_us(&self, now_us: u64) -> Option<u64> {
        self.until_us?.checked_sub(now_us).filter(|left| *left > 0)
    }

    /// Whether the last quarantine has ended and no crash has been recorded since.
    pub(super) fn is_on_probation(&self, now_us: u64) -> bool {
        self.until_us.is_some_and(|until_us| until_us <= now_us)
    }

    /// Crashes from which the request is quarantined.
    pub(super) fn crashes_needed(&self) -> usize {
        match self.quarantines {
            0 => CRASHES_UNTIL_QUARANTINE,
            _ => 1,
        }
    }

    /// Adds a crash, unless it is known. After the end of a quarantine only new crashes count.
    pub(super) fn add_crash(&mut self, now_us: u64, process: TargetProcess) {
        if self.is_on_probation(now_us) {
            self.until_us = None;
            self.crashes.clear();
        }
        if self.crashes.contains(&process) {
            return;
        }
        if self.left_us(now_us).is_some() {
            self.trial.record_crash(now_us, &process);
        }
        if self.crashes.len() >= MAX_CRASHES {
            return;
        }
        self.crashes.push(process);
        self.changed_us = now_us;
        if self.left_us(now_us).is_none() && self.crashes.len() >= self.crashes_needed() {
            self.suffices_us.get_or_insert(now_us);
        }
    }

    /// Starts a quarantine, the first or a further one.
    pub(super) fn start_quarantine(&mut self, now_us: u64, until_us: u64, quarantines: u32) {
        if self.left_us(now_us).is_none() {
            self.trial = Trial::new(now_us, quarantines);
        }
        self.until_us = self.until_us.max(Some(until_us));
        self.quarantines = quarantines;
        self.changed_us = now_us;
        self.suffices_us = None;
    }
}
