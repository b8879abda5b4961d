//! The targets of one service, as its home sees them.
//!
//! A target is ejected, probed, tried and readmitted here.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::world::Repeat;
use model::world::Service;

use super::Finding;
use super::LatencyScale;
use super::SequentialTest;
use super::ServiceTest;
use super::health_monitor::HealthEvent;
use super::target_health::Phase;
use super::target_health::TargetHealth;

const FIRST_EJECTION_US: u64 = 5_000_000;
const LONGEST_EJECTION_US: u64 = 320_000_000;
/// A target that stays healthy for this long starts anew with short ejections.
const GOOD_CONDUCT_US: u64 = 120_000_000;
const PROBE_PERIOD_US: u64 = 1_000_000;
const PROBES_TO_RETURN: u32 = 3;
const TRIAL_LIMIT_US: u64 = 60_000_000;
const RAMP_US: u64 = 10_000_000;
/// Share of the ejecting evidence from which others are told.
const SUSPECT_SHARE: f64 = 0.5;
/// A suspicion that starves its own evidence ends by itself; the counts stay.
const SUSPICION_US: u64 = 2_000_000;

/// What outcomes are counted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    Ignored,
    Tried,
    Tested,
}

#[derive(Debug, Default)]
pub(super) struct ServiceHealth {
    pub(super) test: ServiceTest,
    pub(super) scale: LatencyScale,
    pub(super) cases: BTreeMap<Arc<str>, TargetHealth>,
}

/// How often a home may tell of mere suspicions.
#[derive(Debug, Default)]
pub(super) struct SuspicionPace {
    pub(super) interval_us: u64,
    pub(super) next_us: u64,
}

impl SuspicionPace {
    pub(super) fn take(&mut self, now_us: u64) -> bool {
        let free = now_us >= self.next_us;
        if free {
            self.next_us = now_us + self.interval_us;
        }
        free
    }
}

impl ServiceHealth {
    /// What outcomes of a target that a data centre has met are counted for.
    pub(super) fn role(&self, target: &str, data_centre: &Arc<str>) -> Role {
        let Some(case) = self.cases.get(target) else {
            return Role::Tested;
        };
        let concerned = case.from.is_empty() || case.from.contains(data_centre);
        match case.phase {
            Phase::Ejected { .. } | Phase::Probing { .. } if concerned => Role::Ignored,
            Phase::Trial { .. } if concerned => Role::Tried,
            _ => Role::Tested,
        }
    }

    /// Follows what the test says of a target.
    pub(super) fn judge(
        &mut self,
        now_us: u64,
        service: &Service,
        target: &Arc<str>,
        pace: &mut SuspicionPace,
        events: &mut Vec<HealthEvent>,
    ) {
        let finding = self.test.decide(now_us, service, target);
        let phase = self.cases.get(target).map(|case| case.phase.clone());
        match (finding, phase.unwrap_or(Phase::Healthy)) {
            (Finding::Failing, _) => self.eject(now_us, service, target, Vec::new(), events),
            (Finding::FailingFrom(from), _) => self.eject(now_us, service, target, from, events),
            (Finding::Running(share), Phase::Healthy)
                if share >= SUSPECT_SHARE
                    && service.repeat == Repeat::Idempotent
                    && pace.take(now_us) =>
            {
                let until_us = now_us + SUSPICION_US;
                self.enter(service, target, Phase::Suspect { until_us }, events);
            }
            (Finding::Running(share), Phase::Suspect { .. }) if share <= 0.0 => {
                self.enter(service, target, Phase::Healthy, events);
            }
            (Finding::Running(_), _) => {}
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
        let previous = self.cases.get(target);
        if let Some(case) = previous.filter(|case| case.is_out() && !from.is_empty()) {
            from.extend(case.from.iter().cloned());
            from.sort();
            from.dedup();
        }
        let length_us = previous
            .filter(|case| {
                case.length_us > 0
                    && now_us.saturating_sub(case.ejected_us) < GOOD_CONDUCT_US + 2 * case.length_us
            })
            .map_or(FIRST_EJECTION_US, |case| {
                (case.length_us * 2).min(LONGEST_EJECTION_US)
            });
        self.cases.insert(
            target.clone(),
            TargetHealth {
                phase: Phase::Healthy,
                from,
                length_us,
                ejected_us: now_us,
            },
        );
        let until_us = now_us + length_us;
        self.enter(service, target, Phase::Ejected { until_us }, events);
        self.test.reset(now_us, target);
    }

    pub(super) fn enter(
        &mut self,
        service: &Service,
        target: &Arc<str>,
        phase: Phase,
        events: &mut Vec<HealthEvent>,
    ) {
        let case = self
            .cases
            .entry(target.clone())
            .or_insert_with(|| TargetHealth {
                phase: Phase::Healthy,
                from: Vec::new(),
                length_us: 0,
                ejected_us: 0,
            });
        let before = case.health();
        case.phase = phase;
        if case.health() != before {
            events.push(case.tell(&service.name, target));
        }
    }

    pub(super) fn judge_trial(
        &mut self,
        now_us: u64,
        service: &Service,
        target: &Arc<str>,
        events: &mut Vec<HealthEvent>,
    ) {
        let ratio = self.test.trial_ratio(now_us, target);
        // A trial starts from strong suspicion, so a third of the bound ejects again.
        if ratio >= SequentialTest::upper_bound(service) / 3.0 {
            let from = self
                .cases
                .get(target)
                .map(|case| case.from.clone())
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
        let until_us = now_us + RAMP_US;
        self.enter(service, target, Phase::Ramping { until_us }, events);
    }

    pub(super) fn probed(
        &mut self,
        now_us: u64,
        service: &Service,
        target: &Arc<str>,
        good: bool,
        events: &mut Vec<HealthEvent>,
    ) {
        let Some(Phase::Probing { good: count, .. }) =
            self.cases.get(target).map(|case| case.phase.clone())
        else {
            return;
        };
        let count = if good { count + 1 } else { 0 };
        if count < PROBES_TO_RETURN {
            let next_us = now_us + PROBE_PERIOD_US;
            self.enter(
                service,
                target,
                Phase::Probing {
                    next_us,
                    good: count,
                },
                events,
            );
        } else if service.repeat == Repeat::Never {
            self.ramp(now_us, service, target, events);
        } else {
            self.test.reset(now_us, target);
            let until_us = now_us + TRIAL_LIMIT_US;
            self.enter(service, target, Phase::Trial { until_us }, events);
        }
    }

    pub(super) fn tick(&mut self, now_us: u64, service: &Service, events: &mut Vec<HealthEvent>) {
        let targets: Vec<Arc<str>> = self.cases.keys().cloned().collect();
        for target in targets {
            self.tick_case(now_us, service, &target, events);
        }
        self.cases.retain(|_, case| {
            let forgiven =
                now_us.saturating_sub(case.ejected_us) >= GOOD_CONDUCT_US + 2 * case.length_us;
            case.phase != Phase::Healthy || !forgiven
        });
    }

    pub(super) fn tick_case(
        &mut self,
        now_us: u64,
        service: &Service,
        target: &Arc<str>,
        events: &mut Vec<HealthEvent>,
    ) {
        match self.cases[target].phase {
            Phase::Ejected { until_us } if now_us >= until_us => {
                let next_us = now_us;
                self.enter(service, target, Phase::Probing { next_us, good: 0 }, events);
            }
            Phase::Probing { next_us, good } if now_us >= next_us => {
                let next_us = now_us + 2 * PROBE_PERIOD_US;
                self.enter(service, target, Phase::Probing { next_us, good }, events);
                events.push(HealthEvent::Probe {
                    service: service.name.clone(),
                    target: target.clone(),
                });
            }
            Phase::Trial { until_us } if now_us >= until_us => {
                self.ramp(now_us, service, target, events)
            }
            Phase::Suspect { until_us } | Phase::Ramping { until_us } if now_us >= until_us => {
                self.enter(service, target, Phase::Healthy, events);
            }
            _ => {}
        }
    }
}
