//! Counting of request outcomes, reports to the owners, and the health decisions that result.
//!
//! Reports are sent in batches. Decisions are broadcast to all instances by a tree.

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
/// Pause after a target sheds load, in multiples of its service's median latency.
pub(super) const SHED_PAUSE_MEDIANS: u64 = 2;
/// Median latency assumed while none has been measured, in microseconds.
const ASSUMED_MEDIAN_US: u64 = 25_000;
/// Bytes of a message in addition to its reports.
const REPORT_OVERHEAD_BYTES: u64 = 40;
const REPORT_ENTRY_BYTES: u64 = 6;

impl Instance {
    /// Records the outcome of an attempt as evidence on its target.
    pub(super) fn record_observation(&mut self, now_us: u64, observation: &Observation) {
        let configuration = self.note_log.configuration();
        let Some(service) = configuration.services.get(&observation.service).cloned() else {
            return;
        };
        let Some(target) = configuration.targets.get(&observation.target).cloned() else {
            return;
        };
        let load = self.table_builder.load_of(&target);
        let latencies = self.observer.latencies(&service.name);
        let median_us = if latencies.is_known() {
            latencies.median_us
        } else {
            ASSUMED_MEDIAN_US
        };
        if self.evidence == EvidenceSharing::Alerts {
            return self.record_attempt_end(now_us, &service, &load, observation);
        }
        if load.is_leaving() {
            return;
        }
        let tally = match observation.end {
            AttemptEnd::Answered { good, latency_us } => {
                let tally = self.observer.classify(&service.name, good, latency_us);
                load.record_response(
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
                load.record_shed(now_us, SHED_PAUSE_MEDIANS * median_us);
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
        self.publish_latencies(&service.name);
        if observation.overdue_reports > 0 {
            return;
        }
        let here = self.membership.own().data_centre.clone();
        self.observer
            .count(&service.name, &target.name, tally, &mut self.rng);
        let failing =
            self.local_evidence
                .count(now_us, &service, &target.name, &here, tally, &load);
        if self.evidence == EvidenceSharing::Alone && failing {
            self.eject_by_own_evidence(now_us, &service.name, &target.name);
        }
    }

    /// Ejects a target on the evidence of the instance's own requests alone.
    pub(super) fn eject_by_own_evidence(
        &mut self,
        now_us: u64,
        service: &Arc<str>,
        target: &Arc<str>,
    ) {
        let events = self.health_monitor.eject_by_local_evidence(
            now_us,
            self.note_log.configuration(),
            service,
            target,
        );
        self.apply_health_events(now_us, events);
    }

    /// Sends the pending outcome counts to the owners of their services, if a flush is due.
    pub(super) fn flush_reports(&mut self, now_us: u64) {
        if now_us < self.next_flush_us {
            return;
        }
        self.next_flush_us = now_us + FLUSH_PERIOD_US;
        let mut by_owner: Vec<(Arc<str>, Vec<Report>)> = Vec::new();
        for report in self.observer.take_reports() {
            for owner in self.owners.of(&report.service, &self.membership) {
                match by_owner.iter_mut().find(|(id, _)| *id == owner) {
                    Some((_, reports)) => reports.push(report.clone()),
                    None => by_owner.push((owner, vec![report.clone()])),
                }
            }
        }
        if self.evidence == EvidenceSharing::Alone {
            return;
        }
        let own = self.membership.own().id.clone();
        let to_peers = by_owner.iter().filter(|(owner, _)| *owner != own);
        let bytes = to_peers.map(|(_, reports)| report_bytes(reports)).sum();
        self.observer.record_report_bytes(now_us, bytes);
        for (owner, reports) in by_owner {
            if owner == own {
                self.handle_reports(now_us, &own, &reports);
            } else {
                self.send(now_us, &owner, Message::Reports(reports));
            }
        }
    }

    /// Processes the reports of an instance as an owner of their services.
    pub(super) fn handle_reports(&mut self, now_us: u64, from: &Arc<str>, reports: &[Report]) {
        let Some(data_centre) = self
            .membership
            .get(from)
            .map(|member| member.data_centre.clone())
        else {
            return;
        };
        for report in reports {
            let events = self.health_monitor.report(
                now_us,
                self.note_log.configuration(),
                &data_centre,
                report,
            );
            self.apply_health_events(now_us, events);
        }
        self.send_latencies(now_us, from, reports);
    }

    /// Sends the latencies of services to a reporter that has measured too few of its own.
    pub(super) fn send_latencies(&mut self, now_us: u64, to: &Arc<str>, reports: &[Report]) {
        let without_estimate = reports.iter().filter(|report| !report.has_latency_estimate);
        let latencies: Vec<ServiceLatencies> = without_estimate
            .map(|report| (report, self.health_monitor.latencies(&report.service)))
            .filter(|(_, latencies)| latencies.is_known())
            .map(|(report, latencies)| ServiceLatencies {
                service: report.service.clone(),
                median_us: latencies.median_us,
                slow_us: latencies.slow_us,
            })
            .collect();
        if !latencies.is_empty() {
            self.send(now_us, to, Message::Latencies(latencies));
        }
    }

    /// Stores latencies that an owner has sent.
    pub(super) fn apply_latencies(&mut self, entries: Vec<ServiceLatencies>) {
        for entry in entries {
            let latencies = Latencies {
                median_us: entry.median_us,
                slow_us: entry.slow_us,
            };
            self.observer.set_owner_latencies(&entry.service, latencies);
            self.publish_latencies(&entry.service);
        }
    }

    /// Publishes a service's latencies to the request path.
    pub(super) fn publish_latencies(&mut self, service: &str) {
        let Some(service) = self.note_log.configuration().services.get(service).cloned() else {
            return;
        };
        let load = self.table_builder.service_load(&service);
        let latencies = self.observer.latencies(&service.name);
        load.slow_us.store(latencies.slow_us, Ordering::Relaxed);
        load.median_us.store(latencies.median_us, Ordering::Relaxed);
    }

    /// Passes the result of a probe to the health monitor.
    pub(super) fn handle_probe_result(
        &mut self,
        now_us: u64,
        service: &str,
        target: &Arc<str>,
        good: bool,
    ) {
        let events = self.health_monitor.apply_probe_result(
            now_us,
            self.note_log.configuration(),
            service,
            target,
            good,
        );
        self.apply_health_events(now_us, events);
    }

    /// Carries out the probes that the health monitor requests, and logs, applies and
    /// broadcasts its decisions.
    pub(super) fn apply_health_events(&mut self, now_us: u64, events: Vec<HealthEvent>) {
        let mut decisions = Vec::new();
        for event in events {
            match event {
                HealthEvent::Announce(decision) => decisions.push(decision),
                HealthEvent::Probe { service, target } => self.request_probe(&service, &target),
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
        self.apply_decisions(now_us, &own, &decisions);
        if self.evidence == EvidenceSharing::Owners {
            let ids = self.other_ids();
            self.broadcast_decisions(now_us, &own, &decisions, &ids);
        }
    }

    pub(super) fn request_probe(&mut self, service: &str, target: &str) {
        let configuration = self.note_log.configuration();
        if let (Some(service), Some(target)) = (
            configuration.services.get(service),
            configuration.targets.get(target),
        ) {
            self.actions.push(Action::Probe {
                target: target.clone(),
                path: service.probe_path.clone(),
            });
        }
    }

    /// Applies the decisions of an owner, and forwards them within `id_range`.
    pub(super) fn handle_decisions(
        &mut self,
        now_us: u64,
        owner: &Arc<str>,
        decisions: &[HealthDecision],
        id_range: Option<&IdRange>,
    ) {
        if let Some(id_range) = id_range {
            let ids = id_range.select_ids(&self.other_ids());
            self.broadcast_decisions(now_us, owner, decisions, &ids);
        }
        self.apply_decisions(now_us, owner, decisions);
    }

    pub(super) fn broadcast_decisions(
        &mut self,
        now_us: u64,
        owner: &Arc<str>,
        decisions: &[HealthDecision],
        ids: &[Arc<str>],
    ) {
        for (to, id_range) in crate::notes::partition_receivers(ids, &mut self.rng) {
            let message = Message::HealthDecisions {
                owner: owner.clone(),
                decisions: decisions.to_vec(),
                id_range,
            };
            self.send(now_us, &to, message);
        }
    }

    pub(super) fn apply_decisions(
        &mut self,
        now_us: u64,
        owner: &Arc<str>,
        decisions: &[HealthDecision],
    ) {
        let here = self.membership.own().data_centre.clone();
        for decision in decisions {
            if self.decision_table.apply(now_us, owner, &here, decision) {
                self.rebuild_service_of_target(&decision.target);
                self.actions.push(Action::Log(LogEvent::HealthChanged {
                    target: decision.target.clone(),
                    health: self.decision_table.health(&decision.target),
                }));
            }
        }
    }
}

/// Approximate size of a message with the reports.
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
