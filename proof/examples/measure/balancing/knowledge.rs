//! What the instances know: their own requests, and for the comparison reports of all queues.

use std::collections::HashMap;

use rand::Rng;
use rand::RngExt;

use super::target_queue::TargetQueue;

/// Half-life of a measured latency, as in `policy::routing::TargetLoad`.
const LATENCY_HALF_LIFE_US: f64 = 2e6;
/// Time after which an idle connection is closed, as in the instance's pool.
const MAX_IDLE_US: u64 = 5_000_000;
/// Age up to which a response shows that its target has a free slot.
const FRESH_US: u64 = 250_000;

/// What an instance knows of a target from its own requests.
#[derive(Debug, Default)]
pub(super) struct OwnView {
    pub(super) in_flight: u32,
    pub(super) sent_us: u64,
    latency_us: f64,
    updated_us: u64,
    idle_since_us: Vec<u64>,
}

impl OwnView {
    pub(super) fn cost(&self, now_us: u64, median_us: f64) -> f64 {
        let age_us = now_us.saturating_sub(self.updated_us) as f64;
        let expected_us = match self.updated_us {
            0 => median_us,
            _ => {
                let weight = 0.5f64.powf(age_us / LATENCY_HALF_LIFE_US);
                median_us + (self.latency_us - median_us) * weight
            }
        };
        expected_us * f64::from(self.in_flight + 1)
    }

    pub(super) fn is_fresh(&self, now_us: u64) -> bool {
        self.updated_us > 0 && now_us - self.updated_us <= FRESH_US
    }

    /// Counts a request and takes a connection for it; returns whether it is a new one.
    pub(super) fn send(&mut self, now_us: u64) -> bool {
        self.sent_us = now_us;
        self.in_flight += 1;
        let since_us = self.idle_since_us.pop();
        let is_usable = since_us.is_some_and(|since_us| now_us - since_us < MAX_IDLE_US);
        if !is_usable {
            self.idle_since_us.clear();
        }
        !is_usable
    }

    pub(super) fn record_response(&mut self, now_us: u64, latency_us: f64) {
        self.in_flight -= 1;
        self.latency_us = match self.updated_us {
            0 => latency_us,
            _ => (self.latency_us * 7.0 + latency_us) / 8.0,
        };
        self.updated_us = now_us;
        self.idle_since_us.push(now_us);
    }
}

/// The views of one instance, by target.
pub(super) type OwnViews = HashMap<usize, OwnView>;

/// Queue lengths as reported to all instances at the same time, and the share of requests that each
/// target should get until the next report: the reported queues and the requests expected in half
/// of that time, which is the mean age, are levelled (Dahlin's basic load interpretation).
#[derive(Debug, Default)]
pub(super) struct Reports {
    pub(super) lengths: Vec<usize>,
    cumulative: Vec<f64>,
}

impl Reports {
    pub(super) fn new(queues: &[TargetQueue], expected_requests: f64) -> Self {
        let lengths: Vec<usize> = queues.iter().map(TargetQueue::len).collect();
        let mut sorted = lengths.clone();
        sorted.sort_unstable();
        let budget = expected_requests.max(1.0);
        let mut sum = 0.0;
        let mut level = 0.0;
        for (number, length) in sorted.iter().enumerate() {
            if number > 0 && *length as f64 >= level {
                break;
            }
            sum += *length as f64;
            level = (sum + budget) / (number + 1) as f64;
        }
        let mut total = 0.0;
        let shares = lengths
            .iter()
            .map(|length| (level - *length as f64).max(0.0));
        let cumulative = shares.map(|share| {
            total += share;
            total
        });
        Self {
            cumulative: cumulative.collect(),
            lengths,
        }
    }

    pub(super) fn interpret(&self, rng: &mut impl Rng) -> usize {
        let total = self.cumulative.last().copied().unwrap_or(0.0);
        let point = rng.random_range(0.0..total);
        self.cumulative.partition_point(|sum| *sum <= point)
    }
}
