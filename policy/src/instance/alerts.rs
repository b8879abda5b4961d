//! Broadcast of alerts: good and bad outcomes at a target that are sent to all instances at once.
//!
//! Faults may last only a few seconds, while a single instance sends a request to a given
//! target only once in several seconds, so its own evidence would come too late. To limit
//! traffic, an alert is broadcast only if it changes the estimate: a failure of a target not
//! yet considered failing, or a good response from one not yet considered healthy.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use model::configuration::Service;

use super::Action;
use super::Alert;
use super::Instance;
use super::LogEvent;
use super::Message;
use super::SuspectTarget;
use super::evidence::SHED_PAUSE_MEDIANS;
use super::settings::EvidenceSharing;
use crate::evidence::MAX_OVERDUE_REPORTS;
use crate::evidence::Signal;
use crate::evidence::overdue_share;
use crate::exchange::AttemptEnd;
use crate::exchange::Observation;
use crate::notes::IdRange;
use crate::routing::TargetLoad;

/// Failure probability above which a further failure is not broadcast.
const KNOWN_FAILING_PROBABILITY: f64 = 0.95;
/// The same for an overdue response, since earlier ones may be revoked.
const KNOWN_HANGING_PROBABILITY: f64 = 0.99;
/// Failure probability below which a good response is not broadcast.
const KNOWN_HEALTHY_PROBABILITY: f64 = 0.1;
/// Peers from which a new instance requests the targets with raised failure probabilities.
const SUSPECT_PULL_PEERS: usize = 2;
/// Failure probability whose crossing, in either direction, is logged and updates the
/// overload state of the service. Routing has a lower threshold for healthy targets.
const SUSPICION_LOG_THRESHOLD: f64 = 0.5;
/// Time for which a target is avoided after a connection attempt timed out, in
/// microseconds: link outages in the benchmark last 6 s and more.
const UNREACHABLE_PAUSE_US: u64 = 6_000_000;
/// Upper bound on the size of an alert.
const ALERT_BYTES: f64 = 100.0;
/// Bytes per second of such alerts that an instance may receive: one per cent of the users'
/// slowest links of 20 Mbit/s.
const MAX_ALERT_BYTES_PER_S: f64 = 25_000.0;
/// Share of a service's slots at healthy targets down to which silent targets become suspect.
const MIN_HEALTHY_SHARE_FOR_SILENCE: f64 = 0.35;
/// Latency assumed while none has been measured, in microseconds.
const ASSUMED_LATENCY_US: u64 = 500_000;
/// Longest pause after a target sheds load, in microseconds: an eighth of the
/// shortest latency objective.
const MAX_SHED_PAUSE_US: u64 = 150_000;

/// Number of an attempt's first overdue reports that stay in the instance, so that those of
/// healthy targets, which are revoked, do not use up the bytes that an instance may receive.
fn local_overdue_reports(fleet_rate_per_s: f64) -> u8 {
    let bytes_per_s = |reports: u8| fleet_rate_per_s * overdue_share(reports) * 2.0 * ALERT_BYTES;
    (0..MAX_OVERDUE_REPORTS - 1)
        .find(|reports| bytes_per_s(*reports) <= MAX_ALERT_BYTES_PER_S)
        .unwrap_or(MAX_OVERDUE_REPORTS - 1)
}

impl Instance {
    /// Updates a target's failure estimate with the outcome of an attempt, and broadcasts an
    /// alert if this changes the estimate.
    pub(super) fn record_attempt_end(
        &mut self,
        now_us: u64,
        service: &Arc<Service>,
        load: &Arc<TargetLoad>,
        observation: &Observation,
    ) {
        let signal = match observation.end {
            AttemptEnd::Answered { good, latency_us } => {
                if good {
                    self.demand.record_latency(&service.name, latency_us);
                }
                if good && observation.has_full_time {
                    self.sample_latency(&service.name, latency_us);
                }
                load.record_response(now_us, latency_us);
                if good { Signal::Good } else { Signal::Error }
            }
            AttemptEnd::Shed => {
                let table = self.routing_table.services.get(&service.name);
                let median_us = table.map_or(0, |table| table.median_us());
                let pause_us = SHED_PAUSE_MEDIANS * median_us.max(ASSUMED_LATENCY_US / 10);
                return load.record_shed(now_us, pause_us.min(MAX_SHED_PAUSE_US));
            }
            AttemptEnd::Cancelled => return,
            AttemptEnd::Unreachable => return load.mark_unreachable(now_us, UNREACHABLE_PAUSE_US),
            AttemptEnd::NotSent | AttemptEnd::Cut => Signal::Reset,
            AttemptEnd::Overdue => Signal::Overdue,
        };
        let Some(target) = self
            .note_log
            .configuration()
            .targets
            .get(&observation.target)
            .cloned()
        else {
            return;
        };
        if load.is_leaving() {
            // What fails at a target that leaves tells nothing about its service.
            load.record_signal(now_us, signal);
            return;
        }
        let alert = |signal| Alert {
            target: target.name.clone(),
            incarnation: target.incarnation,
            signal,
        };
        let is_answered = matches!(observation.end, AttemptEnd::Answered { .. });
        let revoked = match is_answered {
            true => observation.overdue_reports,
            false => 0,
        };
        let local_reports = local_overdue_reports(self.fleet_rate_per_s());
        let mut alerts = vec![alert(Signal::OverdueRevoked); usize::from(revoked)];
        alerts.push(alert(signal));
        let own = self.membership.own().id.clone();
        let mut changes_estimate = false;
        for alert in &alerts {
            let (probability_before, _) = self.apply_alert(now_us, &own, alert);
            changes_estimate |= match alert.signal {
                Signal::Good | Signal::OverdueRevoked => {
                    probability_before > KNOWN_HEALTHY_PROBABILITY
                }
                Signal::Overdue => probability_before < KNOWN_HANGING_PROBABILITY,
                Signal::Reset | Signal::Error => probability_before < KNOWN_FAILING_PROBABILITY,
            };
        }
        // The first reports that stay local are broadcast with the one after them.
        match signal {
            Signal::Overdue if observation.overdue_reports < local_reports => return,
            Signal::Overdue if observation.overdue_reports == local_reports => {
                alerts.resize(usize::from(local_reports) + 1, alert(Signal::Overdue));
            }
            _ if revoked <= local_reports => alerts.drain(..usize::from(revoked)).for_each(drop),
            _ => {}
        }
        if changes_estimate {
            let ids = self.other_ids();
            self.broadcast_alerts(now_us, &alerts, &ids);
        }
    }

    /// Requests per second of the fleet to all services.
    fn fleet_rate_per_s(&self) -> f64 {
        let tables = self.routing_table.services.values();
        let rates_milli =
            tables.map(|table| table.load.fleet_rate_milli.load(Ordering::Relaxed) as f64);
        rates_milli.sum::<f64>() / 1e3
    }

    /// Applies alerts from another instance, and forwards them within `id_range`.
    pub(super) fn handle_alerts(
        &mut self,
        now_us: u64,
        from: &Arc<str>,
        alerts: &[Alert],
        id_range: Option<&IdRange>,
    ) {
        if let Some(id_range) = id_range {
            let ids = id_range.select_ids(&self.other_ids());
            self.broadcast_alerts(now_us, alerts, &ids);
        }
        for alert in alerts {
            self.apply_alert(now_us, from, alert);
        }
    }

    /// Requests the targets with raised failure probabilities, once, from the first peers
    /// discovered.
    pub(super) fn pull_suspects(&mut self, now_us: u64) {
        if self.has_pulled_suspects || self.evidence != EvidenceSharing::Alerts {
            return;
        }
        let peers: Vec<Arc<str>> = self
            .peer_ids
            .iter()
            .take(SUSPECT_PULL_PEERS)
            .cloned()
            .collect();
        self.has_pulled_suspects = !peers.is_empty();
        for id in peers {
            self.send(now_us, &id, Message::PullSuspects);
        }
    }

    /// Sends the targets with raised failure probabilities to an instance that has just started.
    pub(super) fn send_suspects(&mut self, now_us: u64, to: &Arc<str>) {
        let suspects: Vec<SuspectTarget> = self
            .table_builder
            .suspect(now_us, KNOWN_HEALTHY_PROBABILITY)
            .map(|(target, level)| SuspectTarget {
                target: target.name.clone(),
                incarnation: target.incarnation,
                failure_probability_milli: (level * 1e3) as u32,
            })
            .collect();
        if !suspects.is_empty() {
            self.send(now_us, to, Message::Suspects(suspects));
        }
    }

    /// Raises failure probabilities to those of another instance where these are higher.
    pub(super) fn merge_suspects(&mut self, now_us: u64, suspects: &[SuspectTarget]) {
        self.announce_start(now_us);
        let mut services = BTreeSet::new();
        for suspect in suspects {
            let known = self
                .note_log
                .configuration()
                .targets
                .get(&suspect.target)
                .cloned();
            let Some(target) = known.filter(|target| target.incarnation == suspect.incarnation)
            else {
                continue;
            };
            let level = f64::from(suspect.failure_probability_milli) / 1e3;
            self.table_builder
                .load_of(&target)
                .raise_failure_probability(now_us, level);
            services.insert(target.service.clone());
        }
        for service in services {
            self.update_overload(now_us, &service);
        }
    }

    /// Updates the failure estimate of an alert's target. Returns the failure probabilities
    /// before and after the update, or zeros if the target or its incarnation is not in the
    /// configuration.
    fn apply_alert(&mut self, now_us: u64, by: &Arc<str>, alert: &Alert) -> (f64, f64) {
        let known = self
            .note_log
            .configuration()
            .targets
            .get(&alert.target)
            .cloned();
        let Some(target) = known.filter(|target| target.incarnation == alert.incarnation) else {
            return (0.0, 0.0);
        };
        let load = self.table_builder.load_of(&target);
        if alert.signal == Signal::Overdue
            && load.is_healthy(now_us)
            && !self.may_suspect_by_silence(now_us, &target.service)
        {
            let probability = load.failure_probability(now_us);
            return (probability, probability);
        }
        self.demand
            .record_reported_signal(&target.service, alert.signal);
        let (before, after) = load.record_signal(now_us, alert.signal);
        if (before < SUSPICION_LOG_THRESHOLD) != (after < SUSPICION_LOG_THRESHOLD) {
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

    /// Whether silence may raise the failure probability of a healthy target of the service. If most
    /// targets are suspect already, the service as a whole is probably slow.
    fn may_suspect_by_silence(&self, now_us: u64, service: &Arc<str>) -> bool {
        let Some(table) = self.routing_table.services.get(service) else {
            return false;
        };
        let healthy_slots = f64::from(table.healthy_slots(now_us));
        healthy_slots > MIN_HEALTHY_SHARE_FOR_SILENCE * f64::from(table.slots(now_us))
    }

    fn broadcast_alerts(&mut self, now_us: u64, alerts: &[Alert], ids: &[Arc<str>]) {
        for (to, id_range) in crate::notes::partition_receivers(ids, &mut self.rng) {
            let alerts = alerts.to_vec();
            self.send(now_us, &to, Message::Alerts { alerts, id_range });
        }
    }
}
