//! Tests of requests in an instance that shuts down: each gets an answer before the instance exits,
//! and at once if no target can respond in time.

use std::sync::Arc;

use model::Outcome;
use model::ResultCode;
use model::configuration::Class;
use model::configuration::Repeat;
use model::configuration::Service;
use model::configuration::Target;
use policy::evidence::HealthState;
use policy::exchange::Event;
use policy::exchange::Exchange;
use policy::exchange::Reply;
use policy::exchange::Request;
use policy::exchange::Step;
use policy::instance::PermitAnswer;
use policy::quarantine::Fingerprint;
use policy::routing::Candidate;
use policy::routing::ChoiceStrategy;
use policy::routing::ServiceLoad;
use policy::routing::ServiceTable;
use policy::routing::Slot;
use policy::routing::TargetLoad;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const NOW_US: u64 = 1_000_000;
const SECOND_US: u64 = 1_000_000;
const DEADLINE_US: u64 = NOW_US + 12 * SECOND_US;
const OBJECTIVE_US: u64 = SECOND_US;
/// Far enough from the present for a request that is sent now.
const LAST_ANSWERS_US: u64 = NOW_US + 3 * SECOND_US;

/// A table of one target.
fn table() -> Arc<ServiceTable> {
    let service = Service {
        name: "gates".into(),
        class: Class::Command,
        repeat: Repeat::Never,
        time_limit_ms: 12_000,
        floor_share: 0.5,
        false_ejection_rate: 1e-6,
        missed_detection_rate: 1e-3,
        retry_share: 1.0,
        queue: 10,
        probe_path: "/health".into(),
    };
    let candidate = Candidate {
        target: Arc::new(Target {
            name: "gates-0".into(),
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
        candidates: vec![candidate],
        choice_strategy: ChoiceStrategy::FailureProbability,
        subset: None,
    })
}

struct Run {
    exchange: Exchange,
    table: Arc<ServiceTable>,
    /// The slot of the request for which a queued one waits.
    occupied: Option<Slot>,
    rng: ChaCha8Rng,
}

impl Run {
    fn new(claims_key: bool) -> Self {
        let request = Request {
            caller_deadline_us: DEADLINE_US,
            deadline_us: DEADLINE_US,
            claims_key,
            fingerprint: Fingerprint::default(),
            may_hand_over: true,
            is_handed_over: false,
            replayable: true,
            repeatable: false,
            max_attempts: policy::exchange::MAX_ATTEMPTS,
            priority: None,
            objective_us: Some(OBJECTIVE_US),
            began_us: NOW_US,
        };
        let table = table();
        Self {
            exchange: Exchange::new(request, table.clone()),
            table,
            occupied: None,
            rng: ChaCha8Rng::seed_from_u64(1),
        }
    }

    fn on(&mut self, now_us: u64, event: Event) -> Step {
        self.exchange.on(now_us, event, &mut self.rng)
    }

    /// The target is full, so that the request waits in the queue.
    fn queued() -> Self {
        let mut run = Self::new(false);
        run.occupied = run.table.candidates[0].load.take(NOW_US);
        assert_eq!(run.on(NOW_US, Event::Begin), Step::Enqueue);
        run
    }

    fn claiming() -> Self {
        let mut run = Self::new(true);
        assert_eq!(run.on(NOW_US, Event::Begin), Step::Claim);
        run
    }

    fn awaiting_permit() -> Self {
        let mut run = Self::new(false);
        run.table.candidates[0]
            .load
            .set_rate_limit(NOW_US, Some(1_000));
        let step = run.on(NOW_US, Event::Begin);
        assert!(matches!(step, Step::RequestPermit { .. }), "{step:?}");
        run
    }

    fn handing_over() -> Self {
        let mut run = Self::new(false);
        let target = run.table.candidates[0].target.name.clone();
        for _ in 0..100 {
            run.table.load.reachability.record_unreachable(&target, 1);
        }
        assert_eq!(run.on(NOW_US, Event::Begin), Step::HandOver);
        run
    }

    fn sent() -> Self {
        let mut run = Self::new(false);
        let step = run.on(NOW_US, Event::Begin);
        assert!(matches!(step, Step::Send { .. }), "{step:?}");
        run
    }
}

fn reply(step: Step) -> Reply {
    match step {
        Step::Reply(reply) => reply,
        step => panic!("expected a reply, got {step:?}"),
    }
}

/// Guards against requests that get no answer when the instance exits: whatever a request waits
/// for, the last answers end its wait, with "not run" only if no target can have run it.
#[test]
fn the_last_answers_end_every_wait() {
    let not_sent = [Run::queued(), Run::claiming(), Run::awaiting_permit()];
    for mut run in not_sent {
        run.exchange.set_last_answers_us(Some(LAST_ANSWERS_US));
        let reply = reply(run.on(LAST_ANSWERS_US, Event::LastAnswers));
        assert_eq!(reply.code, ResultCode::Draining);
        assert_eq!(reply.outcome, Outcome::NotRun);
        assert!(reply.retry_after_ms.is_some());
    }
    for mut run in [Run::sent(), Run::handing_over()] {
        run.exchange.set_last_answers_us(Some(LAST_ANSWERS_US));
        let reply = reply(run.on(LAST_ANSWERS_US, Event::LastAnswers));
        assert_eq!(reply.code, ResultCode::TargetTimeout);
        assert_eq!(reply.outcome, Outcome::Unknown);
    }
}

/// Guards against requests that wait until the exit although their targets take nothing before it.
#[test]
fn a_queued_request_is_refused_at_once_if_all_targets_are_paused_beyond_the_exit() {
    let mut run = Run::queued();
    let load = run.table.candidates[0].load.clone();
    load.pause_until(LAST_ANSWERS_US - OBJECTIVE_US / 8);
    run.exchange.set_last_answers_us(Some(LAST_ANSWERS_US));
    let reply = reply(run.on(NOW_US, Event::ShutdownBegun));
    assert_eq!(reply.code, ResultCode::Draining);
    assert_eq!(reply.outcome, Outcome::NotRun);
}

#[test]
fn a_queued_request_keeps_waiting_while_it_can_be_served_before_the_exit() {
    let mut run = Run::queued();
    run.exchange.set_last_answers_us(Some(LAST_ANSWERS_US));
    assert_eq!(run.on(NOW_US, Event::ShutdownBegun), Step::Continue);
    run.occupied = None;
    let step = run.on(NOW_US, Event::Dequeued);
    assert!(matches!(step, Step::Send { .. }), "{step:?}");
}

/// Guards against commands that are broken off at their targets because they were sent just before
/// the exit.
#[test]
fn no_request_is_sent_that_no_target_can_answer_before_the_exit() {
    let now_us = LAST_ANSWERS_US - OBJECTIVE_US / 8;
    let mut dequeued = Run::queued();
    dequeued.occupied = None;
    let mut begun = Run::new(false);
    for (run, event) in [(&mut dequeued, Event::Dequeued), (&mut begun, Event::Begin)] {
        run.exchange.set_last_answers_us(Some(LAST_ANSWERS_US));
        let reply = reply(run.on(now_us, event));
        assert_eq!(reply.code, ResultCode::Draining);
        assert_eq!(reply.outcome, Outcome::NotRun);
    }
}

#[test]
fn an_attempt_in_flight_continues_when_a_shutdown_begins() {
    let mut run = Run::sent();
    run.exchange.set_last_answers_us(Some(LAST_ANSWERS_US));
    assert_eq!(run.on(NOW_US, Event::ShutdownBegun), Step::Continue);
    let head = Event::Head {
        attempt: 0,
        status: 200,
    };
    assert_eq!(run.on(NOW_US, head), Step::Forward { attempt: 0 });
}

/// Guards against requests in the queue of an instance whose targets are paused: none of them is
/// woken, as no target has room.
#[test]
fn all_waiting_requests_are_decided_once_no_target_can_respond_before_the_exit() {
    let table = table();
    table.candidates[0].load.pause_until(LAST_ANSWERS_US + 1);
    assert_eq!(table.decidable(NOW_US, 9, None), 0);
    assert_eq!(table.decidable(NOW_US, 9, Some(LAST_ANSWERS_US)), 9);
}

#[test]
fn a_permit_that_comes_after_the_last_answers_is_not_used() {
    let mut run = Run::awaiting_permit();
    run.exchange.set_last_answers_us(Some(LAST_ANSWERS_US));
    let answer = run.on(LAST_ANSWERS_US, Event::LastAnswers);
    assert!(matches!(answer, Step::Reply(_)));
    let late = Event::Permit(PermitAnswer::Permitted { in_flight: 0 });
    let step = run.on(LAST_ANSWERS_US, late);
    assert_eq!(step, Step::Finish(Outcome::NotRun));
}
