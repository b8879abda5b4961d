//! How many slots the requests of all instances take up.
//!
//! Each instance scales its own requests up to the fleet, as load is not shared.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use super::Instance;
use crate::routing::ServiceLoad;

const PERIOD_US: u64 = 500_000;
/// Weight of a new measurement: a rate is half forgotten after about 9 s, as an
/// instance sees one or two requests a second.
const RATE_WEIGHT: f64 = 0.04;
const LATENCY_WEIGHT: f64 = 0.1;
/// Latency assumed while none is known, in microseconds.
const ASSUMED_US: f64 = 500_000.0;
/// Share of the slots that the load may fill: queues stay short below it.
const FILL: f64 = 0.8;
/// Smallest share of a service's slots in use, as an instance sees few requests.
const LEAST_SHARE: f64 = 0.2;

#[derive(Debug, Default)]
struct ServiceDemand {
    begun: u64,
    rate_per_s: f64,
    latency_us: f64,
}

/// The demand for each service, as measured by this instance.
#[derive(Debug, Default)]
pub(super) struct Demand {
    next_us: u64,
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

impl ServiceDemand {
    fn measure(&mut self, load: &ServiceLoad) {
        let begun = load.begun.load(Ordering::Relaxed);
        let new = begun.saturating_sub(self.begun) as f64;
        self.begun = begun;
        let rate_per_s = new * 1e6 / PERIOD_US as f64;
        self.rate_per_s += RATE_WEIGHT * (rate_per_s - self.rate_per_s);
    }

    fn slots_per_instance(&self) -> f64 {
        let latency_us = if self.latency_us > 0.0 {
            self.latency_us
        } else {
            ASSUMED_US
        };
        self.rate_per_s * latency_us / 1e6
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
        let reserve = self.shared_retry_reserve.filter(|_| members > 1.0);
        for (name, table) in &self.table.services {
            if let Some(all) = reserve {
                table.load.retries.set_reserve(all / members);
            }
            let demand = self.demand.services.entry(name.clone()).or_default();
            demand.measure(&table.load);
            let all = f64::from(table.slots());
            let least = all * LEAST_SHARE;
            let slots = demand.slots_per_instance();
            let required = (slots * members / FILL).max(least).min(all).ceil() as u32;
            table.load.required_slots.store(required, Ordering::Relaxed);
            let local = (slots * near).ceil() as u32;
            table.load.local_slots.store(local, Ordering::Relaxed);
        }
    }
}
