//! Invariants of the fleet as a whole.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::TIMEOUT_MS;
use super::Violation;
use super::violation::violation;
use crate::Component;
use crate::Record;
use crate::RequestEnd;
use crate::STABLE_WINDOW_MS;

/// `retryBudgetRatio`, `retrySlack` and `retryWindow` of the retry budget.
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 56.0;
const RETRY_WINDOW_MS: u64 = 10_000;
/// `floorShare`, the window in which it is checked, and the share of unserved requests for
/// which it must hold.
const FLOOR_SHARE: f64 = 0.7;
const FLOOR_WINDOW_MS: u64 = 2_000;
const FLOOR_FAILURE_SHARE: std::ops::Range<f64> = 0.1..0.5;
/// Windows with fewer requests are not checked. With this many, each target could be sent
/// three requests.
const FLOOR_MIN_REQUESTS: usize = 30;
const FLOOR_STEP_MS: u64 = 100;
/// Time after the last fault from which nearly all requests must be served: `stableWindow`
/// and the time limit of one attempt.
const RECOVERY_MS: u64 = STABLE_WINDOW_MS + TIMEOUT_MS;
/// Share of requests that must be served after recovery: the objective for days with faults.
const RECOVERED_SHARE: f64 = 0.95;

/// Checks that retries stay within the retry budget of the fleet.
pub(super) fn retries_are_bound(record: &Record) -> Vec<Violation> {
    let mut violations = Vec::new();
    for service in services(record) {
        let mut seen = BTreeSet::new();
        let arrivals: Vec<(u64, bool)> = record
            .arrivals
            .iter()
            .filter(|arrival| arrival.service == service)
            .map(|arrival| (arrival.at_ms, !seen.insert(&arrival.id)))
            .collect();
        for (from_ms, _) in &arrivals {
            let window = *from_ms..from_ms + RETRY_WINDOW_MS;
            let inside = arrivals.iter().filter(|(at_ms, _)| window.contains(at_ms));
            let repeated = inside.clone().filter(|(_, repeated)| *repeated).count();
            let first = inside.count() - repeated;
            if repeated as f64 > RETRY_RATIO * first as f64 + RETRY_SLACK {
                let description = format!(
                    "{repeated} retries for {first} requests of {service} from {from_ms} ms"
                );
                violations.push(violation("retries are bound", None, description));
                break;
            }
        }
    }
    violations
}

/// Checks that most fault-free targets of a service receive requests while some requests fail.
pub(super) fn the_floor_holds(record: &Record) -> Vec<Violation> {
    services(record)
        .iter()
        .filter_map(|service| floor_violation(record, service))
        .collect()
}

fn floor_violation(record: &Record, service: &Arc<str>) -> Option<Violation> {
    let of_service: BTreeSet<&Arc<str>> = record
        .arrivals
        .iter()
        .filter(|arrival| arrival.service == *service)
        .map(|arrival| &arrival.id)
        .collect();
    let mut from_ms = 0;
    while from_ms + FLOOR_WINDOW_MS <= record.end_ms {
        let to_ms = from_ms + FLOOR_WINDOW_MS;
        let window = from_ms..to_ms;
        from_ms += FLOOR_STEP_MS;
        if !record.is_fault_free(&Component::Store, window.start, to_ms, STABLE_WINDOW_MS) {
            continue;
        }
        let sent = record.requests.iter().filter(|request| {
            window.contains(&request.sent_ms) && of_service.contains(&request.id)
        });
        let (all, unserved) = sent.fold((0, 0), |(all, unserved), request| {
            let served = matches!(request.end, RequestEnd::Answered { status: 200, .. });
            (all + 1, unserved + usize::from(!served))
        });
        if all < FLOOR_MIN_REQUESTS
            || !FLOOR_FAILURE_SHARE.contains(&(unserved as f64 / all as f64))
        {
            continue;
        }
        let targets = record
            .targets
            .iter()
            .filter(|(_, target_service)| target_service == service);
        let fault_free: Vec<&Arc<str>> = targets
            .map(|(target, _)| target)
            .filter(|target| {
                record.is_fault_free(
                    &Component::Target((*target).clone()),
                    window.start,
                    to_ms,
                    2 * STABLE_WINDOW_MS,
                )
            })
            .collect();
        let used = fault_free.iter().filter(|target| {
            record
                .arrivals
                .iter()
                .any(|arrival| arrival.target == ***target && window.contains(&arrival.at_ms))
        });
        let used = used.count();
        if used > 0 && (used as f64) < FLOOR_SHARE * fault_free.len() as f64 {
            let description = format!(
                "{used} of {} fault-free targets of {service} received requests from {} ms, {unserved} of {all} requests not served",
                fault_free.len(),
                window.start
            );
            return Some(violation("the floor holds", None, description));
        }
    }
    None
}

/// Checks that nearly all requests are served again after the last fault.
pub(super) fn service_returns(record: &Record) -> Vec<Violation> {
    let last_fault_end_ms = record.fault_periods.iter().map(|period| period.to_ms).max();
    let from_ms = last_fault_end_ms.unwrap_or(0) + RECOVERY_MS;
    let sent: Vec<_> = record
        .requests
        .iter()
        .filter(|request| request.sent_ms >= from_ms)
        .collect();
    let served = sent
        .iter()
        .filter(|request| matches!(request.end, RequestEnd::Answered { status: 200, .. }));
    let served = served.count();
    if served as f64 >= RECOVERED_SHARE * sent.len() as f64 {
        return Vec::new();
    }
    let description = format!(
        "{served} of {} requests served from {from_ms} ms",
        sent.len()
    );
    let first = sent
        .iter()
        .find(|request| !matches!(request.end, RequestEnd::Answered { status: 200, .. }));
    vec![violation(
        "service returns",
        first.map(|request| &request.id),
        description,
    )]
}

/// Checks that no instance exits without a planned stop.
pub(super) fn instances_stay(record: &Record) -> Vec<Violation> {
    let exits = record.unexpected_exits.iter();
    let to_violation = |(at_ms, instance): &(u64, usize)| {
        violation(
            "instances stay",
            None,
            format!("instance {instance} exited unexpectedly at {at_ms} ms"),
        )
    };
    exits.map(to_violation).collect()
}

/// Checks that all instances are ready again at the end.
pub(super) fn instances_return(record: &Record) -> Vec<Violation> {
    let unready = record.unready_instances.iter();
    let to_violation = |instance: &usize| {
        violation(
            "instances return",
            None,
            format!("instance {instance} is not ready at the end"),
        )
    };
    unready.map(to_violation).collect()
}

fn services(record: &Record) -> BTreeSet<Arc<str>> {
    record
        .targets
        .iter()
        .map(|(_, service)| service.clone())
        .collect()
}
