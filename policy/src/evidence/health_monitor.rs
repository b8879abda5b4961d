//! What a home instance does for the services that it is home of.
//!
//! It combines the reports of all instances, ejects, probes, tries and
//! readmits. Other homes of the same service do the same on their own; a
//! wrong or missing home costs time and never safety.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::World;

use super::HealthDecision;
use super::HealthState;
use super::Latencies;
use super::Report;
use super::service_health::Role;
use super::service_health::ServiceHealth;
use super::service_health::SuspicionPace;
use super::tally::SAMPLING_SHIFTS;

/// Time from one repetition of all verdicts to the next, for few members.
const REFRESH_US: u64 = 10_000_000;
/// What each member adds to it.
const REFRESH_PER_MEMBER_US: u64 = 10_000;
/// Time from one told suspicion to the next, for each member.
const SUSPICION_INTERVAL_PER_MEMBER_US: u64 = 400_000;

/// What a home wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HealthEvent {
    /// Tell the instances that use the service.
    Tell(HealthDecision),
    /// Probe a target's health path.
    Probe {
        /// The service's name.
        service: Arc<str>,
        /// The target's name.
        target: Arc<str>,
    },
}

/// The services that an instance is home of.
#[derive(Debug, Default)]
pub struct HealthMonitor {
    wards: BTreeMap<Arc<str>, ServiceHealth>,
    pace: SuspicionPace,
    refresh_us: u64,
    next_refresh_us: u64,
}

impl HealthMonitor {
    /// Takes in a report of an instance in `data_centre`, the home's own ones included.
    pub fn report(
        &mut self,
        now_us: u64,
        world: &World,
        data_centre: &Arc<str>,
        report: &Report,
    ) -> Vec<HealthEvent> {
        let Some(service) = world.services.get(&report.service) else {
            return Vec::new();
        };
        let ward = self.wards.entry(report.service.clone()).or_default();
        let sampling_shift = usize::from(report.sampling_shift).min(SAMPLING_SHIFTS - 1);
        let known = |name: &Arc<str>| {
            let target = world.targets.get(name);
            target.is_some_and(|target| target.service == report.service)
        };
        for latency_us in &report.samples_us {
            ward.scale.add(u64::from(*latency_us));
        }
        let entries: Vec<_> = report
            .targets
            .iter()
            .filter(|entry| known(&entry.target))
            .collect();
        for entry in &entries {
            match ward.role(&entry.target, data_centre) {
                Role::Ignored => {}
                Role::Tried => {
                    ward.test
                        .count_trial(now_us, &entry.target, sampling_shift, entry.tally)
                }
                Role::Tested => ward.test.count(
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
            match ward.role(&entry.target, data_centre) {
                Role::Ignored => {}
                Role::Tried => ward.judge_trial(now_us, service, &entry.target, &mut events),
                Role::Tested => {
                    ward.judge(now_us, service, &entry.target, &mut self.pace, &mut events)
                }
            }
        }
        events
    }

    /// What is known of the latencies of a service.
    pub fn latencies(&self, service: &str) -> Latencies {
        let ward = self.wards.get(service);
        ward.map(|ward| ward.scale.known()).unwrap_or_default()
    }

    /// Sets how often verdicts are told, by the number of members that hear them.
    pub fn set_members(&mut self, members: u64) {
        self.pace.interval_us = members * SUSPICION_INTERVAL_PER_MEMBER_US;
        self.refresh_us = REFRESH_US + members * REFRESH_PER_MEMBER_US;
    }

    /// Ejects a target by the evidence of one instance alone.
    pub fn eject_alone(
        &mut self,
        now_us: u64,
        world: &World,
        service: &Arc<str>,
        target: &Arc<str>,
    ) -> Vec<HealthEvent> {
        let mut events = Vec::new();
        if let Some(service) = world.services.get(service) {
            let ward = self.wards.entry(service.name.clone()).or_default();
            let out = ward
                .cases
                .get(target)
                .is_some_and(|case| case.health() == HealthState::Ejected);
            if !out {
                ward.eject(now_us, service, target, Vec::new(), &mut events);
            }
        }
        events
    }

    /// The services with wards here.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.wards.keys()
    }

    /// Takes in the result of a probe.
    pub fn probed(
        &mut self,
        now_us: u64,
        world: &World,
        service: &str,
        target: &Arc<str>,
        good: bool,
    ) -> Vec<HealthEvent> {
        let (Some(service), Some(ward)) =
            (world.services.get(service), self.wards.get_mut(service))
        else {
            return Vec::new();
        };
        let mut events = Vec::new();
        ward.probed(now_us, service, target, good, &mut events);
        events
    }

    /// Lets time pass.
    pub fn tick(&mut self, now_us: u64, world: &World) -> Vec<HealthEvent> {
        let mut events = Vec::new();
        for (name, ward) in &mut self.wards {
            if let Some(service) = world.services.get(name) {
                ward.tick(now_us, service, &mut events);
            }
        }
        if now_us >= self.next_refresh_us {
            self.next_refresh_us = now_us + self.refresh_us.max(REFRESH_US);
            self.refresh(&mut events);
        }
        events
    }

    /// Drops services that the instance is no longer home of.
    pub fn retain(&mut self, world: &World, is_owner: impl Fn(&str) -> bool) {
        self.wards
            .retain(|name, _| is_owner(name) && world.services.contains_key(name));
        for (service, ward) in &mut self.wards {
            let keep = |target: &str| {
                world
                    .targets
                    .get(target)
                    .is_some_and(|target| target.service == *service)
            };
            ward.test.retain(keep);
            ward.cases.retain(|target, _| keep(target));
        }
    }

    fn refresh(&self, events: &mut Vec<HealthEvent>) {
        for (service, ward) in &self.wards {
            for (target, case) in &ward.cases {
                if case.health() != HealthState::Healthy {
                    events.push(case.tell(service, target));
                }
            }
        }
    }
}
