//! What a home holds against one target.

use std::sync::Arc;

use super::HealthDecision;
use super::HealthState;
use super::health_monitor::HealthEvent;

/// Where a target stands between ejection and return.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Phase {
    /// In use; kept so that a flapping target is remembered.
    Healthy,
    /// Told as suspect for a short time.
    Suspect { until_us: u64 },
    /// Out, without probes.
    Ejected { until_us: u64 },
    /// Out, until enough probes in a row are good.
    Probing { next_us: u64, good: u32 },
    /// Takes a trickle of idempotent requests.
    Trial { until_us: u64 },
    /// Back, with a small share.
    Ramping { until_us: u64 },
}

/// A target that was suspected or ejected.
#[derive(Clone, Debug)]
pub(super) struct TargetHealth {
    pub(super) phase: Phase,
    /// Data centres that it is out for; all if empty.
    pub(super) from: Vec<Arc<str>>,
    /// Length of the last ejection; the next one is twice as long.
    pub(super) length_us: u64,
    pub(super) ejected_us: u64,
}

impl TargetHealth {
    pub(super) fn health(&self) -> HealthState {
        match self.phase {
            Phase::Healthy => HealthState::Healthy,
            Phase::Suspect { .. } => HealthState::Suspect,
            Phase::Ejected { .. } | Phase::Probing { .. } => HealthState::Ejected,
            Phase::Trial { .. } => HealthState::Trial,
            Phase::Ramping { .. } => HealthState::Ramping,
        }
    }

    pub(super) fn is_out(&self) -> bool {
        matches!(
            self.phase,
            Phase::Ejected { .. } | Phase::Probing { .. } | Phase::Trial { .. }
        )
    }

    pub(super) fn tell(&self, service: &Arc<str>, target: &Arc<str>) -> HealthEvent {
        HealthEvent::Tell(HealthDecision {
            service: service.clone(),
            target: target.clone(),
            health: self.health(),
            from: self.from.clone(),
        })
    }
}
