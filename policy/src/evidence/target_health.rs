//! Health of one target, as decided by one owner.

use std::sync::Arc;

use super::HealthDecision;
use super::HealthState;
use super::health_monitor::HealthEvent;

/// Phase of a target between suspicion or ejection and full use.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Phase {
    /// In use; retained so that a flapping target is ejected for longer.
    Healthy,
    /// In use; announced as suspect for a short time.
    Suspect { until_us: u64 },
    /// Out of rotation, without probes.
    Ejected { until_us: u64 },
    /// Out of rotation, until enough consecutive probes succeed.
    Probing { next_us: u64, good_probes: u32 },
    /// Half-open: receives few requests, all of them idempotent.
    Trial { until_us: u64 },
    /// In use with a reduced share (slow start).
    Ramping { until_us: u64 },
}

/// Health of a target that was suspect or ejected.
#[derive(Clone, Debug)]
pub(super) struct TargetHealth {
    pub(super) phase: Phase,
    /// Data centres that the ejection applies to; all if empty.
    pub(super) from: Vec<Arc<str>>,
    /// Duration of the last ejection; the next one is twice as long.
    pub(super) ejection_us: u64,
    pub(super) ejected_at_us: u64,
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

    pub(super) fn is_out_of_rotation(&self) -> bool {
        matches!(
            self.phase,
            Phase::Ejected { .. } | Phase::Probing { .. } | Phase::Trial { .. }
        )
    }

    pub(super) fn decision_event(&self, service: &Arc<str>, target: &Arc<str>) -> HealthEvent {
        HealthEvent::Announce(HealthDecision {
            service: service.clone(),
            target: target.clone(),
            health: self.health(),
            from: self.from.clone(),
        })
    }
}
