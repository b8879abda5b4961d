//! The promises, each as a function over what was seen.
//!
//! Bounds are those of the users' pages, by their names there. Each check gives
//! the first things that broke it, so that a report names a request.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use derive_more::Display;

use super::Change;
use super::End;
use super::Kind;
use super::Place;
use super::Record;
use super::Request;
use super::STABLE_MS;

/// `drain`: time for a target's leaving to be known.
const DRAIN_MS: u64 = 2_000;
/// `configApply`: time for a configuration to be in force.
const APPLY_MS: u64 = 2_000;
/// `rollbackSlack`: time after which no instance goes back to an older one.
const ROLLBACK_MS: u64 = 250;
/// `lossSlack`: time after which a request has crossed no close.
const LOSS_MS: u64 = 200;
/// The routes' `timeout`, and the time beyond it that an answer may take.
const TIMEOUT_MS: u64 = 3_000;
const LATE_MS: u64 = 500;
/// The routes' `maxAttempts`, and the requests that may go beyond it.
const MAX_ATTEMPTS: usize = 2;
const FEW: usize = 3;
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
/// Status codes that promise that a request has not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("{promise}: {what}")]
pub struct Broken {
    /// The promise's name.
    pub promise: &'static str,
    /// What broke it.
    pub what: String,
    /// The request concerned, if there is one.
    pub id: Option<Arc<str>>,
}

fn broken(promise: &'static str, id: Option<&Arc<str>>, what: String) -> Broken {
    Broken {
        promise,
        what,
        id: id.cloned(),
    }
}

/// Holds a record against all promises.
pub fn check(record: &Record) -> Vec<Broken> {
    let checks = [
        runs_once,
        refusals_are_true,
        answers_are_own,
        attempts_are_bound,
        answers_come_in_time,
        draining_targets_get_nothing,
        nothing_is_cut,
        configurations_are_in_force,
        configurations_never_revert,
        retries_are_bound,
        the_floor_holds,
        service_returns,
        instances_stay,
    ];
    checks.iter().flat_map(|check| check(record)).collect()
}

/// A command runs once at most.
pub fn runs_once(record: &Record) -> Vec<Broken> {
    let runs = runs(record);
    let commands = record.requests.iter();
    let commands = commands.filter(|request| request.kind == Kind::Command);
    let again = commands.filter(|request| runs.get(&request.id).is_some_and(|runs| *runs > 1));
    let tell = |request: &Request| {
        let what = format!("command {} ran {} times", request.id, runs[&request.id]);
        broken("runs once", Some(&request.id), what)
    };
    again.map(tell).collect()
}

/// A command that is refused as not run has not run.
pub fn refusals_are_true(record: &Record) -> Vec<Broken> {
    let runs = runs(record);
    let is_refused = |request: &&Request| {
        let refused = matches!(&request.end, End::Answered { status, target: None, .. }
            if NOT_RUN.contains(status));
        refused && request.kind == Kind::Command && runs.contains_key(&request.id)
    };
    let refused = record.requests.iter().filter(is_refused);
    let tell = |request: &Request| {
        let what = format!("command {} was refused and ran", request.id);
        broken("refusals are true", Some(&request.id), what)
    };
    refused.map(tell).collect()
}

/// A success is a target's whole answer to this very request.
pub fn answers_are_own(record: &Record) -> Vec<Broken> {
    let is_foreign = |request: &&Request| {
        matches!(
            request.end,
            End::Answered {
                status: 200,
                proven: false,
                ..
            }
        )
    };
    let foreign = record.requests.iter().filter(is_foreign);
    let tell = |request: &Request| {
        let what = format!("{} got a success that is not its own", request.id);
        broken("answers are own", Some(&request.id), what)
    };
    foreign.map(tell).collect()
}

/// A request runs at few targets.
pub fn attempts_are_bound(record: &Record) -> Vec<Broken> {
    let mut targets: BTreeMap<&Arc<str>, BTreeSet<&Arc<str>>> = BTreeMap::new();
    for (id, target) in &record.ran {
        targets.entry(id).or_default().insert(target);
    }
    let beyond: Vec<_> = targets
        .iter()
        .filter(|(_, targets)| targets.len() > MAX_ATTEMPTS)
        .collect();
    if beyond.len() <= FEW {
        return Vec::new();
    }
    let tell = |(id, targets): &(&&Arc<str>, &BTreeSet<&Arc<str>>)| {
        let what = format!("{id} ran at {} targets", targets.len());
        broken("attempts are bound", Some(*id), what)
    };
    beyond.iter().map(tell).collect()
}

/// An instance in touch ends each request soon after its route's time limit.
pub fn answers_come_in_time(record: &Record) -> Vec<Broken> {
    let is_late = |request: &&Request| {
        let allowed_ms = TIMEOUT_MS + LATE_MS;
        request.end != End::NotSent
            && request.ended_ms > request.sent_ms + allowed_ms
            && record.is_in_touch(request.instance, request.sent_ms, request.ended_ms)
    };
    let late = record.requests.iter().filter(is_late);
    let tell = |request: &Request| {
        let after_ms = request.ended_ms - request.sent_ms;
        let what = format!(
            "{} ended after {after_ms} ms: {:?}",
            request.id, request.end
        );
        broken("answers come in time", Some(&request.id), what)
    };
    late.map(tell).collect()
}

/// A target that drains gets nothing from instances in touch.
pub fn draining_targets_get_nothing(record: &Record) -> Vec<Broken> {
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

/// No request that an instance has read is cut, planned stops included; but for those
/// that a target broke off.
pub fn nothing_is_cut(record: &Record) -> Vec<Broken> {
    let mut arrived: BTreeMap<&Arc<str>, bool> = BTreeMap::new();
    for arrival in &record.arrivals {
        let place = Place::Target(arrival.target.clone());
        let is_calm = record.is_calm(&place, arrival.at_ms, arrival.at_ms + TIMEOUT_MS, STABLE_MS);
        *arrived.entry(&arrival.id).or_insert(true) &= is_calm;
    }
    let is_cut = |request: &&Request| {
        let was_read = match arrived.get(&request.id) {
            Some(is_calm) => *is_calm,
            None => request.ended_ms > request.sent_ms + LOSS_MS,
        };
        request.end == End::Cut
            && was_read
            && record.is_in_touch(request.instance, request.sent_ms, request.ended_ms)
    };
    let cut = record.requests.iter().filter(is_cut);
    let tell = |request: &Request| {
        let what = format!("{} was cut at instance {}", request.id, request.instance);
        broken("nothing is cut", Some(&request.id), what)
    };
    cut.map(tell).collect()
}

/// A configuration is in force in time at instances in touch.
pub fn configurations_are_in_force(record: &Record) -> Vec<Broken> {
    let by_id = by_id(record);
    let moves = moves(record);
    let mut found = Vec::new();
    for (at, (moved_ms, service)) in moves.iter().enumerate() {
        let next_ms = moves.get(at + 1).map_or(u64::MAX, |(next_ms, _)| *next_ms);
        for arrival in record
            .arrivals
            .iter()
            .filter(|arrival| arrival.service != **service)
        {
            let Some(request) = by_id
                .get(&arrival.id)
                .filter(|request| request.kind == Kind::Moved)
            else {
                continue;
            };
            let sent_ms = request.sent_ms;
            if sent_ms > moved_ms + APPLY_MS
                && arrival.at_ms < next_ms
                && record.is_in_touch(request.instance, *moved_ms, sent_ms)
            {
                let after_ms = sent_ms - moved_ms;
                let what = format!("{} went to the old service {after_ms} ms later", request.id);
                found.push(broken(
                    "configurations are in force",
                    Some(&request.id),
                    what,
                ));
            }
        }
    }
    found
}

/// An instance that has shown a configuration goes back to no older one.
pub fn configurations_never_revert(record: &Record) -> Vec<Broken> {
    let by_id = by_id(record);
    let mut found = Vec::new();
    for (at, (moved_ms, service)) in moves(record).iter().enumerate() {
        let next = moves(record)
            .get(at + 1)
            .map_or(u64::MAX, |(next_ms, _)| *next_ms);
        let mut shown: BTreeMap<usize, u64> = BTreeMap::new();
        for arrival in &record.arrivals {
            let Some(request) = by_id
                .get(&arrival.id)
                .filter(|request| request.kind == Kind::Moved)
            else {
                continue;
            };
            if arrival.at_ms < *moved_ms || arrival.at_ms >= next {
                continue;
            }
            let instance = request.instance;
            if arrival.service == **service {
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
                found.push(broken(
                    "configurations never revert",
                    Some(&request.id),
                    what,
                ));
            }
        }
    }
    found
}

/// What arrives beyond the first time stays inside the fleet's budget.
pub fn retries_are_bound(record: &Record) -> Vec<Broken> {
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
pub fn the_floor_holds(record: &Record) -> Vec<Broken> {
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
pub fn service_returns(record: &Record) -> Vec<Broken> {
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
pub fn instances_stay(record: &Record) -> Vec<Broken> {
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

fn runs(record: &Record) -> BTreeMap<&Arc<str>, usize> {
    let mut runs = BTreeMap::new();
    for (id, _) in &record.ran {
        *runs.entry(id).or_default() += 1;
    }
    runs
}

fn by_id(record: &Record) -> BTreeMap<&Arc<str>, &Request> {
    record
        .requests
        .iter()
        .map(|request| (&request.id, request))
        .collect()
}

fn services(record: &Record) -> BTreeSet<Arc<str>> {
    record
        .targets
        .iter()
        .map(|(_, service)| service.clone())
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
