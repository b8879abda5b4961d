//! Targets that have said in their responses that they leave.
//!
//! The statement is a property of the target's process, which does not take it back, whatever the
//! registry says of the target.

use std::collections::BTreeSet;

use super::Action;
use super::Instance;
use super::LogEvent;
use crate::routing::TargetProcess;

/// The processes that leave by their own word.
#[derive(Debug, Default)]
pub(super) struct Departures {
    stated: BTreeSet<TargetProcess>,
}

impl Departures {
    /// Records that a process has said that it leaves. Returns whether this was not known.
    pub(super) fn record_statement(&mut self, process: &TargetProcess) -> bool {
        self.stated.insert(process.clone())
    }
}

impl Instance {
    /// Records that a target has said to this instance that it leaves.
    pub(super) fn record_stated_departure(&mut self, process: &TargetProcess) {
        if self.departures.record_statement(process) {
            let by = self.membership.own().id.clone();
            self.actions.push(Action::Log(LogEvent::DepartureStated {
                process: process.clone(),
                by,
            }));
        }
    }
}
