//! A target with slots and a queue.

use std::collections::VecDeque;

pub(super) const SLOTS: usize = 3;
const QUEUE: usize = 12;

/// A request at a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub(super) instance: usize,
    pub(super) target: usize,
    pub(super) sent_us: u64,
}

/// Requests in service and waiting.
#[derive(Debug, Default)]
pub(super) struct TargetQueue {
    /// Mean service time, in microseconds.
    pub(super) mean_us: f64,
    /// Requests that arrived in the current window.
    pub(super) requests: u32,
    running: usize,
    waiting: VecDeque<Request>,
}

/// What happens to a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Arrival {
    Runs,
    Waits,
    Refused,
}

impl TargetQueue {
    pub(super) fn new(mean_us: f64) -> Self {
        Self {
            mean_us,
            ..Self::default()
        }
    }

    /// Requests in service and waiting.
    pub(super) fn len(&self) -> usize {
        self.running + self.waiting.len()
    }

    /// Expected time until a request that arrives now runs, in microseconds.
    pub(super) fn expected_wait_us(&self) -> u64 {
        let ahead = (self.len() + 1).saturating_sub(SLOTS);
        (ahead as f64 * self.mean_us / SLOTS as f64) as u64
    }

    pub(super) fn arrive(&mut self, request: Request) -> Arrival {
        if self.running < SLOTS {
            self.running += 1;
            return Arrival::Runs;
        }
        if self.waiting.len() >= QUEUE {
            return Arrival::Refused;
        }
        self.waiting.push_back(request);
        Arrival::Waits
    }

    /// Ends a request in service; returns the one that runs next.
    pub(super) fn finish(&mut self) -> Option<Request> {
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.running -= 1;
        }
        next
    }
}
