//! Health decisions for the services that an instance owns.
//!
//! An owner combines the reports of all instances; it ejects and probes targets, puts them
//! on trial and readmits them. The owners of a service decide independently of each other:
//! a wrong or missing owner delays decisions but never affects safety.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::Configuration;

use super::HealthDecision;
use super::HealthState;
use super::Latencies;
use super::Report;
use super::service_health::OutcomeUse;
use super::service_health::ServiceHealth;
use super::service_health::SuspicionLimiter;
use super::tally::SAMPLING_SHIFTS;

/// Interval at which all decisions are repeated, without the addition for each member.
const REFRESH_INTERVAL_US: u64 = 10_000_000;
/// Addition to `REFRESH_INTERVAL_US` for each member.
const REFRESH_INTERVAL_PER_MEMBER_US: u64 = 10_000;
/// Minimum interval between announced suspicions, for each member.
const SUSPICION_INTERVAL_PER_MEMBER_US: u64 = 400_000;

/// An action requested by an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HealthEvent {
    /// Send a decision to the instances that use the service.
    Announce(HealthDecision),
    /// Probe a target's health path.
    Probe {
        /// The service's name.
        service: Arc<str>,
        /// The target's name.
        target: Arc<str>,
    },
}

/// Health of the targets of all services that an instance owns.
#[derive(Debug, Default)]
pub struct HealthMonitor {
    services: BTreeMap<Arc<str>, ServiceHealth>,
    suspicion_limiter: SuspicionLimiter,
    refresh_interval_us: u64,
    next_refresh_us: u64,
}

impl HealthMonitor {
    /// Applies a report from an instance in `data_centre`; the owner's own reports are included.
    pub fn report(
        &mut self,
        now_us: u64,
        configuration: &Configuration,
        data_centre: &Arc<str>,
        report: &Report,
    ) -> Vec<HealthEvent> {
        let Some(service) = configuration.services.get(&report.service) else {
            return Vec::new();
        };
        let service_health = self.services.entry(report.service.clone()).or_default();
        let sampling_shift = usize::from(report.sampling_shift).min(SAMPLING_SHIFTS - 1);
        let belongs_to_service = |name: &Arc<str>| {
            let target = configuration.targets.get(name);
            target.is_some_and(|target| target.service == report.service)
        };
        for latency_us in &report.samples_us {
            service_health.latency_histogram.add(u64::from(*latency_us));
        }
        let entries: Vec<_> = report
            .targets
            .iter()
            .filter(|entry| belongs_to_service(&entry.target))
            .collect();
        for entry in &entries {
            match service_health.outcome_use(&entry.target, data_centre) {
                OutcomeUse::Ignored => {}
                OutcomeUse::Trial => service_health.test.count_trial(
                    now_us,
                    &entry.target,
                    sampling_shift,
                    entry.tally,
                ),
                OutcomeUse::Test => service_health.test.count(
                    now_us,
                    &entry.target,
                    data_centre,
                    sampling_shift,
                    entry.tally,
                ),
            }
        }
        let mut events = Vec::new();
        for entry in &entries {
            match service_health.outcome_use(&entry.target, data_centre) {
                OutcomeUse::Ignored => {}
                OutcomeUse::Trial => {
                    service_health.evaluate_trial(now_us, service, &entry.target, &mut events)
                }
                OutcomeUse::Test => service_health.evaluate(
                    now_us,
                    service,
                    &entry.target,
                    &mut self.suspicion_limiter,
                    &mut events,
                ),
            }
        }
        events
    }

    /// Returns the latency estimates of a service.
    pub fn latencies(&self, service: &str) -> Latencies {
        let service_health = self.services.get(service);
        service_health
            .map(|service_health| service_health.latency_histogram.latencies())
            .unwrap_or_default()
    }

    /// Sets how often decisions are sent, by the number of members that receive them.
    pub fn set_members(&mut self, members: u64) {
        self.suspicion_limiter.interval_us = members * SUSPICION_INTERVAL_PER_MEMBER_US;
        self.refresh_interval_us = REFRESH_INTERVAL_US + members * REFRESH_INTERVAL_PER_MEMBER_US;
    }

    /// Ejects a target on the evidence of this instance alone.
    pub fn eject_by_local_evidence(
        &mut self,
        now_us: u64,
        configuration: &Configuration,
        service: &Arc<str>,
        target: &Arc<str>,
    ) -> Vec<HealthEvent> {
        let mut events = Vec::new();
        if let Some(service) = configuration.services.get(service) {
            let service_health = self.services.entry(service.name.clone()).or_default();
            let is_ejected = service_health
                .targets
                .get(target)
                .is_some_and(|target_health| target_health.health() == HealthState::Ejected);
            if !is_ejected {
                service_health.eject(now_us, service, target, Vec::new(), &mut events);
            }
        }
        events
    }

    /// Returns the services with health state on this instance.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.services.keys()
    }

    /// Applies the result of a probe.
    pub fn apply_probe_result(
        &mut self,
        now_us: u64,
        configuration: &Configuration,
        service: &str,
        target: &Arc<str>,
        good: bool,
    ) -> Vec<HealthEvent> {
        let (Some(service), Some(service_health)) = (
            configuration.services.get(service),
            self.services.get_mut(service),
        ) else {
            return Vec::new();
        };
        let mut events = Vec::new();
        service_health.apply_probe_result(now_us, service, target, good, &mut events);
        events
    }

    /// Advances timed phases and repeats all decisions when due.
    pub fn tick(&mut self, now_us: u64, configuration: &Configuration) -> Vec<HealthEvent> {
        let mut events = Vec::new();
        for (name, service_health) in &mut self.services {
            if let Some(service) = configuration.services.get(name) {
                service_health.tick(now_us, service, &mut events);
            }
        }
        if now_us >= self.next_refresh_us {
            self.next_refresh_us = now_us + self.refresh_interval_us.max(REFRESH_INTERVAL_US);
            self.refresh(&mut events);
        }
        events
    }

    /// Drops services that the instance no longer owns, and targets no longer in the configuration.
    pub fn retain(&mut self, configuration: &Configuration, is_owner: impl Fn(&str) -> bool) {
        self.services
            .retain(|name, _| is_owner(name) && configuration.services.contains_key(name));
        for (service, service_health) in &mut self.services {
            let keep = |target: &str| {
                configuration
                    .targets
                    .get(target)
                    .is_some_and(|target| target.service == *service)
            };
            service_health.test.retain(keep);
            service_health.targets.retain(|target, _| keep(target));
        }
    }

    fn refresh(&self, events: &mut Vec<HealthEvent>) {
        for (service, service_health) in &self.services {
            for (target, target_health) in &service_health.targets {
                if target_health.health() != HealthState::Healthy {
                    events.push(target_health.decision_event(service, target));
                }
            }
        }
    }
}
