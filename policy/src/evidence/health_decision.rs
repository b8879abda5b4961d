//! What homes say of targets, and what an instance makes of it.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// How a home sees a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum HealthState {
    /// Nothing speaks against it.
    Healthy,
    /// It comes back and takes little work.
    Ramping,
    /// Evidence speaks against it without being conclusive.
    Suspect,
    /// It takes a trickle of idempotent requests.
    Trial,
    /// It takes no new work.
    Ejected,
}

/// A home's view of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthDecision {
    /// The service's name.
    pub service: Arc<str>,
    /// The target's name.
    pub target: Arc<str>,
    /// The view.
    pub health: HealthState,
    /// Data centres that it holds for; all if empty.
    pub from: Vec<Arc<str>>,
}

/// How long a verdict holds without being repeated.
const VERDICT_LIFE_US: u64 = 240_000_000;

#[derive(Clone, Debug)]
struct Held {
    health: HealthState,
    until_us: u64,
}

/// The verdicts that an instance holds, by target and home.
#[derive(Debug, Default)]
pub struct DecisionTable {
    by_target: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Held>>,
}

impl DecisionTable {
    /// Takes in a verdict for an instance in `own_data_centre`; true if the standing changed.
    pub fn learn(
        &mut self,
        now_us: u64,
        owner: &Arc<str>,
        own_data_centre: &str,
        decision: &HealthDecision,
    ) -> bool {
        let before = self.health(&decision.target);
        let here =
            decision.from.is_empty() || decision.from.iter().any(|name| &**name == own_data_centre);
        let health = if here {
            decision.health
        } else {
            HealthState::Healthy
        };
        let owners = self.by_target.entry(decision.target.clone()).or_default();
        if health == HealthState::Healthy {
            owners.remove(owner);
        } else {
            let until_us = now_us + VERDICT_LIFE_US;
            owners.insert(owner.clone(), Held { health, until_us });
        }
        if owners.is_empty() {
            self.by_target.remove(&decision.target);
        }
        self.health(&decision.target) != before
    }

    /// The worst standing that a home gives a target.
    pub fn health(&self, target: &str) -> HealthState {
        let owners = self.by_target.get(target);
        owners
            .into_iter()
            .flat_map(BTreeMap::values)
            .map(|held| held.health)
            .max()
            .unwrap_or(HealthState::Healthy)
    }

    /// Drops the verdicts of a home that is gone; returns the targets concerned.
    pub fn forget_owner(&mut self, owner: &str) -> Vec<Arc<str>> {
        self.drop_held(|held_by, _| *held_by != *owner)
    }

    /// Drops verdicts that were not repeated in time; returns the targets concerned.
    pub fn expire(&mut self, now_us: u64) -> Vec<Arc<str>> {
        self.drop_held(|_, held| held.until_us > now_us)
    }

    fn drop_held(&mut self, keep: impl Fn(&str, &Held) -> bool) -> Vec<Arc<str>> {
        let mut changed = Vec::new();
        self.by_target.retain(|target, owners| {
            let before = owners.len();
            owners.retain(|owner, held| keep(owner, held));
            if owners.len() != before {
                changed.push(target.clone());
            }
            !owners.is_empty()
        });
        changed
    }
}
