//! Telling all instances at once what speaks for or against a target.
//!
//! Answers faults of a few seconds at targets that one instance alone asks once
//! in several seconds. Only what changes a belief is told: a failure of a target
//! not yet held for failing, and a good answer of one that is doubted.

use std::sync::Arc;

use model::world::Service;

use super::Action;
use super::Alert;
use super::Instance;
use super::LogEvent;
use super::Message;
use super::SuspectTarget;
use super::evidence::SHED_PAUSE_MEDIANS;
use super::settings::EvidenceSharing;
use crate::evidence::Signal;
use crate::exchange::AttemptEnd;
use crate::exchange::Observation;
use crate::notes::IdRange;
use crate::routing::TargetLoad;

/// A failure of a target that is doubted more than this is no news.
const KNOWN_BAD: f64 = 0.95;
/// A good answer of a target that is doubted less than this is no news.
const KNOWN_GOOD: f64 = 0.1;
/// Others that a new instance asks for what they doubt.
const DOUBTS_ASKED: usize = 2;
/// Doubt at which the belief of a target changes sides in the log.
const SIDES: f64 = 0.5;
/// Time for which a target that gave no connection in time is left alone, in
/// microseconds: links are cut for 6 s and more in the bench's days.
const UNREACHABLE_US: u64 = 6_000_000;
/// Typical latency assumed while none is known, in microseconds.
const ASSUMED_LATENCY_US: u64 = 500_000;
/// Longest pause after a target sheds load, in microseconds: an eighth of the
/// shortest objective.
const LONGEST_SHED_PAUSE_US: u64 = 150_000;

impl Instance {
    /// Weighs how an attempt ended, and tells others if it changes what they believe.
    pub(super) fn weigh(
        &mut self,
        now_us: u64,
        service: &Arc<Service>,
        load: &Arc<TargetLoad>,
        observation: &Observation,
    ) {
        let signal = match observation.end {
            AttemptEnd::Answered { good, latency_us } => {
                if good {
                    let _ = self.observer.classify(&service.name, true, latency_us);
                    self.demand.answered(&service.name, latency_us);
                }
                load.answered(now_us, latency_us);
                if good { Signal::Good } else { Signal::Error }
            }
            AttemptEnd::Shed => {
                let median_us = self.observer.latencies(&service.name).median_us;
                let pause_us = SHED_PAUSE_MEDIANS * median_us.max(ASSUMED_LATENCY_US / 10);
                return load.shed(now_us, pause_us.min(LONGEST_SHED_PAUSE_US));
            }
            AttemptEnd::Cancelled => return,
            AttemptEnd::Unreachable => return load.unreachable(now_us, UNREACHABLE_US),
            AttemptEnd::NotSent | AttemptEnd::Cut => Signal::Reset,
            AttemptEnd::Overdue => Signal::Overdue,
        };
        self.show_latencies(&service.name);
        if observation.counted && signal != Signal::Reset {
            return;
        }
        let slow_service = self
            .demand
            .is_slow(&service.name, signal == Signal::Overdue);
        if slow_service && signal == Signal::Overdue {
            return;
        }
        let Some(target) = self.log.world().targets.get(&observation.target) else {
            return;
        };
        let alert = Alert {
            target: target.name.clone(),
            incarnation: target.incarnation,
            signal,
        };
        let own = self.membership.own().id.clone();
        let (before, _) = self.take_alert(now_us, &own, &alert);
        let news = match signal {
            Signal::Good => before > KNOWN_GOOD,
            _ => before < KNOWN_BAD,
        };
        if news {
            let ids = self.other_ids();
            self.spread_alerts(now_us, &[alert], &ids);
        }
    }

    /// Takes in what another instance has seen.
    pub(super) fn alerted(
        &mut self,
        now_us: u64,
        from: &Arc<str>,
        alerts: &[Alert],
        span: Option<&IdRange>,
    ) {
        if let Some(span) = span {
            let ids = span.cut(&self.other_ids());
            self.spread_alerts(now_us, alerts, &ids);
        }
        for alert in alerts {
            self.take_alert(now_us, from, alert);
        }
    }

    /// Asks the first others that become known what they doubt.
    pub(super) fn ask_for_doubts(&mut self, now_us: u64) {
        if self.has_asked_doubts || self.evidence != EvidenceSharing::Alerts {
            return;
        }
        let others: Vec<Arc<str>> = self.own_ids.iter().take(DOUBTS_ASKED).cloned().collect();
        self.has_asked_doubts = !others.is_empty();
        for id in others {
            self.send(now_us, &id, Message::PullSuspects);
        }
    }

    /// Tells an instance that has just started what is doubted here.
    pub(super) fn tell_doubts(&mut self, now_us: u64, to: &Arc<str>) {
        let told: Vec<SuspectTarget> = self
            .tables
            .suspect(now_us, KNOWN_GOOD)
            .map(|(target, level)| SuspectTarget {
                target: target.name.clone(),
                incarnation: target.incarnation,
                level_milli: (level * 1e3) as u32,
            })
            .collect();
        if !told.is_empty() {
            self.send(now_us, to, Message::Suspects(told));
        }
    }

    /// Takes over what another instance doubts, where nothing is known here.
    pub(super) fn learn_doubts(&mut self, now_us: u64, told: &[SuspectTarget]) {
        for told in told {
            let known = self.log.world().targets.get(&told.target).cloned();
            let Some(target) = known.filter(|target| target.incarnation == told.incarnation) else {
                continue;
            };
            let level = f64::from(told.level_milli) / 1e3;
            self.tables
                .load_of(&target)
                .raise_failure_probability(now_us, level);
        }
    }

    fn take_alert(&mut self, now_us: u64, by: &Arc<str>, alert: &Alert) -> (f64, f64) {
        let known = self.log.world().targets.get(&alert.target).cloned();
        let Some(target) = known.filter(|target| target.incarnation == alert.incarnation) else {
            return (0.0, 0.0);
        };
        if alert.signal != Signal::Good {
            self.demand.failure_told(&target.service);
        }
        let (before, after) = self.tables.load_of(&target).signal(now_us, alert.signal);
        if (before < SIDES) != (after < SIDES) {
            let milli = |level: f64| (level * 1_000.0) as u32;
            self.actions.push(Action::Log(LogEvent::SuspicionChanged {
                service: target.service.clone(),
                target: target.name.clone(),
                signal: alert.signal,
                by: by.clone(),
                before_milli: milli(before),
                after_milli: milli(after),
            }));
            self.update_overload(now_us, &target.service);
        }
        (before, after)
    }

    fn spread_alerts(&mut self, now_us: u64, alerts: &[Alert], ids: &[Arc<str>]) {
        for (to, span) in crate::notes::split(ids, &mut self.rng) {
            let alerts = alerts.to_vec();
            self.send(now_us, &to, Message::Alerts { alerts, span });
        }
    }
}
