//! The trial of a request in its first quarantine.
//!
//! A request may have been at the crashes without being their cause. Some time after the decision,
//! the owner of its fingerprint sends it to one target. A response lifts the quarantine; another
//! crash confirms it, unless it is as likely that of another request.

use crate::routing::TargetProcess;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Time from the decision to the trial, in microseconds.
const TRIAL_AFTER_US: u64 = 2_000_000;
/// Time for which the permit for a trial holds, and after which a trial without a result is repeated,
/// in microseconds: no such request may have come.
const TRIAL_TIMEOUT_US: u64 = 15_000_000;
/// Time after which an instance checks again whether it owns the fingerprint, in microseconds.
const OWNER_CHECK_PERIOD_US: u64 = 2_000_000;
/// Trials in one quarantine.
const MAX_TRIALS: u32 = 2;

/// Permits one request of a fingerprint to be sent, until a time in microseconds; 0 for none.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrialPermit(Arc<AtomicU64>);

impl TrialPermit {
    /// Takes the permit; returns `false` if there is none, or it has lapsed or was taken.
    pub(super) fn take(&self, now_us: u64) -> bool {
        now_us < self.0.swap(0, Ordering::AcqRel)
    }

    fn grant(&self, until_us: u64) {
        self.0.store(until_us, Ordering::Release);
    }
}

/// Progress of the trial.
#[derive(Clone, Debug, Default)]
pub(super) struct Trial {
    /// Time from which a crash is the result of the trial, in microseconds.
    from_us: u64,
    /// Time at which this instance may permit the trial, in microseconds; `None` if there is none.
    due_us: Option<u64>,
    permitted: u32,
    /// The crash that may be its result, and when it was recorded, in microseconds.
    pub(super) crash: Option<(TargetProcess, u64)>,
    /// Crashes in trials that had other causes.
    crashes: u32,
    pub(super) is_confirmed: bool,
    pub(super) permit: TrialPermit,
}

impl Trial {
    /// Schedules the trial of a first quarantine. A request that has crashed targets after that gets
    /// none.
    pub(super) fn new(now_us: u64, quarantines: u32) -> Self {
        let from_us = now_us + TRIAL_AFTER_US;
        Self {
            from_us,
            due_us: (quarantines == 1).then_some(from_us),
            is_confirmed: quarantines > 1,
            ..Self::default()
        }
    }

    /// Records a crash as the result. Attempts from before the quarantine may crash targets until the
    /// trial is due.
    pub(super) fn record_crash(&mut self, now_us: u64, process: &TargetProcess) {
        if now_us >= self.from_us && !self.is_confirmed {
            self.due_us = None;
            self.permit.grant(0);
            self.crash.get_or_insert((process.clone(), now_us));
        }
    }

    /// Repeats a trial whose crash had another cause, unless there were enough.
    pub(super) fn repeat(&mut self, now_us: u64) {
        self.crash = None;
        self.crashes += 1;
        if self.crashes >= MAX_TRIALS {
            return self.confirm();
        }
        self.from_us = now_us + TRIAL_AFTER_US;
        self.due_us = Some(self.from_us);
    }

    pub(super) fn confirm(&mut self) {
        self.due_us = None;
        self.crash = None;
        self.is_confirmed = true;
        self.permit.grant(0);
    }

    /// Permits a trial if one is due and this instance owns the fingerprint.
    pub(super) fn tick(&mut self, now_us: u64, is_owner: impl FnOnce() -> bool) {
        if self.due_us.is_none_or(|due_us| now_us < due_us) {
            return;
        }
        if !is_owner() {
            self.due_us = Some(now_us + OWNER_CHECK_PERIOD_US);
            return;
        }
        self.permitted += 1;
        let until_us = now_us + TRIAL_TIMEOUT_US;
        self.due_us = (self.permitted < MAX_TRIALS).then_some(until_us);
        self.permit.grant(until_us);
    }
}
