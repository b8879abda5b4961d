//! Crashes of targets under requests, as seen by all instances.

use super::Action;
use super::Instance;
use super::LogEvent;
use crate::quarantine::Crash;

impl Instance {
    /// Records that a target's process ended under a request of this instance.
    pub(super) fn record_crash(&mut self, crash: Crash) {
        self.actions
            .push(Action::Log(LogEvent::TargetCrashed(crash)));
    }
}
