//! What holds for all instances together.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::Broken;
use super::TIMEOUT_MS;
use super::broken::broken;
use crate::End;
use crate::Place;
use crate::Record;
use crate::STABLE_MS;

/// `retryBudgetRatio`, `retrySlack`, `retryWindow`.
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 56.0;
const RETRY_WINDOW_MS: u64 = 10_000;
/// `floorShare`, and the window and the shares of failing requests in which it is asked for.
const FLOOR_SHARE: f64 = 0.7;
const FLOOR_WINDOW_MS: u64 = 2_000;
const FLOOR_UNSERVED: std::ops::Range<f64> = 0.1..0.5;
/// Requests in a window below which it says nothing of a floor: all targets could be
/// asked three times.
const FLOOR_REQUESTS: usize = 30;
const FLOOR_STEP_MS: u64 = 100;
/// Time after the last trouble from which nearly all is served: `stableWindow`, and
/// one attempt's time limit.
const RECOVERED_MS: u64 = STABLE_MS + TIMEOUT_MS;
/// Share that is served then: the aim for days with trouble.
const RECOVERED_SHARE: f64 = 0.95;

/// What arrives beyond the first time stays inside the fleet's budget.
pub(super) fn retries_are_bound(record: &Record) -> Vec<Broken> {
    let mut found = Vec::new();
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
            let again = inside.clone().filter(|(_, again)| *again).count();
            let first = inside.count() - again;
            if again as f64 > RETRY_RATIO * first as f64 + RETRY_SLACK {
                let what =
                    format!("{again} retries for {first} requests of {service} from {from_ms} ms");
                found.push(broken("retries are bound", None, what));
                break;
            }
        }
    }
    found
}

/// While some requests fail, most sound targets of a service get work.
pub(super) fn the_floor_holds(record: &Record) -> Vec<Broken> {
    services(record)
        .iter()
        .filter_map(|service| floor_of(record, service))
        .collect()
}

fn floor_of(record: &Record, service: &Arc<str>) -> Option<Broken> {
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
        if !record.is_calm(&Place::Store, window.start, to_ms, STABLE_MS) {
            continue;
        }
        let sent = record.requests.iter().filter(|request| {
            window.contains(&request.sent_ms) && of_service.contains(&request.id)
        });
        let (all, unserved) = sent.fold((0, 0), |(all, unserved), request| {
            let served = matches!(request.end, End::Answered { status: 200, .. });
            (all + 1, unserved + usize::from(!served))
        });
        if all < FLOOR_REQUESTS || !FLOOR_UNSERVED.contains(&(unserved as f64 / all as f64)) {
            continue;
        }
        let targets = record.targets.iter().filter(|(_, of)| of == service);
        let sound: Vec<&Arc<str>> = targets
            .map(|(target, _)| target)
            .filter(|target| {
                record.is_calm(
                    &Place::Target((*target).clone()),
                    window.start,
                    to_ms,
                    2 * STABLE_MS,
                )
            })
            .collect();
        let busy = sound.iter().filter(|target| {
            record
                .arrivals
                .iter()
                .any(|arrival| arrival.target == ***target && window.contains(&arrival.at_ms))
        });
        let busy = busy.count();
        if busy > 0 && (busy as f64) < FLOOR_SHARE * sound.len() as f64 {
            let what = format!(
                "{busy} of {} sound targets of {service} got work from {} ms, {unserved} of {all} not served",
                sound.len(),
                window.start
            );
            return Some(broken("the floor holds", None, what));
        }
    }
    None
}

/// Nearly all is served again when the faults are over.
pub(super) fn service_returns(record: &Record) -> Vec<Broken> {
    let over_ms = record.troubles.iter().map(|trouble| trouble.to_ms).max();
    let from_ms = over_ms.unwrap_or(0) + RECOVERED_MS;
    let sent: Vec<_> = record
        .requests
        .iter()
        .filter(|request| request.sent_ms >= from_ms)
        .collect();
    let served = sent
        .iter()
        .filter(|request| matches!(request.end, End::Answered { status: 200, .. }));
    let served = served.count();
    if served as f64 >= RECOVERED_SHARE * sent.len() as f64 {
        return Vec::new();
    }
    let what = format!("{served} of {} served from {from_ms} ms", sent.len());
    let first = sent
        .iter()
        .find(|request| !matches!(request.end, End::Answered { status: 200, .. }));
    vec![broken(
        "service returns",
        first.map(|request| &request.id),
        what,
    )]
}

/// No instance ends by itself.
pub(super) fn instances_stay(record: &Record) -> Vec<Broken> {
    let ended = record.ended_by_themselves.iter();
    let tell = |(at_ms, instance): &(u64, usize)| {
        broken(
            "instances stay",
            None,
            format!("instance {instance} ended at {at_ms} ms"),
        )
    };
    ended.map(tell).collect()
}

fn services(record: &Record) -> BTreeSet<Arc<str>> {
    record
        .targets
        .iter()
        .map(|(_, service)| service.clone())
        .collect()
}
