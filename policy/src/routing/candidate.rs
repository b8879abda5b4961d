//! A target as input to load balancing.

use std::sync::Arc;

use model::configuration::Target;

use super::TargetLoad;
use crate::evidence::HealthState;

/// Weight of a target in slow start, relative to a healthy one.
const WEIGHT_RAMPING: f64 = 0.3;
const WEIGHT_SUSPECT: f64 = 0.3;
const WEIGHT_TRIAL: f64 = 0.1;
const WEIGHT_EJECTED: f64 = 0.02;
/// Share by which the strongest local evidence reduces a target's weight.
const LOCAL_EVIDENCE_WEIGHT: f64 = 0.75;
/// Local evidence up to which a healthy target gets the best rank.
const MAX_UNSUSPECTED_EVIDENCE: f64 = 0.05;

/// A target, its health and its load.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The target.
    pub target: Arc<Target>,
    /// Counters of the target.
    pub load: Arc<TargetLoad>,
    /// Health that the target's owners have decided on.
    pub health: HealthState,
    /// Network round-trip time, in microseconds; 0 if unknown.
    pub round_trip_us: u64,
    /// Whether the target is in the instance's own data centre.
    pub is_local: bool,
}

impl Candidate {
    /// Relative share of the load that the target should get, in (0, 1].
    pub fn weight(&self) -> f64 {
        let base = match self.health {
            HealthState::Healthy => 1.0,
            HealthState::Ramping => WEIGHT_RAMPING,
            HealthState::Suspect => WEIGHT_SUSPECT,
            HealthState::Trial => WEIGHT_TRIAL,
            HealthState::Ejected => WEIGHT_EJECTED,
        };
        base * (1.0 - LOCAL_EVIDENCE_WEIGHT * self.load.local_evidence())
    }

    /// Whether the target is good enough for any request.
    pub fn is_healthy(&self, now_us: u64) -> bool {
        !matches!(self.health, HealthState::Ejected | HealthState::Trial)
            && self.load.is_healthy(now_us)
    }

    /// Rank for requests that may not be repeated; 0 is best.
    pub fn rank(&self) -> u8 {
        match self.health {
            HealthState::Healthy if self.load.local_evidence() <= MAX_UNSUSPECTED_EVIDENCE => 0,
            HealthState::Healthy => 1,
            HealthState::Ramping => 2,
            HealthState::Suspect => 3,
            HealthState::Trial => 4,
            HealthState::Ejected => 5,
        }
    }

    /// Cost of one more request: its expected time in microseconds, times the requests then in
    /// flight, divided by the weight.
    pub fn cost(&self, now_us: u64, median_us: u64) -> f64 {
        let expected_us =
            self.load.expected_us(now_us, median_us).max(1.0) + self.round_trip_us as f64;
        expected_us * f64::from(self.load.in_flight() + 1) / self.weight()
    }
}
