//! Measures the demand for each service across the fleet.
//!
//! Each instance averages its own load with the load reports of a sample of its peers and
//! multiplies the mean by the number of instances.

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
use crate::evidence::Signal;
use crate::limits::LoadEstimate;
use crate::routing::ServiceLoad;

const MEASURE_PERIOD_US: u64 = 500_000;
/// Peers to which an instance sends its load each second.
const LOAD_REPORT_PEERS: usize = 2;
/// Weight of a new measurement in the request rate. The half-life of about 9 s is long
/// because an instance receives only one or two requests per second.
const RATE_WEIGHT: f64 = 0.04;
/// Decay per period of the counts of recent outcomes. It gives a window of about 4 s,
/// twice the time within which the floor has to hold.
const RECENT_DECAY: f64 = 0.88;
/// Recent requests without a response, and their share of the recent requests, from which
/// a service counts as degraded.
const DEGRADED_MIN_UNSERVED: f64 = 2.5;
const DEGRADED_UNSERVED_SHARE: f64 = 0.2;
/// Failures that all instances report, as a share of their requests, above which a
/// service counts as degraded: just below one tenth, the failure share at which the floor
/// has to hold.
const DEGRADED_FLEET_FAILURE_SHARE: f64 = 0.09;
/// Weight of a new measurement in the share of requests over their quotas. It lasts as long as a
/// customer exceeds its quota, and an instance sees only a few of these requests in a second.
const OVER_QUOTA_WEIGHT: f64 = 0.04;
/// Failures in the fleet up to which a service does not count as degraded, so that the first
/// failures of a few targets are not enough.
const DEGRADED_MIN_FLEET_FAILURES: f64 = 6.0;
/// Failed requests that an overdue report counts as: a lost request is reported three times.
const OVERDUE_FAILURES: f64 = 1.0 / 3.0;
const LATENCY_WEIGHT: f64 = 0.1;
/// Latency assumed while none has been measured, in microseconds.
const ASSUMED_LATENCY_US: f64 = 500_000.0;
/// Time for which requests have to be counted before their rate is used, in seconds.
const MIN_RATE_WINDOW_S: f64 = 3.0;

#[derive(Debug, Default)]
struct ServiceDemand {
    /// Counters of the request path at the last measurement.
    last_begun: u64,
    last_unserved: u64,
    last_returned: u64,
    recent_returned: f64,
    recent_requests: f64,
    recent_unserved: f64,
    recent_reported_failures: f64,
    last_over_quota: u64,
    /// Share of the requests that were refused by the quotas of their customers, long-term average.
    over_quota_share: f64,
    weighted_requests: f64,
    weighted_s: f64,
    latency_us: f64,
    /// Latest estimate of the fleet's load.
    load_estimate: LoadEstimate,
    /// Mean service time of a request without queueing, across the fleet, in seconds.
    work_s: Option<f64>,
}

/// The demand for each service, as measured by this instance.
#[derive(Debug, Default)]
pub(super) struct Demand {
    next_measurement_us: u64,
    is_report_due: bool,
    services: HashMap<Arc<str>, ServiceDemand>,
}

impl Demand {
    /// Records the latency of a good response.
    pub(super) fn record_latency(&mut self, service: &Arc<str>, latency_us: u64) {
        let demand = self.services.entry(service.clone()).or_default();
        let latency_us = latency_us as f64;
        if demand.latency_us == 0.0 {
            demand.latency_us = latency_us;
        }
        demand.latency_us += LATENCY_WEIGHT * (latency_us - demand.latency_us);
    }
}

impl Demand {
    /// Counts the failures that an instance has reported, this one included.
    pub(super) fn record_reported_signal(&mut self, service: &Arc<str>, signal: Signal) {
        let failures = match signal {
            Signal::Reset | Signal::Error => 1.0,
            Signal::Overdue => OVERDUE_FAILURES,
            Signal::OverdueRevoked => -OVERDUE_FAILURES,
            Signal::Good => return,
        };
        let demand = self.services.entry(service.clone()).or_default();
        demand.recent_reported_failures = (demand.recent_reported_failures + failures).max(0.0);
    }
}

impl ServiceDemand {
    fn measure(&mut self, load: &ServiceLoad) {
        let begun = load.begun.load(Ordering::Relaxed);
        let new_requests = begun.saturating_sub(self.last_begun) as f64;
        let unserved = load.unserved.load(Ordering::Relaxed);
        let new_unserved = unserved.saturating_sub(self.last_unserved) as f64;
        (self.last_begun, self.last_unserved) = (begun, unserved);
        let returned = load.returned.load(Ordering::Relaxed);
        let new_returned = returned.saturating_sub(self.last_returned) as f64;
        self.last_returned = returned;
        self.recent_returned = self.recent_returned * RECENT_DECAY + new_returned;
        self.recent_requests = self.recent_requests * RECENT_DECAY + new_requests;
        self.recent_unserved = self.recent_unserved * RECENT_DECAY + new_unserved;
        self.recent_reported_failures *= RECENT_DECAY;
        let over_quota = load.over_quota.load(Ordering::Relaxed);
        let new_over_quota = over_quota.saturating_sub(self.last_over_quota) as f64;
        self.last_over_quota = over_quota;
        let new_arrivals = new_requests + new_over_quota;
        if new_arrivals > 0.0 {
            let new_share = new_over_quota / new_arrivals;
            self.over_quota_share += OVER_QUOTA_WEIGHT * (new_share - self.over_quota_share);
        }
        if self.last_begun > 0 {
            // A request that ends in one period may have begun in an earlier one.
            let new_load = self.weighted_requests * (1.0 - RATE_WEIGHT) + new_requests;
            self.weighted_requests = (new_load - new_returned).max(0.0);
            self.weighted_s =
                self.weighted_s * (1.0 - RATE_WEIGHT) + MEASURE_PERIOD_US as f64 / 1e6;
        }
    }

    /// Whether many requests of the fleet fail. Requests held by unresponsive instances count
    /// as failed, because no instance reports them.
    fn is_degraded(&self, fleet_rate_per_s: f64, unresponsive_share: f64) -> bool {
        let many_own_unserved = self.recent_unserved >= DEGRADED_MIN_UNSERVED
            && self.recent_unserved >= DEGRADED_UNSERVED_SHARE * self.recent_requests;
        let window_s = MEASURE_PERIOD_US as f64 / 1e6 / (1.0 - RECENT_DECAY);
        let fleet_requests = fleet_rate_per_s * window_s;
        // The floor counts these among the requests that are not served.
        let unserved_share = unresponsive_share + self.over_quota_share;
        let failed = self.recent_reported_failures + unserved_share * fleet_requests;
        many_own_unserved
            || unresponsive_share > DEGRADED_FLEET_FAILURE_SHARE
            || failed
                > (DEGRADED_FLEET_FAILURE_SHARE * fleet_requests).max(DEGRADED_MIN_FLEET_FAILURES)
    }

    /// Requests per second, long-term average; 0 while unknown.
    fn rate_per_s(&self) -> f64 {
        self.weighted_requests / self.weighted_s.max(f64::MIN_POSITIVE)
    }

    /// Requests per second over the last few seconds.
    fn recent_per_s(&self) -> f64 {
        let requests = (self.recent_requests - self.recent_returned).max(0.0);
        requests * (1.0 - RECENT_DECAY) / (MEASURE_PERIOD_US as f64 / 1e6)
    }

    /// Estimates the fleet's load. `healthy_slots` is set to all slots here and recounted
    /// whenever the overload state is updated.
    fn load_estimate(
        &mut self,
        mean: MeanLoad,
        members: f64,
        slots: u32,
        was_overloaded: bool,
    ) -> LoadEstimate {
        let latency_s = mean.slots / mean.rate_per_s.max(f64::MIN_POSITIVE);
        // Under overload, requests queue at the targets, and the latency includes the wait.
        if !was_overloaded {
            self.work_s = Some(latency_s);
        }
        LoadEstimate {
            rate_per_s: (self.weighted_s >= MIN_RATE_WINDOW_S)
                .then_some(mean.recent_per_s * members),
            work_s: self.work_s.unwrap_or(latency_s),
            slots,
            healthy_slots: slots,
        }
    }

    /// Load of the service on this instance.
    fn own_load(&self) -> MeanLoad {
        let latency_us = if self.latency_us > 0.0 {
            self.latency_us
        } else {
            ASSUMED_LATENCY_US
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
    /// Measures the demand for each service and publishes it to the request path.
    pub(super) fn measure_demand(&mut self, now_us: u64) {
        if now_us < self.demand.next_measurement_us {
            return;
        }
        self.demand.next_measurement_us = now_us + MEASURE_PERIOD_US;
        let here = &self.membership.own().data_centre;
        let members = self.membership.present().count() as f64;
        let local_members = self.membership.present();
        let local_members = local_members
            .filter(|member| member.data_centre == *here)
            .count() as f64;
        let reserve = self
            .shared_retry_reserve
            .filter(|_| self.member_lists_received > 0)
            // The others divide the reserve among themselves.
            .filter(|_| !self.routing_table.draining);
        // Instances that died without a word may still spend their part, behind a partition.
        let sharers = (members / self.membership.reachable_share()).round();
        if reserve.is_some() && sharers != self.retry_reserve_sharers {
            self.retry_reserve_sharers = sharers;
            self.actions.push(Action::Log(LogEvent::RetryReserve {
                instances: sharers as u32,
            }));
        }
        let unresponsive_share = self.membership.unresponsive_share(now_us);
        let mut loads = Vec::new();
        let mut services = Vec::new();
        for (name, table) in &self.routing_table.services {
            if let Some(share) = self.changed_retry_share {
                table.load.retries.set_share(share);
            }
            if let Some(fleet_reserve) = reserve {
                table
                    .load
                    .retries
                    .set_reserve(fleet_reserve / sharers, MEASURE_PERIOD_US);
            }
            let demand = self.demand.services.entry(name.clone()).or_default();
            demand.measure(&table.load);
            let own = demand.own_load();
            loads.push(LoadReport {
                service: name.clone(),
                slots_milli: (own.slots * 1e3) as u32,
                rate_milli: (own.rate_per_s * 1e3) as u32,
                recent_rate_milli: (own.recent_per_s * 1e3) as u32,
            });
            let mean = self.fleet_load.mean(now_us, name, own);
            let fleet_rate_per_s = mean.rate_per_s * members;
            let load = &table.load;
            let degraded = demand.is_degraded(fleet_rate_per_s, unresponsive_share);
            load.degraded.store(degraded, Ordering::Relaxed);
            let needed_slots = (mean.slots * members).ceil() as u32;
            load.needed_slots.store(needed_slots, Ordering::Relaxed);
            let rate_milli = (fleet_rate_per_s * 1e3) as u64;
            load.fleet_rate_milli.store(rate_milli, Ordering::Relaxed);
            let local_slots = (mean.slots * local_members).ceil() as u32;
            load.local_slots.store(local_slots, Ordering::Relaxed);
            let was_overloaded = load.overload.is_overloaded();
            demand.load_estimate =
                demand.load_estimate(mean, members, table.slots(now_us), was_overloaded);
            services.push(name.clone());
        }
        for service in services {
            self.update_overload(now_us, &service);
        }
        self.send_load_reports(now_us, loads);
    }

    /// Decides whether a service is overloaded and publishes it to the request path.
    pub(super) fn update_overload(&mut self, now_us: u64, service: &Arc<str>) {
        let (Some(table), Some(demand)) = (
            self.routing_table.services.get(service),
            self.demand.services.get(service),
        ) else {
            return;
        };
        let load_estimate = LoadEstimate {
            healthy_slots: table.usable_slots(now_us, demand.load_estimate.work_s),
            ..demand.load_estimate
        };
        let overload = &table.load.overload;
        let work_us = (load_estimate.work_s * 1e6) as u64;
        let is_overloaded = load_estimate.is_overloaded(overload.is_overloaded());
        if !overload.update(is_overloaded, load_estimate.servable_share(), work_us) {
            self.actions.push(Action::Log(LogEvent::Overloaded {
                service: service.clone(),
                is_overloaded,
                slots: load_estimate.healthy_slots,
                fleet_milli: load_estimate.rate_per_s.map(|per_s| (per_s * 1e3) as u64),
                work_ms: work_us / 1_000,
            }));
        }
    }

    /// Sends the load to some peers in every second measurement period.
    fn send_load_reports(&mut self, now_us: u64, loads: Vec<LoadReport>) {
        self.demand.is_report_due = !self.demand.is_report_due;
        if !self.demand.is_report_due || loads.iter().all(|load| load.rate_milli == 0) {
            return;
        }
        let peers = self.peer_ids.sample(&mut self.rng, LOAD_REPORT_PEERS);
        let peers: Vec<Arc<str>> = peers.cloned().collect();
        for id in peers {
            self.send(now_us, &id, Message::Loads(loads.clone()));
        }
    }
}
