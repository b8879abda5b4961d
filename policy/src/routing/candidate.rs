//! A target as the choice sees it.

use std::sync::Arc;

use model::configuration::Target;

use super::TargetLoad;
use crate::evidence::HealthState;

const WEIGHT_RAMPING: f64 = 0.3;
const WEIGHT_SUSPECT: f64 = 0.3;
const WEIGHT_TRIAL: f64 = 0.1;
const WEIGHT_EJECTED: f64 = 0.02;
const STEERED_SHARE: f64 = 0.75;
/// Running evidence up to which a target counts as unsuspected.
const UNSUSPECTED: f64 = 0.05;

/// A target, its standing and its load.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The target.
    pub target: Arc<Target>,
    /// Its counters.
    pub load: Arc<TargetLoad>,
    /// How the homes see it.
    pub health: HealthState,
    /// Time to it and back, in microseconds; 0 also where it is not known.
    pub round_trip_us: u64,
    /// Whether it runs in the instance's own data centre.
    pub is_local: bool,
}

impl Candidate {
    /// The share of work that the candidate is worth, above 0 to 1.
    pub fn weight(&self) -> f64 {
        let base = match self.health {
            HealthState::Healthy => 1.0,
            HealthState::Ramping => WEIGHT_RAMPING,
            HealthState::Suspect => WEIGHT_SUSPECT,
            HealthState::Trial => WEIGHT_TRIAL,
            HealthState::Ejected => WEIGHT_EJECTED,
        };
        base * (1.0 - STEERED_SHARE * self.load.local_evidence())
    }

    /// The rank for work that may not be repeated; lower is better.
    pub fn rank(&self) -> u8 {
        match self.health {
            HealthState::Healthy if self.load.local_evidence() <= UNSUSPECTED => 0,
            HealthState::Healthy => 1,
            HealthState::Ramping => 2,
            HealthState::Suspect => 3,
            HealthState::Trial => 4,
            HealthState::Ejected => 5,
        }
    }

    /// The cost of one more request, in microseconds over the weight.
    pub fn cost(&self, now_us: u64, median_us: u64) -> f64 {
        let expected_us =
            self.load.expected_us(now_us, median_us).max(1.0) + self.round_trip_us as f64;
        expected_us * f64::from(self.load.in_flight() + 1) / self.weight()
    }
}
