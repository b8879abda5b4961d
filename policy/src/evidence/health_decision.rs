//! Health decisions of owners, and the table in which an instance combines them.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Health of a target according to an owner, from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum HealthState {
    /// No evidence of failure.
    Healthy,
    /// Readmitted with a reduced share (slow start).
    Ramping,
    /// The evidence of failure is not conclusive.
    Suspect,
    /// Half-open: receives few requests, all of them idempotent.
    Trial,
    /// Receives no new requests.
    Ejected,
}

/// An owner's decision on a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthDecision {
    /// The service's name.
    pub service: Arc<str>,
    /// The target's name.
    pub target: Arc<str>,
    /// The target's health.
    pub health: HealthState,
    /// Data centres that the decision applies to; all if empty.
    pub from: Vec<Arc<str>>,
}

/// Time after which a decision expires unless it is repeated.
const DECISION_TTL_US: u64 = 240_000_000;

#[derive(Clone, Debug)]
struct StoredHealth {
    health: HealthState,
    until_us: u64,
}

/// The decisions in effect on an instance, by target and owner.
#[derive(Debug, Default)]
pub struct DecisionTable {
    by_target: BTreeMap<Arc<str>, BTreeMap<Arc<str>, StoredHealth>>,
}

impl DecisionTable {
    /// Applies a decision for an instance in `own_data_centre`; returns whether the target's
    /// health changed.
    pub fn apply(
        &mut self,
        now_us: u64,
        owner: &Arc<str>,
        own_data_centre: &str,
        decision: &HealthDecision,
    ) -> bool {
        let before = self.health(&decision.target);
        let applies =
            decision.from.is_empty() || decision.from.iter().any(|name| &**name == own_data_centre);
        let health = if applies {
            decision.health
        } else {
            HealthState::Healthy
        };
        let owners = self.by_target.entry(decision.target.clone()).or_default();
        if health == HealthState::Healthy {
            owners.remove(owner);
        } else {
            let until_us = now_us + DECISION_TTL_US;
            owners.insert(owner.clone(), StoredHealth { health, until_us });
        }
        if owners.is_empty() {
            self.by_target.remove(&decision.target);
        }
        self.health(&decision.target) != before
    }

    /// Returns the worst health that any owner reports for a target.
    pub fn health(&self, target: &str) -> HealthState {
        let owners = self.by_target.get(target);
        owners
            .into_iter()
            .flat_map(BTreeMap::values)
            .map(|stored| stored.health)
            .max()
            .unwrap_or(HealthState::Healthy)
    }

    /// Drops the decisions of an owner that has left the fleet; returns the affected targets.
    pub fn forget_owner(&mut self, owner: &str) -> Vec<Arc<str>> {
        self.retain_stored(|decision_owner, _| *decision_owner != *owner)
    }

    /// Drops decisions that were not repeated in time; returns the affected targets.
    pub fn expire(&mut self, now_us: u64) -> Vec<Arc<str>> {
        self.retain_stored(|_, stored| stored.until_us > now_us)
    }

    fn retain_stored(&mut self, keep: impl Fn(&str, &StoredHealth) -> bool) -> Vec<Arc<str>> {
        let mut changed = Vec::new();
        self.by_target.retain(|target, owners| {
            let before = owners.len();
            owners.retain(|owner, stored| keep(owner, stored));
            if owners.len() != before {
                changed.push(target.clone());
            }
            !owners.is_empty()
        });
        changed
    }
}
