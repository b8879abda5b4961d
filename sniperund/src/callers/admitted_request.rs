//! A routed and admitted request, and the latency thresholds of its attempts.

use std::sync::Arc;

use border::RequestParams;
use hyper::http::request::Parts;
use model::configuration::Class;
use model::configuration::Customer;
use model::configuration::Route;
use policy::evidence::LatencyProfile;
use policy::exchange::Exchange;
use policy::exchange::HEDGE_CHECK_PERIOD_US;
use policy::exchange::overdue_after_us;
use policy::limits::AdmissionGuard;
use policy::limits::BodyReservation;
use policy::limits::CustomerGuard;

use super::body::CallerBody;
use super::caller_connection::ResponseLimits;
use super::command::CommandRecord;
use super::wait_limits::WaitLimits;

const MICROS_PER_MILLI: u64 = 1_000;
/// Percentage of the latency objective after which a hedge is sent: according to the users'
/// specifications, most responses arrive within the remaining time.
const HEDGE_PERCENT: u64 = 60;

/// The places that a request takes up under the limits of the instance and of its customer;
/// released when dropped.
#[derive(Debug)]
pub(super) struct AdmissionGuards {
    /// Priority of the customer's requests.
    pub(super) priority: Option<u8>,
    pub(super) _admitted: AdmissionGuard,
    pub(super) _customer: Option<CustomerGuard>,
    /// Memory that the body of the request takes.
    pub(super) _body: BodyReservation,
}

/// Who makes a request, if callers identify themselves by keys.
#[derive(Clone, Debug)]
pub(super) struct CallerIdentity {
    /// The customer that holds the caller's key; `None` on a public route.
    pub(super) customer: Option<Arc<Customer>>,
}

impl CallerIdentity {
    /// Name of the customer.
    pub(super) fn name(&self) -> Option<&Arc<str>> {
        self.customer.as_ref().map(|customer| &customer.name)
    }
}

/// A request that has a route and has passed admission control.
pub(super) struct AdmittedRequest {
    pub(super) parts: Parts,
    pub(super) body: CallerBody,
    pub(super) request_params: RequestParams,
    /// `None` if callers need no keys.
    pub(super) identity: Option<CallerIdentity>,
    pub(super) route: Arc<Route>,
    pub(super) class: Class,
    /// Number of the release note under which the request was routed.
    pub(super) note: u64,
    pub(super) repeatable: bool,
    /// Number of the release by which it was last checked whether the request may be repeated.
    pub(super) checked_release: u64,
    /// Host by which the request was routed.
    pub(super) host: Arc<str>,
    pub(super) exchange: Exchange,
    pub(super) record: CommandRecord,
    /// Released with the response.
    pub(super) guards: Option<AdmissionGuards>,
    /// The customer whose quota counts the request; `None` if it has none.
    pub(super) quota_customer: Option<Arc<Customer>>,
    pub(super) customer: Arc<str>,
    pub(super) deadline_us: u64,
    /// What ends the waits of the request.
    pub(super) limits: WaitLimits,
    pub(super) response_limits: ResponseLimits,
    pub(super) began_us: u64,
}

impl AdmittedRequest {
    /// Time after which a hedge is sent, early enough for its response to meet the latency
    /// objective, in microseconds.
    fn hedge_after_us(&self, slow_after_us: u64) -> u64 {
        let hedge_us = self
            .objective_us()
            .map(|time_us| time_us * HEDGE_PERCENT / 100);
        hedge_us.map_or(slow_after_us, |hedge_us| hedge_us.min(slow_after_us))
    }

    /// Latency distribution of the route's responses; `None` if it is not used.
    pub(super) fn latency_profile(&self) -> Option<LatencyProfile> {
        self.exchange.table().latency_profile(self.objective_us())
    }

    /// Time without a response, in microseconds, after which an attempt is reported as overdue
    /// for the time after `reports` earlier ones; `None` if it is not reported again.
    pub(super) fn overdue_after_us(&self, reports: u8) -> Option<u64> {
        match self.latency_profile() {
            Some(profile) => overdue_after_us(&profile, reports),
            None if reports == 0 => self.slow_after_us(),
            None => None,
        }
    }

    /// Time from the start of an attempt until another target may be tried, in microseconds;
    /// `None` if it may not.
    pub(super) fn hedge_check_after_us(&self) -> Option<u64> {
        if self.latency_profile().is_some() {
            return self.repeatable.then_some(HEDGE_CHECK_PERIOD_US);
        }
        let slow_after_us = self.slow_after_us()?;
        Some(self.hedge_after_us(slow_after_us))
    }

    /// Whether `left_ms` is as long as responses may take.
    pub(super) fn is_full_time(&self, left_ms: u64) -> bool {
        let objective_us = self.objective_us().unwrap_or(0);
        left_ms * MICROS_PER_MILLI >= objective_us
    }

    fn objective_us(&self) -> Option<u64> {
        let objective_ms = self.route.terms.objective_ms;
        objective_ms.map(|time_ms| time_ms * MICROS_PER_MILLI)
    }

    /// Latency beyond which a response is slow, in microseconds: the value measured for the
    /// service, or the latency objective if there is no measurement. `None` without either.
    fn slow_after_us(&self) -> Option<u64> {
        self.exchange.table().slow_us().or(self.objective_us())
    }
}
