//! Scheduling of calls to the platform.
//!
//! Only a few instances watch for notes; the others receive them from peers. Failed calls
//! are retried with jittered exponential back-off.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::PlatformCall;

const LIST_PERIOD_US: u64 = 60_000_000;
const FIRST_BACK_OFF_US: u64 = 500_000;
const MAX_BACK_OFF_US: u64 = 8_000_000;

/// Schedule of one kind of call.
#[derive(Debug, Default)]
struct Schedule {
    is_in_progress: bool,
    due_us: u64,
    back_off_us: u64,
}

impl Schedule {
    fn start(&mut self, now_us: u64) -> bool {
        let is_due = !self.is_in_progress && now_us >= self.due_us;
        self.is_in_progress |= is_due;
        is_due
    }

    fn record_success(&mut self, due_us: u64) {
        self.is_in_progress = false;
        self.back_off_us = 0;
        self.due_us = due_us;
    }

    fn record_failure(&mut self, now_us: u64, rng: &mut ChaCha8Rng) {
        self.is_in_progress = false;
        self.back_off_us = (self.back_off_us * 2).clamp(FIRST_BACK_OFF_US, MAX_BACK_OFF_US);
        self.due_us = now_us + rng.random_range(self.back_off_us / 2..=self.back_off_us);
    }
}

/// The instance's calls to the platform.
#[derive(Debug, Default)]
pub(super) struct PlatformCalls {
    notes: Schedule,
    snapshot: Schedule,
    instances: Schedule,
    write: Schedule,
    has_snapshot: bool,
    is_caught_up: bool,
}

impl PlatformCalls {
    /// Returns the calls that are due and marks them as in progress.
    pub(super) fn due(&mut self, now_us: u64, number: u64, watches: bool) -> Vec<PlatformCall> {
        let mut calls = Vec::new();
        if self.instances.start(now_us) {
            calls.push(PlatformCall::ListInstances);
        }
        if !self.has_snapshot && self.snapshot.start(now_us) {
            calls.push(PlatformCall::ReadSnapshot);
        }
        let needs_notes = self.has_snapshot && (watches || !self.is_caught_up);
        if needs_notes && self.notes.start(now_us) {
            calls.push(PlatformCall::WatchNotes {
                after: number,
                wait: self.is_caught_up,
            });
        }
        calls
    }

    /// Marks a snapshot write as in progress. Returns `false` if none may start now.
    pub(super) fn start_write(&mut self, now_us: u64) -> bool {
        self.write.start(now_us)
    }

    pub(super) fn record_notes(&mut self, now_us: u64, is_caught_up: bool) {
        self.is_caught_up |= is_caught_up;
        self.notes.record_success(now_us);
    }

    pub(super) fn record_notes_failure(&mut self, now_us: u64, rng: &mut ChaCha8Rng) {
        self.notes.record_failure(now_us, rng);
    }

    pub(super) fn record_snapshot(&mut self, now_us: u64) {
        self.has_snapshot = true;
        self.snapshot.record_success(now_us);
    }

    pub(super) fn record_snapshot_failure(&mut self, now_us: u64, rng: &mut ChaCha8Rng) {
        self.snapshot.record_failure(now_us, rng);
    }

    pub(super) fn record_instances(&mut self, now_us: u64, rng: &mut ChaCha8Rng) {
        let jitter_us = rng.random_range(0..LIST_PERIOD_US / 4);
        self.instances
            .record_success(now_us + LIST_PERIOD_US - jitter_us);
    }

    pub(super) fn record_instances_failure(&mut self, now_us: u64, rng: &mut ChaCha8Rng) {
        self.instances.record_failure(now_us, rng);
    }

    pub(super) fn record_write_result(&mut self, now_us: u64, written: bool, rng: &mut ChaCha8Rng) {
        if written {
            self.write.record_success(now_us);
        } else {
            self.write.record_failure(now_us, rng);
        }
    }
}
