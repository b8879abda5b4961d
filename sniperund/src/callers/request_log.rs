//! The lines of a request, with what decided each step.

use std::sync::atomic::Ordering;

use policy::exchange::AttemptEnd;
use policy::exchange::Failure;
use policy::exchange::Reply;
use policy::instance::PermitAnswer;

use super::call::Call;

const MICROS_PER_MILLI: u64 = 1_000;

/// Logs where an attempt goes and what decided that.
pub(super) fn sent(call: &Call, now_us: u64, attempt: usize, candidate: usize, left_ms: u64) {
    let table = call.exchange.table();
    let chosen = &table.candidates[candidate];
    log::info!(
        "event=request-sent id={} route={} note={} service={} attempt={attempt} target={} doubt_milli={} in_flight={} needed_slots={} left_ms={left_ms}",
        call.asked.id(),
        call.route.name,
        call.note,
        table.service.name,
        chosen.target.name,
        (chosen.load.failure_probability(now_us) * 1e3) as u32,
        chosen.load.in_flight(),
        table.load.needed_slots.load(Ordering::Relaxed),
    );
}

/// Logs what the home of a crowded target has said.
pub(super) fn permit(call: &Call, target: &str, answer: PermitAnswer, after_us: u64) {
    let (answer, in_flight) = match answer {
        PermitAnswer::Permitted { in_flight } => ("permitted", Some(in_flight)),
        PermitAnswer::Denied { in_flight } => ("denied", Some(in_flight)),
        PermitAnswer::Unknown => ("unknown", None),
    };
    let overload = &call.exchange.table().load.overload;
    log::info!(
        "event=permit-asked id={} target={target} answer={answer} in_flight={in_flight:?} work_ms={} after_ms={}",
        call.asked.id(),
        overload.work_us() / MICROS_PER_MILLI,
        after_us / MICROS_PER_MILLI
    );
}

/// Logs how an attempt failed.
pub(super) fn attempt_failed(
    call: &Call,
    attempt: usize,
    target: &str,
    (end, failure): (AttemptEnd, Failure),
    after_us: u64,
) {
    log::warn!(
        "event=attempt-failed id={} attempt={attempt} target={target} end={end:?} failure={failure:?} after_ms={}",
        call.asked.id(),
        after_us / MICROS_PER_MILLI
    );
}

/// Logs the instance's own answer to a request.
pub(super) fn failed(call: &Call, now_us: u64, attempts: usize, reply: &Reply) {
    log::warn!(
        "event=request-failed id={} route={} note={} service={} code={} outcome={} reason=\"{}\" attempts={attempts} after_ms={} retry_after_ms={:?}",
        call.asked.id(),
        call.route.name,
        call.note,
        call.exchange.table().service.name,
        reply.code.number(),
        reply.outcome,
        reply.code.phrase(),
        now_us.saturating_sub(call.began_us) / MICROS_PER_MILLI,
        reply.retry_after_ms
    );
}
