//! Invariants of single requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use super::TIMEOUT_MS;
use super::Violation;
use super::routing::APPLY_MS;
use super::violation::violation;
use crate::Change;
use crate::Component;
use crate::Record;
use crate::Request;
use crate::RequestEnd;
use crate::RequestKind;
use crate::STABLE_WINDOW_MS;
use crate::testbed::SERVICE_WITH_ORDERS;

/// `lossSlack`: a request that is cut within this time may have crossed the close of its
/// connection.
const LOSS_SLACK_MS: u64 = 200;
/// Time that a response may take beyond the `timeout` of the routes.
const TIMEOUT_SLACK_MS: u64 = 500;
/// `maxAttempts` of the routes, and the number of requests that may exceed it.
const MAX_ATTEMPTS: usize = 2;
const ALLOWED_EXCESS: usize = 3;
/// Status codes that guarantee that a request has not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Checks that a command runs at most once.
pub(super) fn runs_once(record: &Record) -> Vec<Violation> {
    let runs = runs(record);
    let commands = record.requests.iter();
    let commands = commands.filter(|request| request.kind == RequestKind::Command);
    let repeated = commands.filter(|request| runs.get(&request.id).is_some_and(|runs| *runs > 1));
    let to_violation = |request: &Request| {
        let description = format!("command {} ran {} times", request.id, runs[&request.id]);
        violation("runs once", Some(&request.id), description)
    };
    repeated.map(to_violation).collect()
}

/// Checks that an order runs at most once if the configuration that makes it one has had the time to
/// come into force. Exempt are orders that a later configuration may serve as idempotent requests, and
/// those at instances that no message of others reaches, or while none of the others can know.
pub(super) fn orders_run_once(record: &Record) -> Vec<Violation> {
    let runs = runs(record);
    let orders = record.requests.iter();
    let orders = orders.filter(|request| request.kind == RequestKind::Order);
    let is_violation = |request: &&Request| {
        runs.get(&request.id).is_some_and(|runs| *runs > 1)
            && orders_since_ms(record, request)
                .is_some_and(|since_ms| request.sent_ms > since_ms + APPLY_MS)
    };
    let to_violation = |request: &Request| {
        let description = format!("order {} ran {} times", request.id, runs[&request.id]);
        violation("orders run once", Some(&request.id), description)
    };
    orders.filter(is_violation).map(to_violation).collect()
}

/// Since when the instance of an order can know that it must run at most once, and does until the end
/// of the order; `None` if it cannot, or need not.
fn orders_since_ms(record: &Record, order: &Request) -> Option<u64> {
    let moves = record
        .changes
        .iter()
        .filter_map(|(at_ms, change)| match change {
            Change::RouteMoved { service } => Some((*at_ms, &**service == SERVICE_WITH_ORDERS)),
            _ => None,
        });
    let moves: Vec<(u64, bool)> = moves
        .filter(|(at_ms, _)| *at_ms <= order.ended_ms)
        .collect();
    let first = moves.iter().rposition(|(_, has_orders)| !has_orders);
    let (added_ms, _) = *moves.get(first.map_or(0, |last| last + 1))?;
    let is_reached = record.is_fault_free(
        &Component::Peers(order.instance),
        added_ms,
        order.ended_ms,
        0,
    );
    let instances = record.requests.iter().map(|request| request.instance);
    let others: BTreeSet<usize> = instances.filter(|other| *other != order.instance).collect();
    let applied_ms = added_ms + APPLY_MS;
    let is_calm = |component: Component| record.is_fault_free(&component, added_ms, applied_ms, 0);
    let is_informed = |other: usize| is_calm(Component::Instance(other));
    let is_known = is_calm(Component::Store) && others.into_iter().any(is_informed);
    (is_reached && is_known).then_some(added_ms)
}

/// Checks that a command has not run if an instance refused it as not run.
pub(super) fn refusals_are_true(record: &Record) -> Vec<Violation> {
    let runs = runs(record);
    let is_refused = |request: &&Request| {
        let refused = matches!(&request.end, RequestEnd::Answered { status, target: None, .. }
            if NOT_RUN.contains(status));
        refused && request.kind == RequestKind::Command && runs.contains_key(&request.id)
    };
    let refused = record.requests.iter().filter(is_refused);
    let to_violation = |request: &Request| {
        let description = format!("command {} was refused as not run, but it ran", request.id);
        violation("refusals are true", Some(&request.id), description)
    };
    refused.map(to_violation).collect()
}

/// Checks that every successful response is the complete response of a target to that
/// request.
pub(super) fn answers_are_own(record: &Record) -> Vec<Violation> {
    let is_unproven = |request: &&Request| {
        matches!(
            request.end,
            RequestEnd::Answered {
                status: 200,
                proven: false,
                ..
            }
        )
    };
    let unproven = record.requests.iter().filter(is_unproven);
    let to_violation = |request: &Request| {
        let description = format!(
            "{} received a successful response that is not proven to be its own",
            request.id
        );
        violation("answers are own", Some(&request.id), description)
    };
    unproven.map(to_violation).collect()
}

/// Checks that few requests run at more than [`MAX_ATTEMPTS`] targets.
pub(super) fn attempts_are_bound(record: &Record) -> Vec<Violation> {
    let mut targets: BTreeMap<&Arc<str>, BTreeSet<&Arc<str>>> = BTreeMap::new();
    for (id, target) in &record.ran {
        targets.entry(id).or_default().insert(target);
    }
    let excess: Vec<_> = targets
        .iter()
        .filter(|(_, targets)| targets.len() > MAX_ATTEMPTS)
        .collect();
    if excess.len() <= ALLOWED_EXCESS {
        return Vec::new();
    }
    let to_violation = |(id, targets): &(&&Arc<str>, &BTreeSet<&Arc<str>>)| {
        let description = format!("{id} ran at {} targets", targets.len());
        violation("attempts are bound", Some(*id), description)
    };
    excess.iter().map(to_violation).collect()
}

/// Checks that a fault-free instance ends each request soon after the time limit of its route.
pub(super) fn answers_come_in_time(record: &Record) -> Vec<Violation> {
    let is_late = |request: &&Request| {
        let allowed_ms = TIMEOUT_MS + TIMEOUT_SLACK_MS;
        request.end != RequestEnd::NotSent
            && request.ended_ms > request.sent_ms + allowed_ms
            && record.is_instance_fault_free(request.instance, request.sent_ms, request.ended_ms)
    };
    let late = record.requests.iter().filter(is_late);
    let to_violation = |request: &Request| {
        let after_ms = request.ended_ms - request.sent_ms;
        let description = format!(
            "{} ended after {after_ms} ms: {:?}",
            request.id, request.end
        );
        violation("answers come in time", Some(&request.id), description)
    };
    late.map(to_violation).collect()
}

/// Checks that no request that a fault-free instance has read is cut, even by a planned stop.
/// Requests that reached a faulty target are exempt, as the target may have cut them.
pub(super) fn nothing_is_cut(record: &Record) -> Vec<Violation> {
    let mut arrived: BTreeMap<&Arc<str>, bool> = BTreeMap::new();
    for arrival in &record.arrivals {
        let component = Component::Target(arrival.target.clone());
        let is_fault_free = record.is_fault_free(
            &component,
            arrival.at_ms,
            arrival.at_ms + TIMEOUT_MS,
            STABLE_WINDOW_MS,
        );
        *arrived.entry(&arrival.id).or_insert(true) &= is_fault_free;
    }
    let is_cut = |request: &&Request| {
        let was_read = match arrived.get(&request.id) {
            Some(is_fault_free) => *is_fault_free,
            None => request.ended_ms > request.sent_ms + LOSS_SLACK_MS,
        };
        request.end == RequestEnd::Cut
            && was_read
            && record.is_instance_fault_free(request.instance, request.sent_ms, request.ended_ms)
    };
    let cut = record.requests.iter().filter(is_cut);
    let to_violation = |request: &Request| {
        let description = format!(
            "request {} was cut at instance {}",
            request.id, request.instance
        );
        violation("nothing is cut", Some(&request.id), description)
    };
    cut.map(to_violation).collect()
}

fn runs(record: &Record) -> BTreeMap<&Arc<str>, usize> {
    let mut runs = BTreeMap::new();
    for (id, _) in &record.ran {
        *runs.entry(id).or_default() += 1;
    }
    runs
}
