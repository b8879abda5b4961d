//! Invariants of routing: draining targets and the moving route.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Violation;
use super::violation::violation;
use crate::Arrival;
use crate::Change;
use crate::FOREIGN_TARGET;
use crate::Record;
use crate::Request;
use crate::RequestEnd;
use crate::RequestKind;

/// `drain`: time within which all instances must apply the draining of a target.
const DRAIN_MS: u64 = 2_000;
/// `configApply`: time within which a configuration must be in force.
pub(super) const APPLY_MS: u64 = 2_000;
/// `rollbackSlack`: time after which an instance must not return to an older configuration.
const ROLLBACK_SLACK_MS: u64 = 250;

/// Checks that a draining target receives no requests from fault-free instances.
pub(super) fn draining_targets_get_nothing(record: &Record) -> Vec<Violation> {
    let requests_by_id = requests_by_id(record);
    let mut violations = Vec::new();
    for (drained_ms, change) in &record.changes {
        let Change::Draining { target } = change else {
            continue;
        };
        let late = record
            .arrivals
            .iter()
            .filter(|arrival| arrival.target == *target && arrival.at_ms > drained_ms + DRAIN_MS);
        for arrival in late {
            let Some(request) = requests_by_id.get(&arrival.id) else {
                continue;
            };
            if record.is_instance_fault_free(request.instance, *drained_ms, arrival.at_ms) {
                let after_ms = arrival.at_ms - drained_ms;
                let description = format!(
                    "{} reached {target} {after_ms} ms after it was marked as draining",
                    arrival.id
                );
                violations.push(violation(
                    "draining targets get nothing",
                    Some(&arrival.id),
                    description,
                ));
            }
        }
    }
    violations
}

/// Checks that a target receives no requests from an instance that has passed on its word that it
/// leaves, whatever faults there are; only a restart or a freeze of the instance excuses it.
pub(super) fn targets_that_say_they_leave_get_nothing(record: &Record) -> Vec<Violation> {
    let requests_by_id = requests_by_id(record);
    let mut told: BTreeMap<(&Arc<str>, usize), Vec<u64>> = BTreeMap::new();
    for request in &record.requests {
        if let RequestEnd::Answered {
            target: Some(target),
            is_leaving: true,
            ..
        } = &request.end
        {
            let times = told.entry((target, request.instance)).or_default();
            times.push(request.ended_ms);
        }
    }
    let mut violations = Vec::new();
    for arrival in &record.arrivals {
        let Some(request) = requests_by_id.get(&arrival.id) else {
            continue;
        };
        let times = told.get(&(&arrival.target, request.instance));
        let mut times = times.into_iter().flatten();
        let is_late = |told_ms: &&u64| {
            request.sent_ms > **told_ms + DRAIN_MS
                && !is_restarted_or_resumed(record, request.instance, **told_ms, arrival.at_ms)
        };
        if let Some(told_ms) = times.find(is_late) {
            let description = format!(
                "{} reached {} {} ms after it had told the instance that it leaves",
                arrival.id,
                arrival.target,
                arrival.at_ms - told_ms
            );
            violations.push(violation(
                "targets that say they leave get nothing",
                Some(&arrival.id),
                description,
            ));
        }
    }
    violations
}

/// Checks that no request goes to the address of an entry of another writer.
pub(super) fn foreign_entries_get_nothing(record: &Record) -> Vec<Violation> {
    let arrivals = record.arrivals.iter();
    let foreign = arrivals.filter(|arrival| &*arrival.target == FOREIGN_TARGET);
    let to_violation = |arrival: &Arrival| {
        let description = format!("{} went to the entry of another writer", arrival.id);
        let id = Some(&arrival.id);
        violation("foreign entries get nothing", id, description)
    };
    foreign.map(to_violation).collect()
}

fn is_restarted_or_resumed(record: &Record, instance: usize, from_ms: u64, to_ms: u64) -> bool {
    record.changes.iter().any(|(at_ms, change)| {
        let is_excuse =
            *change == Change::Started { instance } || *change == Change::Resumed { instance };
        is_excuse && (from_ms..=to_ms).contains(at_ms)
    })
}

/// Checks that a configuration is in force in time at fault-free instances.
pub(super) fn configurations_are_in_force(record: &Record) -> Vec<Violation> {
    let mut violations = Vec::new();
    let arrivals = moving_route_arrivals(record);
    for route_period in route_periods(record) {
        for (request, arrival) in &arrivals {
            let sent_ms = request.sent_ms;
            if arrival.service != *route_period.service
                && sent_ms > route_period.from_ms + APPLY_MS
                && arrival.at_ms < route_period.to_ms
                && record.is_instance_fault_free(request.instance, route_period.from_ms, sent_ms)
            {
                let after_ms = sent_ms - route_period.from_ms;
                let description = format!(
                    "{} went to the old service {after_ms} ms after the route moved",
                    request.id
                );
                let id = Some(&request.id);
                violations.push(violation("configurations are in force", id, description));
            }
        }
    }
    violations
}

/// Checks that an instance that has applied a configuration does not return to an older one.
pub(super) fn configurations_never_revert(record: &Record) -> Vec<Violation> {
    let mut violations = Vec::new();
    let arrivals = moving_route_arrivals(record);
    for route_period in route_periods(record) {
        let mut first_seen: BTreeMap<usize, u64> = BTreeMap::new();
        for (request, arrival) in &arrivals {
            if arrival.at_ms < route_period.from_ms || arrival.at_ms >= route_period.to_ms {
                continue;
            }
            let instance = request.instance;
            if arrival.service == *route_period.service {
                first_seen.entry(instance).or_insert(arrival.at_ms);
                continue;
            }
            let Some(first_seen_ms) = first_seen.get(&instance) else {
                continue;
            };
            let restarted = record.changes.iter().any(|(at_ms, change)| {
                *change == Change::Started { instance }
                    && at_ms >= first_seen_ms
                    && *at_ms <= request.sent_ms
            });
            if !restarted
                && request.sent_ms > first_seen_ms + ROLLBACK_SLACK_MS
                && record.is_instance_fault_free(instance, *first_seen_ms, request.sent_ms)
            {
                let description = format!(
                    "{} went to the old service after the instance had used the new one",
                    request.id
                );
                let id = Some(&request.id);
                violations.push(violation("configurations never revert", id, description));
            }
        }
    }
    violations
}

/// Period in which the moving route points to one service.
pub(super) struct RoutePeriod<'a> {
    pub(super) from_ms: u64,
    pub(super) to_ms: u64,
    pub(super) service: &'a Arc<str>,
}

pub(super) fn route_periods(record: &Record) -> Vec<RoutePeriod<'_>> {
    let route_moves = route_moves(record);
    let ends = route_moves.iter().skip(1).map(|(at_ms, _)| *at_ms);
    let ends = ends.chain(std::iter::once(u64::MAX));
    let route_periods = route_moves.iter().zip(ends);
    let route_periods = route_periods.map(|((from_ms, service), to_ms)| RoutePeriod {
        from_ms: *from_ms,
        to_ms,
        service,
    });
    route_periods.collect()
}

/// Returns the requests on the moving route with their arrivals, ordered by arrival.
fn moving_route_arrivals(record: &Record) -> Vec<(&Request, &Arrival)> {
    let requests_by_id = requests_by_id(record);
    let arrivals = record.arrivals.iter();
    let matched = arrivals.filter_map(|arrival| Some((*requests_by_id.get(&arrival.id)?, arrival)));
    matched
        .filter(|(request, _)| request.kind == RequestKind::MovingRoute)
        .collect()
}

fn requests_by_id(record: &Record) -> BTreeMap<&Arc<str>, &Request> {
    record
        .requests
        .iter()
        .map(|request| (&request.id, request))
        .collect()
}

fn route_moves(record: &Record) -> Vec<(u64, &Arc<str>)> {
    let changes = record.changes.iter();
    changes
        .filter_map(|(at_ms, change)| match change {
            Change::RouteMoved { service } => Some((*at_ms, service)),
            _ => None,
        })
        .collect()
}
