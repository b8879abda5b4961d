//! Baseline for comparison: round robin with ejection after consecutive failures.
//!
//! Each instance decides by itself, from its own requests only.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::SECOND_US;

const FAILURES_TO_EJECT: u32 = 5;
const BASE_EJECTION_US: u64 = 30 * SECOND_US;
const MAX_EJECTED_SHARE: f64 = 0.5;

#[derive(Clone, Debug, Default)]
struct TargetState {
    failures: u32,
    ejected_until_us: u64,
    ejections: u64,
}

/// Round-robin router of one instance.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    targets: BTreeMap<Arc<str>, TargetState>,
    position: usize,
}

impl RoundRobin {
    /// Creates a router for a set of targets.
    pub fn new(targets: impl Iterator<Item = Arc<str>>) -> Self {
        Self {
            targets: targets.map(|name| (name, TargetState::default())).collect(),
            position: 0,
        }
    }

    /// Returns the next target that is not ejected, or the next one in order if all are.
    pub fn choose(&mut self, now_us: u64, names: &[Arc<str>]) -> Arc<str> {
        for _ in 0..names.len() {
            self.position += 1;
            let name = &names[self.position % names.len()];
            if !self.is_ejected(now_us, name) {
                return name.clone();
            }
        }
        names[self.position % names.len()].clone()
    }

    /// Records the result of a request. Returns whether it ejects the target.
    pub fn record_result(
        &mut self,
        now_us: u64,
        name: &Arc<str>,
        good: bool,
        names: &[Arc<str>],
    ) -> bool {
        let ejected = names
            .iter()
            .filter(|other| self.is_ejected(now_us, other))
            .count();
        let state = self.targets.entry(name.clone()).or_default();
        state.failures = if good { 0 } else { state.failures + 1 };
        let can_eject = ((ejected + 1) as f64) <= names.len() as f64 * MAX_EJECTED_SHARE;
        if state.failures < FAILURES_TO_EJECT || !can_eject || state.ejected_until_us > now_us {
            return false;
        }
        state.ejections += 1;
        state.failures = 0;
        state.ejected_until_us = now_us + BASE_EJECTION_US * state.ejections;
        true
    }

    /// Whether a target is ejected at `now_us`.
    pub fn is_ejected(&self, now_us: u64, name: &str) -> bool {
        self.targets
            .get(name)
            .is_some_and(|state| state.ejected_until_us > now_us)
    }
}
