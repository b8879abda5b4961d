//! The floor: the share of a service's slots that stays in use whatever the health decisions are.

use std::sync::Arc;

use model::configuration::Service;
use model::configuration::Target;

use crate::evidence::HealthState;
use crate::invariant;
use crate::invariant::Invariant;

/// Targets that an instance sends requests to, with their health.
#[derive(Clone, Debug, Default)]
pub struct RoutingSet {
    /// Targets in use.
    pub members: Vec<(Arc<Target>, HealthState)>,
    /// Slots that the floor requires.
    pub required_slots: u32,
}

impl RoutingSet {
    /// Slots of the targets in use.
    pub fn slots(&self) -> u32 {
        self.members.iter().map(|(target, _)| target.slots).sum()
    }
}

/// Chooses the targets in use: all that are not ejected, and ejected ones as far as the floor
/// requires them.
///
/// The third value of a target is the evidence against it; ejected targets with the least evidence
/// are used first. Leaving targets are never used.
pub fn enforce_floor(
    service: &Service,
    targets: Vec<(Arc<Target>, HealthState, f64)>,
) -> RoutingSet {
    let available: Vec<_> = targets
        .into_iter()
        .filter(|(target, _, _)| !target.leaving)
        .collect();
    let all_slots: u32 = available.iter().map(|(target, _, _)| target.slots).sum();
    let required_slots = (f64::from(all_slots) * service.floor_share).ceil() as u32;
    let (mut ejected, in_use): (Vec<_>, Vec<_>) = available
        .into_iter()
        .partition(|(_, health, _)| matches!(health, HealthState::Ejected | HealthState::Trial));
    ejected.sort_by(|a, b| {
        (a.1, a.2)
            .partial_cmp(&(b.1, b.2))
            .unwrap_or(std::cmp::Ordering::Equal)
    });
    let mut set = RoutingSet {
        members: in_use
            .into_iter()
            .map(|(target, health, _)| (target, health))
            .collect(),
        required_slots,
    };
    let mut counted_slots = set.slots();
    for (target, health, _) in ejected {
        if health == HealthState::Ejected && counted_slots >= required_slots {
            continue;
        }
        if counted_slots < required_slots {
            counted_slots += target.slots;
        }
        set.members.push((target, health));
    }
    invariant::check(Invariant::Floor, set.slots() >= required_slots);
    let none_leaving = set.members.iter().all(|(target, _)| !target.leaving);
    invariant::check(Invariant::NoWorkForLeaving, none_leaving);
    set
}
