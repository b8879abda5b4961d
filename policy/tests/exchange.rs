//! Tests of the state machine of a request: what it sends and which outcomes it reports.

use std::sync::Arc;

use model::Outcome;
use model::ResultCode;
use model::configuration::Class;
use model::configuration::Repeat;
use model::configuration::Service;
use model::configuration::Target;
use policy::command::ClaimAnswer;
use policy::command::ClaimState;
use policy::evidence::HealthState;
use policy::exchange::Event;
use policy::exchange::Exchange;
use policy::exchange::Failure;
use policy::exchange::HandOver;
use policy::exchange::HandOverStep;
use policy::exchange::HelperOutcome;
use policy::exchange::Reply;
use policy::exchange::Request;
use policy::exchange::Step;
use policy::instance::PermitAnswer;
use policy::quarantine::Fingerprint;
use policy::routing::Candidate;
use policy::routing::ChoiceStrategy;
use policy::routing::Reachability;
use policy::routing::ServiceLoad;
use policy::routing::ServiceTable;
use policy::routing::TargetLoad;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const NOW_US: u64 = 1_000_000;
const DEADLINE_US: u64 = 6_000_000;

fn table(repeat: Repeat, targets: usize) -> Arc<ServiceTable> {
    let service = Service {
        name: "gates".into(),
        class: Class::Command,
        repeat,
        time_limit_ms: 5_000,
        floor_share: 0.5,
        false_ejection_rate: 1e-6,
        missed_detection_rate: 1e-3,
        retry_share: 1.0,
        queue: 10,
        probe_path: "/health".into(),
    };
    let candidate = |number: usize| Candidate {
        target: Arc::new(Target {
            name: format!("gates-{number}").into(),
            service: "gates".into(),
            data_centre: "devin".into(),
            address: ([127, 0, 0, 1], 80).into(),
            slots: 1,
            connections: 10,
            refusal_is_not_run: true,
            leaving: false,
            incarnation: 0,
        }),
        load: Arc::new(TargetLoad::new(1)),
        health: HealthState::Healthy,
        round_trip_us: 0,
        is_local: true,
    };
    Arc::new(ServiceTable {
        service: Arc::new(service),
        load: Arc::new(ServiceLoad::new(1.0, Arc::default())),
        candidates: (0..targets).map(candidate).collect(),
        choice_strategy: ChoiceStrategy::HealthState,
        subset: None,
    })
}

struct Run {
    exchange: Exchange,
    rng: ChaCha8Rng,
}

impl Run {
    fn new(repeat: Repeat, claims_key: bool) -> Self {
        Self::with_peers(repeat, claims_key, false)
    }

    fn with_peers(repeat: Repeat, claims_key: bool, may_hand_over: bool) -> Self {
        Self::with_origin(repeat, claims_key, (may_hand_over, false))
    }

    fn with_origin(
        repeat: Repeat,
        claims_key: bool,
        (may_hand_over, is_handed_over): (bool, bool),
    ) -> Self {
        let request = Request {
            caller_deadline_us: DEADLINE_US,
            deadline_us: DEADLINE_US,
            claims_key,
            fingerprint: Fingerprint::default(),
            may_hand_over,
            is_handed_over,
            replayable: true,
            repeatable: repeat == Repeat::Idempotent,
            max_attempts: policy::exchange::MAX_ATTEMPTS,
            priority: None,
            objective_us: None,
            began_us: NOW_US,
        };
        Self {
            exchange: Exchange::new(request, table(repeat, 3)),
            rng: ChaCha8Rng::seed_from_u64(1),
        }
    }

    fn on(&mut self, event: Event) -> Step {
        self.exchange.on(NOW_US, event, &mut self.rng)
    }

    fn fail(&mut self, attempt: usize, failure: Failure) -> Step {
        self.on(Event::Failed { attempt, failure })
    }
}

fn is_reply(step: Step, code: ResultCode, outcome: Outcome) -> bool {
    matches!(step, Step::Reply(Reply { code: c, outcome: o, .. }) if c == code && o == outcome)
}

#[test]
fn a_command_that_may_have_run_is_never_retried() {
    let mut run = Run::new(Repeat::Never, false);
    assert!(matches!(
        run.on(Event::Begin),
        Step::Send { attempt: 0, .. }
    ));
    let step = run.fail(0, Failure::Cut);
    assert!(
        is_reply(step, ResultCode::TargetTruncated, Outcome::Unknown),
        "{step:?}"
    );
}

#[test]
fn a_command_that_was_not_sent_or_refused_goes_to_another_target() {
    let mut run = Run::new(Repeat::Never, false);
    run.on(Event::Begin);
    assert!(matches!(
        run.fail(0, Failure::NotSent),
        Step::Send { attempt: 1, .. }
    ));
    let step = run.on(Event::Head {
        attempt: 1,
        status: 503,
    });
    assert!(matches!(step, Step::Send { attempt: 2, .. }), "{step:?}");
    let step = run.fail(2, Failure::NotSent);
    assert!(
        is_reply(step, ResultCode::ConnectFailed, Outcome::NotRun),
        "{step:?}"
    );
}

#[test]
fn a_request_that_may_have_run_is_not_reported_as_not_run() {
    let mut run = Run::new(Repeat::Idempotent, false);
    run.on(Event::Begin);
    run.fail(0, Failure::Cut);
    run.fail(1, Failure::NotSent);
    let step = run.fail(2, Failure::NotSent);
    assert!(
        is_reply(step, ResultCode::ConnectFailed, Outcome::Unknown),
        "{step:?}"
    );
}

#[test]
fn a_deadline_with_an_attempt_in_flight_leaves_the_outcome_unknown() {
    let mut run = Run::new(Repeat::Never, false);
    run.on(Event::Begin);
    let step = run.on(Event::Deadline);
    assert!(
        is_reply(step, ResultCode::TargetTimeout, Outcome::Unknown),
        "{step:?}"
    );
}

#[test]
fn nothing_is_sent_before_the_key_is_claimed() {
    let mut run = Run::new(Repeat::Never, true);
    assert_eq!(run.on(Event::Begin), Step::Claim);
    let step = run.on(Event::Claimed(ClaimAnswer::Unavailable));
    assert!(
        is_reply(step, ResultCode::ClaimUnavailable, Outcome::NotRun),
        "{step:?}"
    );
    for (state, code) in [
        (ClaimState::Begun, ResultCode::AlreadyBegun),
        (ClaimState::Ran, ResultCode::AlreadyRan),
        (ClaimState::Unknown, ResultCode::EarlierOutcomeUnknown),
    ] {
        let mut run = Run::new(Repeat::Never, true);
        run.on(Event::Begin);
        let step = run.on(Event::Claimed(ClaimAnswer::Held(state)));
        assert!(is_reply(step, code, code.outcome()), "{step:?}");
    }
}

#[test]
fn responses_after_the_first_one_are_not_forwarded() {
    let mut run = Run::new(Repeat::Idempotent, false);
    run.on(Event::Begin);
    assert!(matches!(
        run.on(Event::HedgeDue),
        Step::Send { attempt: 1, .. }
    ));
    let step = run.on(Event::Head {
        attempt: 1,
        status: 200,
    });
    assert_eq!(step, Step::Forward { attempt: 1 });
    assert_eq!(
        run.on(Event::Head {
            attempt: 0,
            status: 200
        }),
        Step::Continue
    );
    assert_eq!(run.on(Event::Ended), Step::Finish(Outcome::Ran));
    assert_eq!(
        run.on(Event::Head {
            attempt: 0,
            status: 200
        }),
        Step::Finish(Outcome::Ran)
    );
}

#[test]
fn a_truncated_response_aborts_the_connection_and_its_outcome_is_unknown() {
    let mut run = Run::new(Repeat::Never, false);
    run.on(Event::Begin);
    run.on(Event::Head {
        attempt: 0,
        status: 200,
    });
    assert_eq!(run.on(Event::Cut), Step::AbortConnection);
    assert_eq!(run.exchange.outcome(), Outcome::Unknown);
}

#[test]
fn a_request_that_is_given_up_reports_when_to_retry() {
    let mut run = Run::new(Repeat::Never, false);
    run.on(Event::Begin);
    let Step::Reply(reply) = run.fail(0, Failure::Malformed) else {
        panic!("expected a reply");
    };
    assert!(reply.retry_after_ms.is_some());
}

const DENIED: PermitAnswer = PermitAnswer::Denied {
    in_flight: 9,
    wait_ms: 0,
};

fn overloaded_run(repeat: Repeat) -> Run {
    let run = Run::new(repeat, false);
    run.exchange
        .table()
        .load
        .overload
        .update(true, 0.0, 500_000);
    run
}

#[test]
fn a_permit_granted_at_the_deadline_sends_nothing() {
    let mut run = overloaded_run(Repeat::Idempotent);
    assert!(matches!(run.on(Event::Begin), Step::RequestPermit { .. }));
    let permitted = Event::Permit(PermitAnswer::Permitted { in_flight: 0 });
    let step = run.exchange.on(DEADLINE_US, permitted, &mut run.rng);
    assert!(is_reply(step, ResultCode::DeadlineTooNear, Outcome::NotRun));
}

#[test]
fn a_command_denied_by_all_targets_is_refused_at_once_as_not_run() {
    let mut run = overloaded_run(Repeat::Never);
    let mut requested = Vec::new();
    let mut step = run.on(Event::Begin);
    while let Step::RequestPermit { candidate } = step {
        requested.push(candidate);
        step = run.on(Event::Permit(DENIED));
    }
    requested.sort_unstable();
    assert_eq!(requested, [0, 1, 2]);
    assert!(is_reply(step, ResultCode::Overloaded, Outcome::NotRun));
}

#[test]
fn nothing_is_sent_without_a_permit_while_the_targets_finish_nothing() {
    let mut run = overloaded_run(Repeat::Never);
    let mut step = run.on(Event::Begin);
    while let Step::RequestPermit { .. } = step {
        step = run.on(Event::Permit(PermitAnswer::Unknown));
    }
    assert!(is_reply(step, ResultCode::Overloaded, Outcome::NotRun));
}

#[test]
fn a_request_denied_by_one_target_is_not_sent_to_another_without_a_permit() {
    for _ in 0..64 {
        let mut run = overloaded_run(Repeat::Idempotent);
        let overload = &run.exchange.table().load.overload;
        overload.update(true, 1.0, 500_000);
        run.on(Event::Begin);
        let mut step = run.on(Event::Permit(DENIED));
        while let Step::RequestPermit { .. } = step {
            step = run.on(Event::Permit(PermitAnswer::Unknown));
        }
        assert!(is_reply(step, ResultCode::Overloaded, Outcome::NotRun));
    }
}

/// A request whose targets have all named a rate limit.
fn limited_run(repeat: Repeat) -> Run {
    let run = Run::new(repeat, false);
    for candidate in &run.exchange.table().candidates {
        candidate.load.set_rate_limit(NOW_US, Some(1_000));
    }
    run
}

#[test]
fn nothing_is_sent_to_a_target_with_a_limit_without_the_word_of_its_owner() {
    for repeat in [Repeat::Idempotent, Repeat::Never] {
        let mut run = limited_run(repeat);
        let mut step = run.on(Event::Begin);
        while let Step::RequestPermit { .. } = step {
            step = run.on(Event::Permit(PermitAnswer::Unknown));
        }
        assert!(is_reply(step, ResultCode::Overloaded, Outcome::NotRun));
    }
}

#[test]
fn a_permit_for_a_target_with_a_limit_lapses_while_the_process_is_suspended() {
    let mut run = limited_run(Repeat::Idempotent);
    assert!(matches!(run.on(Event::Begin), Step::RequestPermit { .. }));
    let permitted = Event::Permit(PermitAnswer::Permitted { in_flight: 0 });
    let step = run.exchange.on(NOW_US + 2_000_000, permitted, &mut run.rng);
    assert!(matches!(step, Step::RequestPermit { .. }), "{step:?}");
}

#[test]
fn a_request_is_refused_at_once_while_all_targets_are_paused() {
    let mut run = limited_run(Repeat::Never);
    for candidate in &run.exchange.table().candidates {
        candidate.load.deny_until(NOW_US + 1_000_000);
    }
    let step = run.on(Event::Begin);
    let Step::Reply(reply) = step else {
        panic!("expected a refusal, got {step:?}");
    };
    assert_eq!(reply.outcome, Outcome::NotRun);
    let retry_after_ms = reply.retry_after_ms.expect("a time to come back");
    assert!(retry_after_ms >= 1_000, "{retry_after_ms} ms");
}

/// A request of an instance that knows others, after no connection to a target could be opened.
fn run_without_links(repeat: Repeat) -> (Run, Step) {
    let mut run = Run::with_peers(repeat, false, true);
    let mut step = run.on(Event::Begin);
    while let Step::Send { attempt, .. } = step {
        step = run.on(Event::Failed {
            attempt,
            failure: Failure::NotSent,
        });
    }
    (run, step)
}

#[test]
fn a_request_is_not_refused_when_only_this_instance_reaches_no_target() {
    let (mut run, step) = run_without_links(Repeat::Never);
    assert!(!matches!(step, Step::Reply(_)), "{step:?}");
    assert_eq!(step, Step::HandOver);
    assert_eq!(run.on(Event::HandedOver), Step::Finish(Outcome::Ran));
}

#[test]
fn a_request_that_no_other_instance_takes_is_refused_as_not_run_and_not_handed_over_again() {
    let (mut run, _) = run_without_links(Repeat::Never);
    let step = run.on(Event::HandOverRefused);
    assert!(is_reply(step, ResultCode::ConnectFailed, Outcome::NotRun));
}

#[test]
fn a_request_that_another_instance_may_have_taken_is_not_reported_as_not_run() {
    let lost = [
        (Event::HandOverLost, ResultCode::TargetTruncated),
        (Event::Deadline, ResultCode::TargetTimeout),
    ];
    for (event, code) in lost {
        let (mut run, _) = run_without_links(Repeat::Never);
        assert!(is_reply(run.on(event), code, Outcome::Unknown), "{event:?}");
    }
    let (mut run, _) = run_without_links(Repeat::Never);
    run.on(Event::CallerDisconnected);
    assert_eq!(run.exchange.outcome(), Outcome::Unknown);
}

#[test]
fn a_request_is_handed_over_at_once_while_the_service_is_unreachable() {
    let mut run = Run::with_peers(Repeat::Never, false, true);
    let reachability = &run.exchange.table().clone().load.reachability;
    for target in ["t0", "t1", "t2"] {
        reachability.record_unreachable(&target.into(), 3);
    }
    assert_eq!(run.on(Event::Begin), Step::HandOver);
}

#[test]
fn a_request_handed_over_to_an_instance_that_reaches_no_target_is_refused_at_once() {
    let mut run = Run::with_origin(Repeat::Never, false, (false, true));
    let reachability = &run.exchange.table().clone().load.reachability;
    for target in ["t0", "t1", "t2"] {
        reachability.record_unreachable(&target.into(), 3);
    }
    let step = run.on(Event::Begin);
    assert!(is_reply(step, ResultCode::ConnectFailed, Outcome::NotRun));
}

#[test]
fn a_command_that_may_have_run_is_not_handed_over() {
    let mut run = Run::with_peers(Repeat::Never, false, true);
    let Step::Send { attempt, .. } = run.on(Event::Begin) else {
        panic!("not sent");
    };
    let step = run.fail(attempt, Failure::Cut);
    assert!(is_reply(
        step,
        ResultCode::TargetTruncated,
        Outcome::Unknown
    ));
}

#[test]
fn a_service_is_unreachable_after_several_targets_and_until_one_is_reached() {
    let reachability = Reachability::default();
    for _ in 0..5 {
        assert!(!reachability.record_unreachable(&"t1".into(), 10));
    }
    assert!(!reachability.record_unreachable(&"t2".into(), 10));
    assert!(reachability.record_unreachable(&"t3".into(), 10));
    assert!(reachability.is_lost());
    assert!(reachability.take_probe(NOW_US));
    assert!(!reachability.take_probe(NOW_US + 1));
    assert!(reachability.record_reached());
    assert!(!reachability.is_lost());
    assert!(!reachability.record_unreachable(&"t1".into(), 10));
}

#[test]
fn no_refusal_is_passed_on_after_an_instance_may_have_taken_the_request() {
    let refusals = [
        HelperOutcome::Refused,
        HelperOutcome::ReachesNoTarget,
        HelperOutcome::NotSent,
    ];
    for refusal in refusals {
        let mut hand_over = HandOver::new(true);
        let step = hand_over.record(HelperOutcome::Unknown, true);
        assert_eq!(step, HandOverStep::AskNext);
        let step = hand_over.record(refusal, false);
        assert_eq!(step, HandOverStep::End(Event::HandOverLost), "{refusal:?}");
    }
    let mut hand_over = HandOver::new(true);
    hand_over.record(HelperOutcome::Unknown, true);
    let step = hand_over.record(HelperOutcome::Answered, false);
    assert_eq!(step, HandOverStep::Forward);
}

#[test]
fn a_command_that_an_instance_may_have_taken_goes_to_no_other() {
    let mut hand_over = HandOver::new(false);
    let step = hand_over.record(HelperOutcome::Unknown, true);
    assert_eq!(step, HandOverStep::End(Event::HandOverLost));
}

#[test]
fn a_request_goes_on_to_an_instance_that_reaches_targets() {
    let mut hand_over = HandOver::new(false);
    for outcome in [HelperOutcome::NotSent, HelperOutcome::ReachesNoTarget] {
        assert_eq!(hand_over.record(outcome, true), HandOverStep::AskNext);
    }
    let step = hand_over.record(HelperOutcome::Refused, true);
    assert_eq!(step, HandOverStep::Forward);
    let step = HandOver::new(false).record(HelperOutcome::NotSent, false);
    assert_eq!(step, HandOverStep::End(Event::HandOverRefused));
}

#[test]
fn a_permit_for_a_target_that_now_leaves_sends_the_request_to_another() {
    let mut run = overloaded_run(Repeat::Never);
    let Step::RequestPermit { candidate } = run.on(Event::Begin) else {
        panic!("expected a permit request");
    };
    let load = run.exchange.table().candidates[candidate].load.clone();
    load.record_departure(NOW_US);
    let permitted = Event::Permit(PermitAnswer::Permitted { in_flight: 0 });
    let Step::RequestPermit { candidate: other } = run.on(permitted) else {
        panic!("expected another permit request");
    };
    assert_ne!(other, candidate);
}

#[test]
fn a_hedge_and_a_retry_avoid_targets_that_leave() {
    for event in [
        Event::HedgeDue,
        Event::Failed {
            attempt: 0,
            failure: Failure::Cut,
        },
    ] {
        let mut run = Run::new(Repeat::Idempotent, false);
        let Step::Send {
            candidate: first, ..
        } = run.on(Event::Begin)
        else {
            panic!("expected an attempt");
        };
        let table = run.exchange.table().clone();
        let others: Vec<usize> = (0..3).filter(|index| *index != first).collect();
        table.candidates[others[0]].load.record_departure(NOW_US);
        let step = run.on(event);
        let Step::Send { candidate, .. } = step else {
            panic!("expected an attempt, got {step:?}");
        };
        assert_eq!(candidate, others[1]);
    }
}

#[test]
fn a_request_whose_targets_have_all_left_is_refused_at_once_as_not_run() {
    let mut run = Run::new(Repeat::Never, false);
    for candidate in &run.exchange.table().candidates {
        candidate.load.record_departure(0);
    }
    let left_us = 2 * NOW_US;
    let step = run.exchange.on(left_us, Event::Begin, &mut run.rng);
    assert!(
        is_reply(step, ResultCode::NoTarget, Outcome::NotRun),
        "{step:?}"
    );
}

#[test]
fn a_request_that_waited_while_all_targets_were_replaced_is_sent_to_a_new_one() {
    let mut run = Run::new(Repeat::Never, false);
    let former = run.exchange.table().clone();
    let slots: Vec<_> = former
        .candidates
        .iter()
        .map(|candidate| candidate.load.take(NOW_US))
        .collect();
    assert_eq!(run.on(Event::Begin), Step::Enqueue);
    for candidate in &former.candidates {
        candidate.load.close();
    }
    drop(slots);
    run.exchange.refresh_table(table(Repeat::Never, 1));
    let step = run.on(Event::Dequeued);
    assert!(matches!(step, Step::Send { .. }), "{step:?}");
}
