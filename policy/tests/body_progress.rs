//! Tests of when a response that is being forwarded is broken off.

use policy::exchange::BodyLimits;
use policy::exchange::BodyProgress;
use policy::exchange::BodyStep;
use policy::exchange::BreakOffReason;

const MILLI_US: u64 = 1_000;
const SECOND_US: u64 = 1_000_000;
const BEGAN_US: u64 = 7 * SECOND_US;
const ROUTE_DEADLINE_US: u64 = BEGAN_US + 3 * SECOND_US;
const CALLER_DEADLINE_US: u64 = BEGAN_US + 6 * SECOND_US;
const CHUNK_BYTES: usize = 1_000;

const ON_LIMITED_ROUTE: BodyLimits = BodyLimits {
    route_deadline_us: Some(ROUTE_DEADLINE_US),
    caller_deadline_us: Some(CALLER_DEADLINE_US),
};
const ON_UNLIMITED_ROUTE: BodyLimits = BodyLimits {
    route_deadline_us: None,
    caller_deadline_us: Some(CALLER_DEADLINE_US),
};

/// Forwards a chunk each `period_us` to a caller that reads at once, and returns when and why it is
/// broken off; `None` if it is not within two minutes.
fn forward(mut progress: BodyProgress, period_us: u64) -> Option<(u64, BreakOffReason)> {
    let mut next_chunk_us = BEGAN_US;
    let mut now_us = BEGAN_US;
    while now_us < BEGAN_US + 120 * SECOND_US {
        let next_check_us = match progress.check(now_us) {
            BodyStep::BreakOff(reason) => return Some((now_us, reason)),
            BodyStep::CheckAt(at_us) => at_us,
        };
        assert!(next_check_us > now_us, "a check that is due at once");
        now_us = next_check_us.min(next_chunk_us);
        if now_us == next_chunk_us {
            progress.receive(now_us, CHUNK_BYTES);
            progress.wait_for_target(now_us);
            next_chunk_us += period_us;
        }
    }
    None
}

/// Guards against responses whose bodies never end: the route's timeout ends them.
#[test]
fn a_body_without_a_length_ends_at_the_time_limit_of_its_route() {
    let progress = BodyProgress::new(BEGAN_US, ON_LIMITED_ROUTE, None);
    let end = forward(progress, 20 * MILLI_US);
    assert_eq!(end, Some((ROUTE_DEADLINE_US, BreakOffReason::TimeLimit)));
}

#[test]
fn a_body_that_is_nearly_whole_is_forwarded_a_little_longer() {
    // 10 ms a chunk: at the time limit 20 chunks are left, 200 ms.
    let length = 320 * CHUNK_BYTES as u64;
    let mut progress = BodyProgress::new(BEGAN_US, ON_LIMITED_ROUTE, Some(length));
    progress.receive(ROUTE_DEADLINE_US - 1, 300 * CHUNK_BYTES);
    progress.wait_for_target(ROUTE_DEADLINE_US);
    assert!(matches!(
        progress.check(ROUTE_DEADLINE_US),
        BodyStep::CheckAt(_)
    ));
    let late_us = ROUTE_DEADLINE_US + 400 * MILLI_US;
    let step = progress.check(late_us);
    assert_eq!(step, BodyStep::BreakOff(BreakOffReason::TimeLimit));
}

#[test]
fn a_body_far_from_its_end_ends_at_the_time_limit() {
    let length = 100_000 * CHUNK_BYTES as u64;
    let progress = BodyProgress::new(BEGAN_US, ON_LIMITED_ROUTE, Some(length));
    let end = forward(progress, 20 * MILLI_US);
    assert_eq!(end, Some((ROUTE_DEADLINE_US, BreakOffReason::TimeLimit)));
}

/// Guards against downloads that are cut though they make progress.
#[test]
fn a_body_with_a_length_on_a_route_without_a_time_limit_is_not_broken_off() {
    let length = 100_000 * CHUNK_BYTES as u64;
    let progress = BodyProgress::new(BEGAN_US, ON_UNLIMITED_ROUTE, Some(length));
    assert_eq!(forward(progress, 20 * MILLI_US), None);
}

#[test]
fn a_body_without_a_length_on_a_route_without_a_time_limit_ends_at_the_callers() {
    let progress = BodyProgress::new(BEGAN_US, ON_UNLIMITED_ROUTE, None);
    let end = forward(progress, 20 * MILLI_US);
    assert_eq!(end, Some((CALLER_DEADLINE_US, BreakOffReason::TimeLimit)));
}

#[test]
fn a_silent_target_ends_a_body_without_any_time_limit() {
    let progress = BodyProgress::new(BEGAN_US, BodyLimits::default(), None);
    let end = forward(progress, 1_000 * SECOND_US);
    let stalled_us = BEGAN_US + 60 * SECOND_US;
    assert_eq!(end, Some((stalled_us, BreakOffReason::TargetSilent)));
}

/// Guards against evidence against a target whose caller does not read.
#[test]
fn a_caller_that_does_not_read_is_the_reason_of_the_end() {
    for limits in [ON_LIMITED_ROUTE, ON_UNLIMITED_ROUTE] {
        let length = Some(100_000 * CHUNK_BYTES as u64);
        let mut progress = BodyProgress::new(BEGAN_US, limits, length);
        progress.receive(BEGAN_US + 1, CHUNK_BYTES);
        let step = progress.check(BEGAN_US + 61 * SECOND_US);
        assert_eq!(step, BodyStep::BreakOff(BreakOffReason::CallerSlow));
    }
    let mut progress = BodyProgress::new(BEGAN_US, ON_LIMITED_ROUTE, None);
    progress.receive(BEGAN_US + 1, CHUNK_BYTES);
    let step = progress.check(ROUTE_DEADLINE_US);
    assert_eq!(step, BodyStep::BreakOff(BreakOffReason::CallerSlow));
}

/// The limit holds after a time in which nothing ran.
#[test]
fn a_machine_that_was_suspended_beyond_the_limit_breaks_off_at_its_first_check() {
    let progress = BodyProgress::new(BEGAN_US, ON_LIMITED_ROUTE, None);
    let step = progress.check(BEGAN_US + 30 * SECOND_US);
    assert_eq!(step, BodyStep::BreakOff(BreakOffReason::TimeLimit));
}

#[test]
fn a_whole_response_is_delivered_late() {
    let mut progress = BodyProgress::new(BEGAN_US, ON_LIMITED_ROUTE, Some(10));
    progress.receive(ROUTE_DEADLINE_US - 1, 10);
    progress.finish(ROUTE_DEADLINE_US - 1);
    let step = progress.check(ROUTE_DEADLINE_US + SECOND_US);
    assert!(matches!(step, BodyStep::CheckAt(_)), "{step:?}");
}
