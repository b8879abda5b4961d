//! What a home holds against one target.

use std::sync::Arc;

use super::Standing;
use super::Verdict;
use super::home::HomeEvent;

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
pub(super) struct Case {
    pub(super) phase: Phase,
    /// Data centres that it is out for; all if empty.
    pub(super) from: Vec<Arc<str>>,
    /// Length of the last ejection; the next one is twice as long.
    pub(super) length_us: u64,
    pub(super) ejected_us: u64,
}

impl Case {
    pub(super) fn standing(&self) -> Standing {
        match self.phase {
            Phase::Healthy => Standing::Healthy,
            Phase::Suspect { .. } => Standing::Suspect,
            Phase::Ejected { .. } | Phase::Probing { .. } => Standing::Ejected,
            Phase::Trial { .. } => Standing::Trial,
            Phase::Ramping { .. } => Standing::Ramping,
        }
    }

    pub(super) fn is_out(&self) -> bool {
        matches!(
            self.phase,
            Phase::Ejected { .. } | Phase::Probing { .. } | Phase::Trial { .. }
        )
    }

    pub(super) fn tell(&self, service: &Arc<str>, target: &Arc<str>) -> HomeEvent {
        HomeEvent::Tell(Verdict {
            service: service.clone(),
            target: target.clone(),
            standing: self.standing(),
            from: self.from.clone(),
        })
    }
}
