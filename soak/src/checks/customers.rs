//! Invariants of customers and their keys.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Violation;
use super::routing::APPLY_MS;
use super::routing::route_periods;
use super::violation::violation;
use crate::Arrival;
use crate::Record;
use crate::Request;
use crate::RequestEnd;
use crate::RequestKind;

/// Status with which instances refuse an unknown key.
const UNKNOWN_KEY: u16 = 401;
/// Service of the moving route for which the configuration contains the guest's key.
pub(crate) const SERVICE_WITH_GUEST: &str = "reads";

/// Checks that targets get no request with a key that nobody has held, and the customer of all
/// others.
pub(super) fn targets_see_the_customer(record: &Record) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (request, arrival) in arrivals(record) {
        if request.customer.is_none() || arrival.customer != request.customer {
            let description = format!(
                "{} of customer {:?} was at {} as of {:?}",
                request.id, request.customer, arrival.target, arrival.customer
            );
            let id = Some(&request.id);
            violations.push(violation("targets see the customer", id, description));
        }
    }
    violations
}

/// Checks that no request runs with a key that was withdrawn, at fault-free instances.
pub(super) fn withdrawn_keys_are_refused(record: &Record) -> Vec<Violation> {
    let mut violations = Vec::new();
    let periods = route_periods(record);
    let withdrawn = periods
        .iter()
        .filter(|period| &**period.service != SERVICE_WITH_GUEST);
    let arrivals = arrivals(record);
    for period in withdrawn {
        for (request, arrival) in &arrivals {
            let sent_ms = request.sent_ms;
            if request.kind == RequestKind::Guest
                && sent_ms > period.from_ms + APPLY_MS
                && arrival.at_ms < period.to_ms
                && record.is_instance_fault_free(request.instance, period.from_ms, sent_ms)
            {
                let after_ms = sent_ms - period.from_ms;
                let description = format!(
                    "{} was sent {after_ms} ms after its key was withdrawn, and ran",
                    request.id
                );
                let id = Some(&request.id);
                violations.push(violation("withdrawn keys are refused", id, description));
            }
        }
    }
    violations
}

/// Checks that no key is refused that all configurations contain.
pub(super) fn known_keys_are_accepted(record: &Record) -> Vec<Violation> {
    let is_refused = |request: &&Request| {
        matches!(
            request.end,
            RequestEnd::Answered {
                status: UNKNOWN_KEY,
                ..
            }
        )
    };
    let refused = record.requests.iter().filter(is_refused);
    let to_violation = |request: &Request| {
        let description = format!("{} was refused as of an unknown key", request.id);
        violation("known keys are accepted", Some(&request.id), description)
    };
    refused.map(to_violation).collect()
}

/// All requests that targets received, with those that received them.
fn arrivals(record: &Record) -> Vec<(&Request, &Arrival)> {
    let requests = record.requests.iter().chain(&record.guests);
    let requests: BTreeMap<&Arc<str>, &Request> =
        requests.map(|request| (&request.id, request)).collect();
    let arrivals = record.arrivals.iter();
    let arrivals = arrivals.filter_map(|arrival| Some((*requests.get(&arrival.id)?, arrival)));
    arrivals.collect()
}
