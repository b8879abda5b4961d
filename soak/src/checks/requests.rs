//! What a single request may meet.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use super::Broken;
use super::TIMEOUT_MS;
use super::broken::broken;
use crate::End;
use crate::Kind;
use crate::Place;
use crate::Record;
use crate::Request;
use crate::STABLE_MS;

/// `lossSlack`: time after which a request has crossed no close.
const LOSS_MS: u64 = 200;
/// Time beyond the routes' `timeout` that an answer may take.
const LATE_MS: u64 = 500;
/// The routes' `maxAttempts`, and the requests that may go beyond it.
const MAX_ATTEMPTS: usize = 2;
const FEW: usize = 3;
/// Status codes that promise that a request has not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// A command runs once at most.
pub(super) fn runs_once(record: &Record) -> Vec<Broken> {
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
pub(super) fn refusals_are_true(record: &Record) -> Vec<Broken> {
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
pub(super) fn answers_are_own(record: &Record) -> Vec<Broken> {
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
pub(super) fn attempts_are_bound(record: &Record) -> Vec<Broken> {
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
pub(super) fn answers_come_in_time(record: &Record) -> Vec<Broken> {
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

/// No request that an instance has read is cut, planned stops included; but for those
/// that a target broke off.
pub(super) fn nothing_is_cut(record: &Record) -> Vec<Broken> {
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

fn runs(record: &Record) -> BTreeMap<&Arc<str>, usize> {
    let mut runs = BTreeMap::new();
    for (id, _) in &record.ran {
        *runs.entry(id).or_default() += 1;
    }
    runs
}
