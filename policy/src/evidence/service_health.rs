//! Health of the targets of one service, as decided by one owner.
//!
//! An ejected target is probed; then, if the service is idempotent, it receives half-open
//! trial requests. It returns with a slow start.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::configuration::Repeat;
use model::configuration::Service;

use super::Finding;
use super::LatencyHistogram;
use super::SequentialTest;
use super::ServiceTest;
use super::health_monitor::HealthEvent;
use super::target_health::Phase;
use super::target_health::TargetHealth;

const INITIAL_EJECTION_US: u64 = 5_000_000;
const MAX_EJECTION_US: u64 = 320_000_000;
/// Time since an ejection, in addition to twice its duration, after which the next
/// ejection starts from the initial duration again.
const EJECTION_MEMORY_US: u64 = 120_000_000;
const PROBE_INTERVAL_US: u64 = 1_000_000;
const REQUIRED_GOOD_PROBES: u32 = 3;
const MAX_TRIAL_US: u64 = 60_000_000;
const RAMP_DURATION_US: u64 = 10_000_000;
/// Share of the evidence required for ejection at which a suspicion is announced.
const SUSPECT_EVIDENCE_SHARE: f64 = 0.5;
/// Duration of a suspicion. It ends without further evidence, as a suspect target receives
/// too few requests to clear it; the counts of the test are retained.
const SUSPECT_DURATION_US: u64 = 2_000_000;

/// What the outcomes of a target are counted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OutcomeUse {
    Ignored,
    Trial,
    Test,
}

#[derive(Debug, Default)]
pub(super) struct ServiceHealth {
    pub(super) test: ServiceTest,
    pub(super) latency_histogram: LatencyHistogram,
    pub(super) targets: BTreeMap<Arc<str>, TargetHealth>,
}

/// Limits the rate at which an owner announces suspicions.
#[derive(Debug, Default)]
pub(super) struct SuspicionLimiter {
    pub(super) interval_us: u64,
    pub(super) next_us: u64,
}

impl SuspicionLimiter {
    pub(super) fn try_acquire(&mut self, now_us: u64) -> bool {
        let is_allowed = now_us >= self.next_us;
        if is_allowed {
            self.next_us = now_us + self.interval_us;
        }
        is_allowed
    }
}

impl ServiceHealth {
    /// Returns what outcomes of a target are counted for if observed in `data_centre`.
    pub(super) fn outcome_use(&self, target: &str, data_centre: &Arc<str>) -> OutcomeUse {
        let Some(target_health) = self.targets.get(target) else {
            return OutcomeUse::Test;
        };
        let is_affected = target_health.from.is_empty() || target_health.from.contains(data_centre);
        match target_health.phase {
            Phase::Ejected { .. } | Phase::Probing { .. } if is_affected => OutcomeUse::Ignored,
            Phase::Trial { .. } if is_affected => OutcomeUse::Trial,
            _ => OutcomeUse::Test,
        }
    }

    /// Applies the finding of the sequential test for a target.
    pub(super) fn evaluate(
        &mut self,
        now_us: u64,
        service: &Service,
        target: &Arc<str>,
        suspicion_limiter: &mut SuspicionLimiter,
        events: &mut Vec<HealthEvent>,
    ) {
        let finding = self.test.decide(now_us, service, target);
        let phase = self
            .targets
            .get(target)
            .map(|target_health| target_health.phase.clone());
        match (finding, phase.unwrap_or(Phase::Healthy)) {
            (Finding::Failing, _) => self.eject(now_us, service, target, Vec::new(), events),
            (Finding::FailingFrom(from), _) => self.eject(now_us, service, target, from, events),
            (Finding::Undecided(share), Phase::Healthy)
                if share >= SUSPECT_EVIDENCE_SHARE
                    && service.repeat == Repeat::Idempotent
                    && suspicion_limiter.try_acquire(now_us) =>
            {
                let until_us = now_us + SUSPECT_DURATION_US;
                self.enter_phase(service, target, Phase::Suspect { until_us }, events);
            }
            (Finding::Undecided(share), Phase::Suspect { .. }) if share <= 0.0 => {
                self.enter_phase(service, target, Phase::Healthy, events);
            }
            (Finding::Undecided(_), _) => {}
        }
    }

    pub(super) fn eject(
        &mut self,
        now_us: u64,
        service: &Service,
        target: &Arc<str>,
        mut from: Vec<Arc<str>>,
        events: &mut Vec<HealthEvent>,
    ) {
        let previous = self.targets.get(target);
        if let Some(target_health) =
            previous.filter(|target_health| target_health.is_out_of_rotation() && !from.is_empty())
        {
            from.extend(target_health.from.iter().cloned());
            from.sort();
            from.dedup();
        }
        let ejection_us = previous
            .filter(|target_health| {
                target_health.ejection_us > 0
                    && now_us.saturating_sub(target_health.ejected_at_us)
                        < EJECTION_MEMORY_US + 2 * target_health.ejection_us
            })
            .map_or(INITIAL_EJECTION_US, |target_health| {
                (target_health.ejection_us * 2).min(MAX_EJECTION_US)
            });
        self.targets.insert(
            target.clone(),
            TargetHealth {
                phase: Phase::Healthy,
                from,
                ejection_us,
                ejected_at_us: now_us,
            },
        );
        let until_us = now_us + ejection_us;
        self.enter_phase(service, target, Phase::Ejected { until_us }, events);
        self.test.reset(now_us, target);
    }

    pub(super) fn enter_phase(
        &mut self,
        service: &Service,
        target: &Arc<str>,
        phase: Phase,
        events: &mut Vec<HealthEvent>,
    ) {
        let target_health = self
            .targets
            .entry(target.clone())
            .or_insert_with(|| TargetHealth {
                phase: Phase::Healthy,
                from: Vec::new(),
                ejection_us: 0,
                ejected_at_us: 0,
            });
        let before = target_health.health();
        target_health.phase = phase;
        if target_health.health() != before {
            events.push(target_health.decision_event(&service.name, target));
        }
    }

    pub(super) fn evaluate_trial(
        &mut self,
        now_us: u64,
        service: &Service,
        target: &Arc<str>,
        events: &mut Vec<HealthEvent>,
    ) {
        let ratio = self.test.trial_ratio(now_us, target);
        // A target on trial was ejected recently, so a third of the bound ejects it again.
        if ratio >= SequentialTest::upper_bound(service) / 3.0 {
            let from = self
                .targets
                .get(target)
                .map(|target_health| target_health.from.clone())
                .unwrap_or_default();
            self.eject(now_us, service, target, from, events);
        } else if ratio <= SequentialTest::lower_bound(service) {
            self.ramp(now_us, service, target, events);
        }
    }

    pub(super) fn ramp(
        &mut self,
        now_us: u64,
        service: &Service,
        target: &Arc<str>,
        events: &mut Vec<HealthEvent>,
    ) {
        self.test.reset(now_us, target);
        let until_us = now_us + RAMP_DURATION_US;
        self.enter_phase(service, target, Phase::Ramping { until_us }, events);
    }

    pub(super) fn apply_probe_result(
        &mut self,
        now_us: u64,
        service: &Service,
        target: &Arc<str>,
        good: bool,
        events: &mut Vec<HealthEvent>,
    ) {
        let Some(Phase::Probing {
            good_probes: count, ..
        }) = self
            .targets
            .get(target)
            .map(|target_health| target_health.phase.clone())
        else {
            return;
        };
        let count = if good { count + 1 } else { 0 };
        if count < REQUIRED_GOOD_PROBES {
            let next_us = now_us + PROBE_INTERVAL_US;
            self.enter_phase(
                service,
                target,
                Phase::Probing {
                    next_us,
                    good_probes: count,
                },
                events,
            );
        } else if service.repeat == Repeat::Never {
            self.ramp(now_us, service, target, events);
        } else {
            self.test.reset(now_us, target);
            let until_us = now_us + MAX_TRIAL_US;
            self.enter_phase(service, target, Phase::Trial { until_us }, events);
        }
    }

    pub(super) fn tick(&mut self, now_us: u64, service: &Service, events: &mut Vec<HealthEvent>) {
        let targets: Vec<Arc<str>> = self.targets.keys().cloned().collect();
        for target in targets {
            self.tick_target(now_us, service, &target, events);
        }
        self.targets.retain(|_, target_health| {
            let has_expired = now_us.saturating_sub(target_health.ejected_at_us)
                >= EJECTION_MEMORY_US + 2 * target_health.ejection_us;
            target_health.phase != Phase::Healthy || !has_expired
        });
    }

    pub(super) fn tick_target(
        &mut self,
        now_us: u64,
        service: &Service,
        target: &Arc<str>,
        events: &mut Vec<HealthEvent>,
    ) {
        match self.targets[target].phase {
            Phase::Ejected { until_us } if now_us >= until_us => {
                let next_us = now_us;
                self.enter_phase(
                    service,
                    target,
                    Phase::Probing {
                        next_us,
                        good_probes: 0,
                    },
                    events,
                );
            }
            Phase::Probing {
                next_us,
                good_probes,
            } if now_us >= next_us => {
                let next_us = now_us + 2 * PROBE_INTERVAL_US;
                self.enter_phase(
                    service,
                    target,
                    Phase::Probing {
                        next_us,
                        good_probes,
                    },
                    events,
                );
                events.push(HealthEvent::Probe {
                    service: service.name.clone(),
                    target: target.clone(),
                });
            }
            Phase::Trial { until_us } if now_us >= until_us => {
                self.ramp(now_us, service, target, events)
            }
            Phase::Suspect { until_us } | Phase::Ramping { until_us } if now_us >= until_us => {
                self.enter_phase(service, target, Phase::Healthy, events);
            }
            _ => {}
        }
    }
}
