//! When a waiting request is sent to another target, and when it may use a borrowed retry.

use std::sync::Arc;

use model::ResultCode;
use model::configuration::Target;
use policy::evidence::HealthState;
use policy::evidence::LatencyProfile;
use policy::evidence::Signal;
use policy::exchange::Event;
use policy::exchange::Exchange;
use policy::exchange::Failure;
use policy::exchange::RETRY_LOAN_TIMEOUT_US;
use policy::exchange::Reply;
use policy::exchange::Request;
use policy::exchange::RetryDenial;
use policy::exchange::Step;
use policy::exchange::WaitingAttempt;
use policy::exchange::is_hedge_due;
use policy::limits::RetryBudget;
use policy::quarantine::Fingerprint;
use policy::routing::Candidate;
use policy::routing::ChoiceStrategy;
use policy::routing::ServiceLoad;
use policy::routing::ServiceTable;
use policy::routing::TargetLoad;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use support::service;

mod support;

const MS_US: u64 = 1_000;
const BEGAN_US: u64 = 10_000 * MS_US;
const PROFILE: LatencyProfile = LatencyProfile {
    median_us: 400 * MS_US,
    spread_milli: 300,
};

struct Run {
    exchange: Exchange,
    table: Arc<ServiceTable>,
    rng: ChaCha8Rng,
}

impl Run {
    fn new(repeatable: bool, retries: f64) -> Self {
        let candidate = |number: usize| Candidate {
            target: Arc::new(Target {
                name: format!("t{number}").into(),
                service: "gates".into(),
                data_centre: "devin".into(),
                address: ([127, 0, 0, 1], 80).into(),
                slots: 4,
                connections: 10,
                refusal_is_not_run: false,
                leaving: false,
                incarnation: 0,
            }),
            load: Arc::new(TargetLoad::new(4)),
            health: HealthState::Healthy,
            round_trip_us: 0,
            is_local: true,
        };
        let budget = RetryBudget::new(1.0);
        while budget.left() > retries {
            assert!(budget.take());
        }
        budget.set_share(0.0);
        let load = ServiceLoad::with_retries(budget, Arc::default());
        load.set_latency_profile(PROFILE);
        let table = Arc::new(ServiceTable {
            service: Arc::new(service("gates")),
            load: Arc::new(load),
            candidates: (0..4).map(candidate).collect(),
            choice_strategy: ChoiceStrategy::FailureProbability,
            subset: None,
        });
        let request = Request {
            deadline_us: BEGAN_US + 3_000 * MS_US,
            caller_deadline_us: BEGAN_US + 3_000 * MS_US,
            fingerprint: Fingerprint::default(),
            may_hand_over: false,
            is_handed_over: false,
            claims_key: false,
            replayable: true,
            repeatable,
            max_attempts: 2,
            priority: None,
            objective_us: Some(1_200 * MS_US),
            began_us: BEGAN_US,
        };
        let mut run = Self {
            exchange: Exchange::new(request, table.clone()),
            table,
            rng: ChaCha8Rng::seed_from_u64(1),
        };
        run.at(0, Event::Begin);
        run
    }

    fn at(&mut self, after_ms: u64, event: Event) -> Step {
        let now_us = BEGAN_US + after_ms * MS_US;
        self.exchange.on(now_us, event, &mut self.rng)
    }

    /// Time of the first hedge, in milliseconds, if it is checked every 10 ms.
    fn first_hedge_ms(&mut self) -> Option<u64> {
        (0..300)
            .map(|step| step * 10)
            .find(|at_ms| self.at(*at_ms, Event::HedgeDue) != Step::Continue)
    }
}

#[test]
fn a_read_is_hedged_when_its_response_is_overdue_and_a_hedge_would_still_be_in_time() {
    let hedge_ms = Run::new(true, 5.0).first_hedge_ms();
    let hedge_ms = hedge_ms.expect("the attempt is probably lost");
    // The median is 400 ms, the objective 1,200 ms.
    assert!((500..800).contains(&hedge_ms), "{hedge_ms} ms");
}

#[test]
fn a_read_is_hedged_sooner_once_its_target_is_suspect() {
    let mut run = Run::new(true, 5.0);
    for candidate in &run.table.candidates {
        candidate.load.record_signal(BEGAN_US, Signal::Reset);
    }
    let hedge_ms = run.first_hedge_ms().expect("the target is suspect");
    assert!(hedge_ms < 400, "{hedge_ms} ms");
}

#[test]
fn a_command_is_never_hedged() {
    assert_eq!(Run::new(false, 5.0).first_hedge_ms(), None);
}

#[test]
fn a_hedge_without_budget_borrows_a_retry() {
    let mut run = Run::new(true, 0.0);
    let asked_ms = run.first_hedge_ms().expect("a retry is borrowed");
    let lent = Event::RetryAnswered { is_lent: true };
    let step = run.at(asked_ms + 20, lent);
    assert!(matches!(step, Step::Send { attempt: 1, .. }), "{step:?}");
}

#[test]
fn a_retry_that_was_lent_long_ago_is_not_used() {
    let mut run = Run::new(true, 0.0);
    let asked_ms = run.first_hedge_ms().expect("a retry is borrowed");
    let late_ms = asked_ms + RETRY_LOAN_TIMEOUT_US / MS_US + 1;
    let lent = Event::RetryAnswered { is_lent: true };
    assert_eq!(run.at(late_ms, lent), Step::Continue);
    assert_eq!(run.exchange.retry_denial(), Some(RetryDenial::NoBudget));
}

#[test]
fn a_failed_read_waits_for_a_borrowed_retry_and_ends_without_one() {
    let failed = Event::Failed {
        attempt: 0,
        failure: Failure::Cut,
    };
    let mut run = Run::new(true, 0.0);
    assert_eq!(run.at(10, failed), Step::BorrowRetry);
    let lent = Event::RetryAnswered { is_lent: true };
    assert!(matches!(run.at(20, lent), Step::Send { attempt: 1, .. }));

    let mut run = Run::new(true, 0.0);
    assert_eq!(run.at(10, failed), Step::BorrowRetry);
    let denied = Event::RetryAnswered { is_lent: false };
    let step = run.at(20, denied);
    let Step::Reply(Reply { code, .. }) = step else {
        panic!("{step:?}");
    };
    assert_eq!(code, ResultCode::TargetTruncated);
}

#[test]
fn a_failed_command_that_may_have_run_borrows_nothing() {
    let failed = Event::Failed {
        attempt: 0,
        failure: Failure::Cut,
    };
    let step = Run::new(false, 0.0).at(10, failed);
    assert!(matches!(step, Step::Reply(_)), "{step:?}");
}

#[test]
fn a_lost_attempt_is_likelier_the_longer_it_waits() {
    let probability = |elapsed_ms: u64| {
        let attempt = WaitingAttempt {
            elapsed_us: elapsed_ms * MS_US,
            failure_probability: 0.03,
        };
        attempt.loss_probability(&PROFILE)
    };
    assert!(probability(100) < 0.03);
    assert!(probability(1_200) > 0.5);
    assert!((0..30).all(|step| probability(step * 100) <= probability((step + 1) * 100)));
    let two = [0, 1].map(|_| WaitingAttempt {
        elapsed_us: 900 * MS_US,
        failure_probability: 0.03,
    });
    assert!(is_hedge_due(&PROFILE, &two[..1], Some(0)));
    assert!(!is_hedge_due(&PROFILE, &two, None));
}

#[test]
fn no_hedge_goes_to_a_target_with_a_rate_limit() {
    let mut run = Run::new(true, 5.0);
    for candidate in &run.table.candidates {
        candidate.load.set_rate_limit(BEGAN_US, Some(1_000));
    }
    assert_eq!(run.first_hedge_ms(), None);
    assert_eq!(run.exchange.retry_denial(), Some(RetryDenial::AllBusy));
}

#[test]
fn a_hedge_that_finds_no_target_uses_no_retry() {
    let mut run = Run::new(true, 5.0);
    for candidate in &run.table.candidates {
        candidate.load.record_shed(BEGAN_US, 3_000 * MS_US);
    }
    assert_eq!(run.first_hedge_ms(), None);
    assert!(run.table.load.retries.left() >= 5.0);
}
