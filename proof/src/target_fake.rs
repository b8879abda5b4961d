//! Simulated target with a fixed number of slots, a bounded queue and a fault.

use std::collections::VecDeque;

use super::TargetFault;

/// Length of a target's queue; requests beyond it are refused.
const MAX_QUEUED: usize = 24;

/// A simulated target.
#[derive(Debug)]
pub(super) struct TargetFake {
    pub(super) fault: TargetFault,
    pub(super) data_centre: usize,
    pub(super) work_us: u64,
    pub(super) baseline_error_rate: f64,
    pub(super) requests: u64,
    busy: usize,
    slots: usize,
    queue: VecDeque<(u64, usize)>,
}

/// Decision of a target on an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    Start,
    Queued,
    Refused,
}

impl TargetFake {
    pub(super) fn new(
        data_centre: usize,
        slots: u32,
        work_us: u64,
        baseline_error_rate: f64,
    ) -> Self {
        Self {
            fault: TargetFault::Healthy,
            data_centre,
            work_us,
            baseline_error_rate,
            requests: 0,
            busy: 0,
            slots: slots as usize,
            queue: VecDeque::new(),
        }
    }

    pub(super) fn admit(&mut self, request: u64, attempt: usize) -> Admission {
        if self.busy < self.slots {
            self.busy += 1;
            return Admission::Start;
        }
        if self.queue.len() >= MAX_QUEUED {
            return Admission::Refused;
        }
        self.queue.push_back((request, attempt));
        Admission::Queued
    }

    /// Finishes a request. Returns the next queued request, which takes over the slot.
    pub(super) fn finish(&mut self) -> Option<(u64, usize)> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.busy = self.busy.saturating_sub(1);
        }
        next
    }
}
