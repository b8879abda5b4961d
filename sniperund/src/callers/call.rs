//! A request that is ready to run, and the times that it asks for.

use std::sync::Arc;

use border::Asked;
use hyper::http::request::Parts;
use model::configuration::Class;
use model::configuration::Route;
use policy::exchange::Exchange;
use policy::limits::Admitted;
use policy::limits::CustomerPlace;

use super::body::CallerBody;
use super::command::CommandRecord;

const MICROS_PER_MILLI: u64 = 1_000;
/// Part of an objective after which another target is asked: the rest is the time of
/// most answers on the users' sheets.
const HEDGE_PERCENT: u64 = 60;

/// A request's places, given back when it ends.
#[derive(Debug)]
pub(super) struct Places {
    pub(super) _admitted: Admitted,
    pub(super) _customer: Option<CustomerPlace>,
}

/// A request that is ready to run.
pub(super) struct Call {
    pub(super) parts: Parts,
    pub(super) body: CallerBody,
    pub(super) asked: Asked,
    pub(super) route: Arc<Route>,
    pub(super) class: Class,
    /// Number of the note that the request was routed by.
    pub(super) note: u64,
    pub(super) repeatable: bool,
    pub(super) exchange: Exchange,
    pub(super) record: CommandRecord,
    pub(super) places: Places,
    pub(super) customer: Arc<str>,
    pub(super) deadline_us: u64,
    pub(super) began_us: u64,
}

impl Call {
    /// The time after which another target is asked, so that its answer can still
    /// come within the objective.
    pub(super) fn hedge_after_us(&self, usual_us: u64) -> u64 {
        let objective_us = self.route.terms.objective_ms;
        let objective_us = objective_us.map(|time_ms| time_ms * MICROS_PER_MILLI);
        let early_us = objective_us.map(|time_us| time_us * HEDGE_PERCENT / 100);
        early_us.map_or(usual_us, |early_us| early_us.min(usual_us))
    }

    /// The time beyond which an answer is slow, if it can be told.
    pub(super) fn usual_us(&self) -> Option<u64> {
        let objective_us = self.route.terms.objective_ms;
        let assumed_us = objective_us.map(|time_ms| time_ms * MICROS_PER_MILLI);
        self.exchange.table().slow_us().or(assumed_us)
    }
}
