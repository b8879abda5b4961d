//! Log lines of a request, with the values that determined each step.

use std::sync::atomic::Ordering;

use policy::exchange::AttemptEnd;
use policy::exchange::Failure;
use policy::exchange::Reply;
use policy::instance::PermitAnswer;

use super::admitted_request::AdmittedRequest;

const MICROS_PER_MILLI: u64 = 1_000;

/// Logs the target of an attempt and the values by which it was chosen.
pub(super) fn log_sent_attempt(
    request: &AdmittedRequest,
    now_us: u64,
    attempt: usize,
    candidate: usize,
    left_ms: u64,
) {
    let table = request.exchange.table();
    let chosen = &table.candidates[candidate];
    log::info!(
        "event=request-sent id={} route={} note={} service={} attempt={attempt} target={} doubt_milli={} in_flight={} needed_slots={} left_ms={left_ms} leaving_ms={:?}",
        request.request_params.id(),
        request.route.name,
        request.note,
        table.service.name,
        chosen.target.name,
        (chosen.load.failure_probability(now_us) * 1e3) as u32,
        chosen.load.in_flight(),
        table.load.needed_slots.load(Ordering::Relaxed),
        chosen
            .load
            .leaving_for_us(now_us)
            .map(|time_us| time_us / MICROS_PER_MILLI),
    );
}

/// Logs the owner's answer to a permit request for a target of an overloaded service.
pub(super) fn log_permit_answer(
    request: &AdmittedRequest,
    target: &str,
    answer: PermitAnswer,
    after_us: u64,
) {
    let (answer, in_flight, wait_ms) = match answer {
        PermitAnswer::Permitted { in_flight } => ("permitted", Some(in_flight), 0),
        PermitAnswer::Denied { in_flight, wait_ms } => ("denied", Some(in_flight), wait_ms),
        PermitAnswer::Unknown => ("unknown", None, 0),
    };
    let overload = &request.exchange.table().load.overload;
    log::info!(
        "event=permit-asked id={} target={target} answer={answer} in_flight={in_flight:?} work_ms={} wait_ms={wait_ms} priority={:?} after_ms={}",
        request.request_params.id(),
        overload.work_us() / MICROS_PER_MILLI,
        request.exchange.priority(),
        after_us / MICROS_PER_MILLI
    );
}

/// Logs a failed attempt.
pub(super) fn log_failed_attempt(
    request: &AdmittedRequest,
    attempt: usize,
    target: &str,
    (end, failure): (AttemptEnd, Failure),
    after_us: u64,
) {
    log::warn!(
        "event=attempt-failed id={} request={} caller={} attempt={attempt} target={target} end={end:?} failure={failure:?} after_ms={}",
        request.request_params.id(),
        request.exchange.fingerprint(),
        request.customer,
        after_us / MICROS_PER_MILLI
    );
}

/// Logs a request that ends without a target's response, and the reply of the instance.
pub(super) fn log_failed_request(
    request: &AdmittedRequest,
    now_us: u64,
    attempts: usize,
    reply: &Reply,
) {
    log::warn!(
        "event=request-failed id={} request={} route={} note={} service={} code={} outcome={} reason=\"{}\" attempts={attempts} after_ms={} retry_after_ms={:?} retry_denied={:?} priority={:?}",
        request.request_params.id(),
        request.exchange.fingerprint(),
        request.route.name,
        request.note,
        request.exchange.table().service.name,
        reply.code.number(),
        reply.outcome,
        reply.code.phrase(),
        now_us.saturating_sub(request.began_us) / MICROS_PER_MILLI,
        reply.retry_after_ms,
        request.exchange.retry_denial(),
        request.exchange.priority()
    );
}
