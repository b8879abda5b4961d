//! Counting outcomes, reporting them to homes, and following verdicts.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use super::Action;
use super::EvidenceSharing;
use super::Instance;
use super::LogEvent;
use super::Message;
use super::ServiceLatencies;
use crate::evidence::HealthDecision;
use crate::evidence::HealthEvent;
use crate::evidence::Latencies;
use crate::evidence::Report;
use crate::evidence::Tally;
use crate::exchange::AttemptEnd;
use crate::exchange::Observation;
use crate::notes::IdRange;

const FLUSH_PERIOD_US: u64 = 250_000;
/// Pause after a target sheds load, in medians of its service.
pub(super) const SHED_PAUSE_MEDIANS: u64 = 2;
const ASSUMED_MEDIAN_US: u64 = 25_000;
/// Bytes of a message besides its reports.
const REPORT_OVERHEAD_BYTES: u64 = 40;
const REPORT_ENTRY_BYTES: u64 = 6;

impl Instance {
    pub(super) fn observed(&mut self, now_us: u64, observation: &Observation) {
        let world = self.log.world();
        let Some(service) = world.services.get(&observation.service).cloned() else {
            return;
        };
        let Some(target) = world.targets.get(&observation.target).cloned() else {
            return;
        };
        let load = self.tables.load_of(&target);
        let known = self.observer.latencies(&service.name);
        let median_us = if known.is_known() {
            known.median_us
        } else {
            ASSUMED_MEDIAN_US
        };
        if self.evidence == EvidenceSharing::Alerts {
            return self.weigh(now_us, &service, &load, observation);
        }
        let tally = match observation.end {
            AttemptEnd::Answered { good, latency_us } => {
                let tally = self.observer.classify(&service.name, good, latency_us);
                load.answered(
                    now_us,
                    if good {
                        latency_us
                    } else {
                        latency_us.max(4 * median_us)
                    },
                );
                tally
            }
            AttemptEnd::Shed => {
                load.shed(now_us, SHED_PAUSE_MEDIANS * median_us);
                return;
            }
            AttemptEnd::Cancelled => return,
            AttemptEnd::NotSent
            | AttemptEnd::Unreachable
            | AttemptEnd::Cut
            | AttemptEnd::Overdue => Tally {
                normal: 0,
                abnormal: 1,
            },
        };
        self.show_latencies(&service.name);
        if observation.counted {
            return;
        }
        let here = self.membership.own().data_centre.clone();
        self.observer
            .count(&service.name, &target.name, tally, &mut self.rng);
        let failing =
            self.local_evidence
                .count(now_us, &service, &target.name, &here, tally, &load);
        if self.evidence == EvidenceSharing::Alone && failing {
            self.judge_alone(now_us, &service.name, &target.name);
        }
    }

    /// Ejects a target by the instance's own evidence.
    pub(super) fn judge_alone(&mut self, now_us: u64, service: &Arc<str>, target: &Arc<str>) {
        let events = self
            .health_monitor
            .eject_alone(now_us, self.log.world(), service, target);
        self.apply_health_events(now_us, events);
    }

    pub(super) fn flush_reports(&mut self, now_us: u64) {
        if now_us < self.next_flush_us {
            return;
        }
        self.next_flush_us = now_us + FLUSH_PERIOD_US;
        let mut by_home: Vec<(Arc<str>, Vec<Report>)> = Vec::new();
        for report in self.observer.take_reports() {
            for owner in self.owners.of(&report.service, &self.membership) {
                match by_home.iter_mut().find(|(id, _)| *id == owner) {
                    Some((_, reports)) => reports.push(report.clone()),
                    None => by_home.push((owner, vec![report.clone()])),
                }
            }
        }
        if self.evidence == EvidenceSharing::Alone {
            return;
        }
        let own = self.membership.own().id.clone();
        let sent = by_home.iter().filter(|(owner, _)| *owner != own);
        let bytes = sent.map(|(_, reports)| report_bytes(reports)).sum();
        self.observer.spend(now_us, bytes);
        for (owner, reports) in by_home {
            if owner == own {
                self.take_reports(now_us, &own, &reports);
            } else {
                self.send(now_us, &owner, Message::Reports(reports));
            }
        }
    }

    pub(super) fn take_reports(&mut self, now_us: u64, from: &Arc<str>, reports: &[Report]) {
        let Some(data_centre) = self
            .membership
            .get(from)
            .map(|member| member.data_centre.clone())
        else {
            return;
        };
        for report in reports {
            let events = self
                .health_monitor
                .report(now_us, self.log.world(), &data_centre, report);
            self.apply_health_events(now_us, events);
        }
        self.tell_latencies(now_us, from, reports);
    }

    /// Tells what is slow to a reporter that knows too few latencies.
    pub(super) fn tell_latencies(&mut self, now_us: u64, to: &Arc<str>, reports: &[Report]) {
        let unsure = reports.iter().filter(|report| !report.knows_latencies);
        let told: Vec<ServiceLatencies> = unsure
            .map(|report| (report, self.health_monitor.latencies(&report.service)))
            .filter(|(_, known)| known.is_known())
            .map(|(report, known)| ServiceLatencies {
                service: report.service.clone(),
                median_us: known.median_us,
                slow_us: known.slow_us,
            })
            .collect();
        if !told.is_empty() {
            self.send(now_us, to, Message::Latencies(told));
        }
    }

    pub(super) fn learn_latencies(&mut self, told: Vec<ServiceLatencies>) {
        for told in told {
            let latencies = Latencies {
                median_us: told.median_us,
                slow_us: told.slow_us,
            };
            self.observer.told(&told.service, latencies);
            self.show_latencies(&told.service);
        }
    }

    /// Shows the request path what is known of a service's latencies.
    pub(super) fn show_latencies(&mut self, service: &str) {
        let Some(service) = self.log.world().services.get(service).cloned() else {
            return;
        };
        let load = self.tables.service_load(&service);
        let known = self.observer.latencies(&service.name);
        load.slow_us.store(known.slow_us, Ordering::Relaxed);
        load.median_us.store(known.median_us, Ordering::Relaxed);
    }

    pub(super) fn probed(&mut self, now_us: u64, service: &str, target: &Arc<str>, good: bool) {
        let events = self
            .health_monitor
            .probed(now_us, self.log.world(), service, target, good);
        self.apply_health_events(now_us, events);
    }

    pub(super) fn apply_health_events(&mut self, now_us: u64, events: Vec<HealthEvent>) {
        let mut decisions = Vec::new();
        for event in events {
            match event {
                HealthEvent::Tell(decision) => decisions.push(decision),
                HealthEvent::Probe { service, target } => self.probe(&service, &target),
            }
        }
        if decisions.is_empty() {
            return;
        }
        for decision in &decisions {
            self.actions.push(Action::Log(LogEvent::HealthDecided {
                service: decision.service.clone(),
                target: decision.target.clone(),
                health: decision.health,
                from: decision.from.clone(),
            }));
        }
        let own = self.membership.own().id.clone();
        self.learn_verdicts(now_us, &own, &decisions);
        if self.evidence == EvidenceSharing::Owners {
            let ids = self.other_ids();
            self.spread_verdicts(now_us, &own, &decisions, &ids);
        }
    }

    pub(super) fn probe(&mut self, service: &str, target: &str) {
        let world = self.log.world();
        if let (Some(service), Some(target)) =
            (world.services.get(service), world.targets.get(target))
        {
            self.actions.push(Action::Probe {
                target: target.clone(),
                path: service.probe_path.clone(),
            });
        }
    }

    pub(super) fn verdicts_spread(
        &mut self,
        now_us: u64,
        owner: &Arc<str>,
        decisions: &[HealthDecision],
        span: Option<&IdRange>,
    ) {
        if let Some(span) = span {
            let ids = span.cut(&self.other_ids());
            self.spread_verdicts(now_us, owner, decisions, &ids);
        }
        self.learn_verdicts(now_us, owner, decisions);
    }

    pub(super) fn spread_verdicts(
        &mut self,
        now_us: u64,
        owner: &Arc<str>,
        decisions: &[HealthDecision],
        ids: &[Arc<str>],
    ) {
        for (to, span) in crate::notes::split(ids, &mut self.rng) {
            let message = Message::HealthDecisions {
                owner: owner.clone(),
                decisions: decisions.to_vec(),
                span,
            };
            self.send(now_us, &to, message);
        }
    }

    pub(super) fn learn_verdicts(
        &mut self,
        now_us: u64,
        owner: &Arc<str>,
        decisions: &[HealthDecision],
    ) {
        let here = self.membership.own().data_centre.clone();
        for decision in decisions {
            if self.decision_table.learn(now_us, owner, &here, decision) {
                self.rebuild_of_target(&decision.target);
                self.actions.push(Action::Log(LogEvent::HealthChanged {
                    target: decision.target.clone(),
                    health: self.decision_table.health(&decision.target),
                }));
            }
        }
    }
}

fn report_bytes(reports: &[Report]) -> u64 {
    let entry = |target: &str| target.len() as u64 + REPORT_ENTRY_BYTES;
    let body: u64 = reports
        .iter()
        .map(|report| {
            report.service.len() as u64
                + report
                    .targets
                    .iter()
                    .map(|target| entry(&target.target))
                    .sum::<u64>()
        })
        .sum();
    body + REPORT_OVERHEAD_BYTES
}
