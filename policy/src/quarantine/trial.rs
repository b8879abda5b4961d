//! The trial of a request in its first quarantine.
//!
//! A request may have been at the crashes without being their cause. Some time after the decision,
//! the owner of its fingerprint sends it to one target. A response lifts the quarantine; another
//! crash confirms it, unless it is as likely that of another request.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use super::EndedProcess;

/// Time from the decision to the trial, in microseconds.
const TRIAL_AFTER_US: u64 = 2_000_000;
/// Time after which a trial without a result is repeated, in microseconds: the request may have
/// been refused before it was sent.
const TRIAL_TIMEOUT_US: u64 = 15_000_000;
/// Trials in one quarantine.
const MAX_TRIALS: u32 = 2;

/// Permits one request of a fingerprint to be sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrialPermit(Arc<AtomicBool>);

impl TrialPermit {
    /// Takes the permit; returns `false` if it is not there or was taken.
    pub(super) fn take(&self) -> bool {
        self.0.swap(false, Ordering::AcqRel)
    }

    fn grant(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn withdraw(&self) {
        self.0.store(false, Ordering::Release);
    }
}

/// Progress of the trial.
#[derive(Clone, Debug, Default)]
pub(super) struct Trial {
    /// Time of the next trial, in microseconds; `None` if there is none.
    due_us: Option<u64>,
    permitted: u32,
    /// The crash that may be its result, and when it was recorded, in microseconds.
    pub(super) crash: Option<(EndedProcess, u64)>,
    /// Crashes in trials that had other causes.
    crashes: u32,
    pub(super) is_confirmed: bool,
    pub(super) permit: TrialPermit,
}

impl Trial {
    /// Schedules the trial of a first quarantine. A request that has crashed targets after that gets
    /// none.
    pub(super) fn new(now_us: u64, quarantines: u32) -> Self {
        Self {
            due_us: (quarantines == 1).then_some(now_us + TRIAL_AFTER_US),
            is_confirmed: quarantines > 1,
            ..Self::default()
        }
    }

    /// Records a crash as the result. Attempts from before the quarantine may crash targets until the
    /// trial is due.
    pub(super) fn record_crash(&mut self, now_us: u64, process: &EndedProcess) {
        if self.permitted > 0 || self.due_us.is_none_or(|due_us| due_us <= now_us) {
            self.due_us = None;
            self.permit.withdraw();
            self.crash.get_or_insert((process.clone(), now_us));
        }
    }

    /// Repeats a trial whose crash had another cause, unless there were enough.
    pub(super) fn repeat(&mut self, now_us: u64) {
        self.crash = None;
        self.crashes += 1;
        match self.crashes < MAX_TRIALS {
            true => self.due_us = Some(now_us + TRIAL_AFTER_US),
            false => self.confirm(),
        }
    }

    pub(super) fn confirm(&mut self) {
        self.due_us = None;
        self.crash = None;
        self.is_confirmed = true;
        self.permit.withdraw();
    }

    /// Permits a trial if one is due.
    pub(super) fn tick(&mut self, now_us: u64, is_owner: bool) {
        if !is_owner {
            self.permit.withdraw();
            return;
        }
        if self.due_us.is_some_and(|due_us| due_us <= now_us) {
            self.permitted += 1;
            let is_last = self.permitted >= MAX_TRIALS;
            self.due_us = (!is_last).then_some(now_us + TRIAL_TIMEOUT_US);
            self.permit.grant();
        }
    }
}
