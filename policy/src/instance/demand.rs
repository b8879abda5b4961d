//! How many slots the requests of all instances take up.
//!
//! The mean of what some instances see is scaled up to the fleet.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use rand::seq::IndexedRandom;

use super::Action;
use super::Instance;
use super::LoadReport;
use super::LogEvent;
use super::Message;
use super::fleet_load::MeanLoad;
use crate::limits::LoadEstimate;
use crate::routing::ServiceLoad;

const PERIOD_US: u64 = 500_000;
/// Others that an instance tells its load in a second.
const LOADS_TOLD_TO: usize = 2;
/// Weight of a new measurement: a rate is half forgotten after about 9 s, as an
/// instance sees one or two requests a second.
const RATE_WEIGHT: f64 = 0.04;
/// What is left after a period of a count of the latest outcomes: a window of
/// about 4 s, twice the span in which the floor is asked for.
const RECENT_KEPT: f64 = 0.88;
/// Recent requests without an answer, and their share, from which a service
/// counts as strained.
const STRAINED_REQUESTS: f64 = 2.5;
const STRAINED_SHARE: f64 = 0.2;
/// Failures told by all instances, as a share of their requests, from which a
/// service counts as strained: just below the tenth at which the floor is asked for.
const STRAINED_FLEET_SHARE: f64 = 0.09;
/// Failures told that are never a strain: the first ones of some targets.
const FEW_FAILURES: f64 = 6.0;
const LATENCY_WEIGHT: f64 = 0.1;
/// Latency assumed while none is known, in microseconds.
const ASSUMED_US: f64 = 500_000.0;
/// Weight of one outcome in the share of overdue ones.
const OVERDUE_WEIGHT: f64 = 0.1;
/// Time over which requests are counted before their rate is known, in seconds.
const KNOWN_S: f64 = 3.0;
/// Share of overdue outcomes above which the service as a whole is slow, and an
/// overdue one says nothing of its target.
const SLOW_SERVICE: f64 = 0.25;

#[derive(Debug, Default)]
struct ServiceDemand {
    begun: u64,
    unserved: u64,
    recent: f64,
    recent_unserved: f64,
    recent_told: f64,
    counted: f64,
    counted_s: f64,
    latency_us: f64,
    overdue_share: f64,
    /// The load as it was measured last.
    load_estimate: LoadEstimate,
    /// Mean time of a request where none waits, as the whole fleet sees it, in seconds.
    work_s: Option<f64>,
}

/// The demand for each service, as measured by this instance.
#[derive(Debug, Default)]
pub(super) struct Demand {
    next_us: u64,
    tells: bool,
    services: HashMap<Arc<str>, ServiceDemand>,
}

impl Demand {
    /// Takes in the latency of a good answer.
    pub(super) fn answered(&mut self, service: &Arc<str>, latency_us: u64) {
        let demand = self.services.entry(service.clone()).or_default();
        let latency_us = latency_us as f64;
        if demand.latency_us == 0.0 {
            demand.latency_us = latency_us;
        }
        demand.latency_us += LATENCY_WEIGHT * (latency_us - demand.latency_us);
    }
}

impl Demand {
    /// Takes in that an instance has told of a failure.
    pub(super) fn failure_told(&mut self, service: &Arc<str>) {
        let demand = self.services.entry(service.clone()).or_default();
        demand.recent_told += 1.0;
    }

    /// Takes in whether an outcome was overdue; true if the whole service is slow.
    pub(super) fn is_slow(&mut self, service: &Arc<str>, overdue: bool) -> bool {
        let demand = self.services.entry(service.clone()).or_default();
        let was_slow = demand.overdue_share > SLOW_SERVICE;
        let overdue = if overdue { 1.0 } else { 0.0 };
        demand.overdue_share += OVERDUE_WEIGHT * (overdue - demand.overdue_share);
        was_slow
    }
}

impl ServiceDemand {
    fn measure(&mut self, load: &ServiceLoad) {
        let begun = load.begun.load(Ordering::Relaxed);
        let new = begun.saturating_sub(self.begun) as f64;
        let unserved = load.unserved.load(Ordering::Relaxed);
        let lost = unserved.saturating_sub(self.unserved) as f64;
        (self.begun, self.unserved) = (begun, unserved);
        self.recent = self.recent * RECENT_KEPT + new;
        self.recent_unserved = self.recent_unserved * RECENT_KEPT + lost;
        self.recent_told *= RECENT_KEPT;
        if self.begun > 0 {
            self.counted = self.counted * (1.0 - RATE_WEIGHT) + new;
            self.counted_s = self.counted_s * (1.0 - RATE_WEIGHT) + PERIOD_US as f64 / 1e6;
        }
    }

    /// Whether many requests of the fleet fail; those that go to the silent share of
    /// the instances do, and nobody tells of them.
    fn is_degraded(&self, fleet_rate_per_s: f64, silent_share: f64) -> bool {
        let own = self.recent_unserved >= STRAINED_REQUESTS
            && self.recent_unserved >= STRAINED_SHARE * self.recent;
        let span_s = PERIOD_US as f64 / 1e6 / (1.0 - RECENT_KEPT);
        let all = fleet_rate_per_s * span_s;
        let lost = self.recent_told + silent_share * all;
        own || silent_share > STRAINED_FLEET_SHARE
            || lost > (STRAINED_FLEET_SHARE * all).max(FEW_FAILURES)
    }

    /// Requests a second; 0 while unknown.
    fn rate_per_s(&self) -> f64 {
        self.counted / self.counted_s.max(f64::MIN_POSITIVE)
    }

    /// Requests a second over the last seconds.
    fn recent_per_s(&self) -> f64 {
        self.recent * (1.0 - RECENT_KEPT) / (PERIOD_US as f64 / 1e6)
    }

    /// The load on all instances beside all targets; the sound ones are counted when it is
    /// judged.
    fn load_estimate(
        &mut self,
        mean: MeanLoad,
        members: f64,
        slots: u32,
        was_overloaded: bool,
    ) -> LoadEstimate {
        let latency_s = mean.slots / mean.rate_per_s.max(f64::MIN_POSITIVE);
        // In a crowd requests wait at the targets, and the time is not that of the work alone.
        if !was_overloaded {
            self.work_s = Some(latency_s);
        }
        LoadEstimate {
            rate_per_s: (self.counted_s >= KNOWN_S).then_some(mean.recent_per_s * members),
            work_s: self.work_s.unwrap_or(latency_s),
            slots,
            healthy_slots: slots,
        }
    }

    /// The load as this instance sees it.
    fn own_load(&self) -> MeanLoad {
        let latency_us = if self.latency_us > 0.0 {
            self.latency_us
        } else {
            ASSUMED_US
        };
        let rate_per_s = self.rate_per_s();
        MeanLoad {
            slots: rate_per_s * latency_us / 1e6,
            rate_per_s,
            recent_per_s: self.recent_per_s(),
        }
    }
}

impl Instance {
    /// Shows the request path how many slots are needed.
    pub(super) fn measure_demand(&mut self, now_us: u64) {
        if now_us < self.demand.next_us {
            return;
        }
        self.demand.next_us = now_us + PERIOD_US;
        let here = &self.membership.own().data_centre;
        let members = self.membership.present().count() as f64;
        let near = self.membership.present();
        let near = near.filter(|member| member.data_centre == *here).count() as f64;
        let reserve = self.shared_retry_reserve.filter(|_| self.member_lists > 0);
        if reserve.is_some() && members != self.reserve_members {
            self.reserve_members = members;
            self.actions.push(Action::Log(LogEvent::RetryReserve {
                instances: members as u32,
            }));
        }
        let silent_share = self.membership.silent_share(now_us);
        let mut loads = Vec::new();
        let mut services = Vec::new();
        for (name, table) in &self.table.services {
            if let Some(share) = self.changed_retry_share {
                table.load.retries.set_share(share);
            }
            if let Some(all) = reserve {
                table.load.retries.set_reserve(all / members, PERIOD_US);
            }
            let demand = self.demand.services.entry(name.clone()).or_default();
            demand.measure(&table.load);
            let own = demand.own_load();
            loads.push(LoadReport {
                service: name.clone(),
                slots_milli: (own.slots * 1e3) as u32,
                rate_milli: (own.rate_per_s * 1e3) as u32,
                recent_milli: (own.recent_per_s * 1e3) as u32,
            });
            let mean = self.fleet_load.mean(now_us, name, own);
            let fleet_rate_per_s = mean.rate_per_s * members;
            let load = &table.load;
            let degraded = demand.is_degraded(fleet_rate_per_s, silent_share);
            load.degraded.store(degraded, Ordering::Relaxed);
            let needed = (mean.slots * members).ceil() as u32;
            load.needed_slots.store(needed, Ordering::Relaxed);
            let rate_milli = (fleet_rate_per_s * 1e3) as u64;
            load.fleet_rate_milli.store(rate_milli, Ordering::Relaxed);
            let local = (mean.slots * near).ceil() as u32;
            load.local_slots.store(local, Ordering::Relaxed);
            let was_overloaded = load.overload.is_overloaded();
            demand.load_estimate =
                demand.load_estimate(mean, members, table.slots(), was_overloaded);
            services.push(name.clone());
        }
        for service in services {
            self.update_overload(now_us, &service);
        }
        self.tell_loads(now_us, loads);
    }

    /// Shows the request path whether a service's sound targets are too few.
    pub(super) fn update_overload(&mut self, now_us: u64, service: &Arc<str>) {
        let (Some(table), Some(demand)) = (
            self.table.services.get(service),
            self.demand.services.get(service),
        ) else {
            return;
        };
        let load_estimate = LoadEstimate {
            healthy_slots: table.healthy_slots(now_us),
            ..demand.load_estimate
        };
        let overload = &table.load.overload;
        let work_us = (load_estimate.work_s * 1e6) as u64;
        let is_overloaded = load_estimate.is_overloaded(overload.is_overloaded());
        if !overload.show(is_overloaded, load_estimate.part_finished(), work_us) {
            self.actions.push(Action::Log(LogEvent::Overloaded {
                service: service.clone(),
                is_overloaded,
                slots: load_estimate.healthy_slots,
                fleet_milli: load_estimate.rate_per_s.map(|per_s| (per_s * 1e3) as u64),
                work_ms: work_us / 1_000,
            }));
        }
    }

    /// Tells some others the load, at half the pace at which it is measured.
    fn tell_loads(&mut self, now_us: u64, loads: Vec<LoadReport>) {
        self.demand.tells = !self.demand.tells;
        if !self.demand.tells || loads.iter().all(|load| load.rate_milli == 0) {
            return;
        }
        let others = self.own_ids.sample(&mut self.rng, LOADS_TOLD_TO);
        let others: Vec<Arc<str>> = others.cloned().collect();
        for id in others {
            self.send(now_us, &id, Message::Loads(loads.clone()));
        }
    }
}
