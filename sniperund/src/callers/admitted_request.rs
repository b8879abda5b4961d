//! A routed and admitted request, and the latency thresholds of its attempts.

use std::sync::Arc;

use border::RequestParams;
use hyper::http::request::Parts;
use model::configuration::Class;
use model::configuration::Route;
use policy::exchange::Exchange;
use policy::limits::AdmissionGuard;
use policy::limits::CustomerGuard;

use super::body::CallerBody;
use super::command::CommandRecord;

const MICROS_PER_MILLI: u64 = 1_000;
/// Percentage of the latency objective after which a hedge is sent: according to the users'
/// specifications, most responses arrive within the remaining time.
const HEDGE_PERCENT: u64 = 60;

/// The places that a request takes up under the limits of the instance and of its customer;
/// released when dropped.
#[derive(Debug)]
pub(super) struct AdmissionGuards {
    pub(super) _admitted: AdmissionGuard,
    pub(super) _customer: Option<CustomerGuard>,
}

/// A request that has a route and has passed admission control.
pub(super) struct AdmittedRequest {
    pub(super) parts: Parts,
    pub(super) body: CallerBody,
    pub(super) request_params: RequestParams,
    pub(super) route: Arc<Route>,
    pub(super) class: Class,
    /// Number of the release note under which the request was routed.
    pub(super) note: u64,
    pub(super) repeatable: bool,
    pub(super) exchange: Exchange,
    pub(super) record: CommandRecord,
    pub(super) guards: AdmissionGuards,
    pub(super) customer: Arc<str>,
    pub(super) deadline_us: u64,
    pub(super) began_us: u64,
}

impl AdmittedRequest {
    /// Time after which a hedge is sent, early enough for its response to meet the latency
    /// objective, in microseconds.
    pub(super) fn hedge_after_us(&self, slow_after_us: u64) -> u64 {
        let objective_us = self.route.terms.objective_ms;
        let objective_us = objective_us.map(|time_ms| time_ms * MICROS_PER_MILLI);
        let hedge_us = objective_us.map(|time_us| time_us * HEDGE_PERCENT / 100);
        hedge_us.map_or(slow_after_us, |hedge_us| hedge_us.min(slow_after_us))
    }

    /// Latency beyond which a response is slow, in microseconds: the value measured for the
    /// service, or the latency objective if there is no measurement. `None` without either.
    pub(super) fn slow_after_us(&self) -> Option<u64> {
        let objective_us = self.route.terms.objective_ms;
        let fallback_us = objective_us.map(|time_ms| time_ms * MICROS_PER_MILLI);
        self.exchange.table().slow_us().or(fallback_us)
    }
}
