//! Where requests may go: leaving targets and routes that move.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Broken;
use super::broken::broken;
use crate::Arrival;
use crate::Change;
use crate::Kind;
use crate::Record;
use crate::Request;

/// `drain`: time for a target's leaving to be known.
const DRAIN_MS: u64 = 2_000;
/// `configApply`: time for a configuration to be in force.
const APPLY_MS: u64 = 2_000;
/// `rollbackSlack`: time after which no instance goes back to an older one.
const ROLLBACK_MS: u64 = 250;

/// A target that drains gets nothing from instances in touch.
pub(super) fn draining_targets_get_nothing(record: &Record) -> Vec<Broken> {
    let by_id = by_id(record);
    let mut found = Vec::new();
    for (drained_ms, change) in &record.changes {
        let Change::Draining { target } = change else {
            continue;
        };
        let late = record
            .arrivals
            .iter()
            .filter(|arrival| arrival.target == *target && arrival.at_ms > drained_ms + DRAIN_MS);
        for arrival in late {
            let Some(request) = by_id.get(&arrival.id) else {
                continue;
            };
            if record.is_in_touch(request.instance, *drained_ms, arrival.at_ms) {
                let after_ms = arrival.at_ms - drained_ms;
                let what = format!(
                    "{} reached {target} {after_ms} ms after it drained",
                    arrival.id
                );
                found.push(broken(
                    "draining targets get nothing",
                    Some(&arrival.id),
                    what,
                ));
            }
        }
    }
    found
}

/// A configuration is in force in time at instances in touch.
pub(super) fn configurations_are_in_force(record: &Record) -> Vec<Broken> {
    let mut found = Vec::new();
    let moved = moved_arrivals(record);
    for span in spans(record) {
        for (request, arrival) in &moved {
            let sent_ms = request.sent_ms;
            if arrival.service != *span.service
                && sent_ms > span.from_ms + APPLY_MS
                && arrival.at_ms < span.to_ms
                && record.is_in_touch(request.instance, span.from_ms, sent_ms)
            {
                let after_ms = sent_ms - span.from_ms;
                let what = format!("{} went to the old service {after_ms} ms later", request.id);
                let id = Some(&request.id);
                found.push(broken("configurations are in force", id, what));
            }
        }
    }
    found
}

/// An instance that has shown a configuration goes back to no older one.
pub(super) fn configurations_never_revert(record: &Record) -> Vec<Broken> {
    let mut found = Vec::new();
    let moved = moved_arrivals(record);
    for span in spans(record) {
        let mut shown: BTreeMap<usize, u64> = BTreeMap::new();
        for (request, arrival) in &moved {
            if arrival.at_ms < span.from_ms || arrival.at_ms >= span.to_ms {
                continue;
            }
            let instance = request.instance;
            if arrival.service == *span.service {
                shown.entry(instance).or_insert(arrival.at_ms);
                continue;
            }
            let Some(shown_ms) = shown.get(&instance) else {
                continue;
            };
            let restarted = record.changes.iter().any(|(at_ms, change)| {
                *change == Change::Started { instance }
                    && at_ms >= shown_ms
                    && *at_ms <= request.sent_ms
            });
            if !restarted
                && request.sent_ms > shown_ms + ROLLBACK_MS
                && record.is_in_touch(instance, *shown_ms, request.sent_ms)
            {
                let what = format!("{} went back to the older service", request.id);
                let id = Some(&request.id);
                found.push(broken("configurations never revert", id, what));
            }
        }
    }
    found
}

/// The time in which the route that moves goes to a service.
struct Span<'a> {
    from_ms: u64,
    to_ms: u64,
    service: &'a Arc<str>,
}

fn spans(record: &Record) -> Vec<Span<'_>> {
    let moves = moves(record);
    let ends = moves.iter().skip(1).map(|(at_ms, _)| *at_ms);
    let ends = ends.chain(std::iter::once(u64::MAX));
    let spans = moves.iter().zip(ends);
    let spans = spans.map(|((from_ms, service), to_ms)| Span {
        from_ms: *from_ms,
        to_ms,
        service,
    });
    spans.collect()
}

/// The requests on the route that moves, with their arrivals, by time.
fn moved_arrivals(record: &Record) -> Vec<(&Request, &Arrival)> {
    let by_id = by_id(record);
    let arrivals = record.arrivals.iter();
    let moved = arrivals.filter_map(|arrival| Some((*by_id.get(&arrival.id)?, arrival)));
    moved
        .filter(|(request, _)| request.kind == Kind::Moved)
        .collect()
}

fn by_id(record: &Record) -> BTreeMap<&Arc<str>, &Request> {
    record
        .requests
        .iter()
        .map(|request| (&request.id, request))
        .collect()
}

fn moves(record: &Record) -> Vec<(u64, &Arc<str>)> {
    let moves = record.changes.iter();
    moves
        .filter_map(|(at_ms, change)| match change {
            Change::Moved { service } => Some((*at_ms, service)),
            _ => None,
        })
        .collect()
}
