//! Evidence from the instance's own requests.
//!
//! From the first failure on, it reduces the share of requests that a target receives, long
//! before the owners have decided. It decays over time.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::configuration::Service;

use crate::evidence::Finding;
use crate::evidence::ServiceTest;
use crate::evidence::Tally;
use crate::routing::TargetLoad;

const DECAY_PERIOD_US: u64 = 500_000;
const DECAY_FACTOR: f64 = 0.93;
/// Level at or below which evidence is reset to zero.
const MIN_EVIDENCE: f64 = 0.02;

/// Evidence from the instance's own requests, and the target loads that it is published to.
#[derive(Debug, Default)]
pub(super) struct LocalEvidence {
    tests: BTreeMap<Arc<str>, ServiceTest>,
    loads: BTreeMap<Arc<str>, Arc<TargetLoad>>,
    next_decay_us: u64,
}

impl LocalEvidence {
    /// Counts an outcome. Returns `true` if the instance's own evidence alone shows that the
    /// target fails.
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
        let (level, failing) = match test.decide(now_us, service, target) {
            Finding::Undecided(level) => (level, false),
            Finding::Failing | Finding::FailingFrom(_) => (1.0, true),
        };
        let level = if tally.abnormal > 0 {
            level.max(load.local_evidence())
        } else {
            level.max(load.local_evidence() * DECAY_FACTOR)
        };
        load.set_local_evidence(level);
        if level > 0.0 {
            self.loads.insert(target.clone(), load.clone());
        }
        failing
    }

    /// Decays the evidence, and drops what has become negligible.
    pub(super) fn tick(&mut self, now_us: u64) {
        if now_us < self.next_decay_us {
            return;
        }
        self.next_decay_us = now_us + DECAY_PERIOD_US;
        self.loads.retain(|_, load| {
            let level = load.local_evidence() * DECAY_FACTOR;
            let keep = level > MIN_EVIDENCE;
            load.set_local_evidence(if keep { level } else { 0.0 });
            keep
        });
    }

    /// Drops services that are no longer in the configuration.
    pub(super) fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.tests.retain(|name, _| keep(name));
    }
}
