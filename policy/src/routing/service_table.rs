//! The targets of one service as the request path reads them.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use model::configuration::Repeat;
use model::configuration::Service;

use super::Candidate;
use super::ServiceLoad;

/// How a target is chosen for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Placement {
    /// By the standings that homes give.
    #[default]
    HealthState,
    /// By the doubt of each target and the load that all must carry.
    FailureProbability,
}

/// A service and the targets that requests may go to.
#[derive(Clone, Debug)]
pub struct ServiceTable {
    /// The service.
    pub service: Arc<Service>,
    /// Counters of the service.
    pub load: Arc<ServiceLoad>,
    /// Targets in use, the floor enforced.
    pub candidates: Vec<Candidate>,
    /// How one of them is chosen.
    pub placement: Placement,
}

impl ServiceTable {
    /// Whether a request of the service may be sent more than once.
    pub fn repeatable(&self) -> bool {
        self.service.repeat == Repeat::Idempotent
    }

    /// The median latency in microseconds; 0 while unknown.
    pub fn median_us(&self) -> u64 {
        self.load.median_us.load(Ordering::Relaxed)
    }

    /// The latency beyond which an answer is slow, if known.
    pub fn slow_us(&self) -> Option<u64> {
        let slow_us = self.load.slow_us.load(Ordering::Relaxed);
        (slow_us > 0).then_some(slow_us)
    }

    /// Requests that this instance may have in flight to the service at once.
    pub fn slots(&self) -> u32 {
        self.candidates
            .iter()
            .map(|candidate| candidate.target.slots)
            .sum()
    }
}
