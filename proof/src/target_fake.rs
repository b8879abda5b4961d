//! A target: slots, a queue, and what befalls it.

use std::collections::VecDeque;

use super::TargetFault;

/// Requests that a target lets wait; more are refused.
const WAITING: usize = 24;

/// A target.
#[derive(Debug)]
pub(super) struct TargetFake {
    pub(super) fault: TargetFault,
    pub(super) data_centre: usize,
    pub(super) work_us: u64,
    pub(super) background: f64,
    pub(super) requests: u64,
    busy: usize,
    slots: usize,
    waiting: VecDeque<(u64, usize)>,
}

/// What a target does with a request that reaches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Taken {
    Start,
    Queued,
    Refused,
}

impl TargetFake {
    pub(super) fn new(data_centre: usize, slots: u32, work_us: u64, background: f64) -> Self {
        Self {
            fault: TargetFault::Healthy,
            data_centre,
            work_us,
            background,
            requests: 0,
            busy: 0,
            slots: slots as usize,
            waiting: VecDeque::new(),
        }
    }

    pub(super) fn take(&mut self, request: u64, attempt: usize) -> Taken {
        if self.busy < self.slots {
            self.busy += 1;
            return Taken::Start;
        }
        if self.waiting.len() >= WAITING {
            return Taken::Refused;
        }
        self.waiting.push_back((request, attempt));
        Taken::Queued
    }

    /// Ends a request's work; returns the next one to start.
    pub(super) fn finish(&mut self) -> Option<(u64, usize)> {
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.busy = self.busy.saturating_sub(1);
        }
        next
    }
}
