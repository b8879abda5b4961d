//! Running evidence of an instance's own requests.
//!
//! It lowers a target's share from its first failure on, long before homes
//! have decided, and wears off by itself.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::world::Service;

use crate::evidence::Finding;
use crate::evidence::ServiceTest;
use crate::evidence::Tally;
use crate::routing::TargetLoad;

const DECAY_PERIOD_US: u64 = 500_000;
const DECAY: f64 = 0.93;
const NEGLIGIBLE: f64 = 0.02;

/// Evidence of the instance's own requests, by service.
#[derive(Debug, Default)]
pub(super) struct LocalEvidence {
    tests: BTreeMap<Arc<str>, ServiceTest>,
    steered: BTreeMap<Arc<str>, Arc<TargetLoad>>,
    next_decay_us: u64,
}

impl LocalEvidence {
    /// Counts an outcome; true if the own evidence alone says that the target fails.
    pub(super) fn count(
        &mut self,
        now_us: u64,
        service: &Service,
        target: &Arc<str>,
        here: &Arc<str>,
        tally: Tally,
        load: &Arc<TargetLoad>,
    ) -> bool {
        let test = self.tests.entry(service.name.clone()).or_default();
        test.count(now_us, target, here, 0, tally);
        let (share, failing) = match test.decide(now_us, service, target) {
            Finding::Running(share) => (share, false),
            Finding::Failing | Finding::FailingFrom(_) => (1.0, true),
        };
        let share = if tally.abnormal > 0 {
            share.max(load.local_evidence())
        } else {
            share.max(load.local_evidence() * DECAY)
        };
        load.set_local_evidence(share);
        if share > 0.0 {
            self.steered.insert(target.clone(), load.clone());
        }
        failing
    }

    /// Lets evidence wear off.
    pub(super) fn tick(&mut self, now_us: u64) {
        if now_us < self.next_decay_us {
            return;
        }
        self.next_decay_us = now_us + DECAY_PERIOD_US;
        self.steered.retain(|_, load| {
            let share = load.local_evidence() * DECAY;
            let keep = share > NEGLIGIBLE;
            load.set_local_evidence(if keep { share } else { 0.0 });
            keep
        });
    }

    /// Drops services that are no longer in the configuration.
    pub(super) fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.tests.retain(|name, _| keep(name));
    }
}
