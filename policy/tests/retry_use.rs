//! Use of the retry budget by requests with a priority.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use model::ResultCode;
use model::configuration::Target;
use policy::evidence::HealthState;
use policy::evidence::LatencyProfile;
use policy::exchange::Event;
use policy::exchange::Exchange;
use policy::exchange::Failure;
use policy::exchange::Reply;
use policy::exchange::Request;
use policy::exchange::Step;
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
const OBJECTIVE_US: u64 = 1_200 * MS_US;
/// Capacity of a budget without a reserve.
const CAPACITY: f64 = 10.0;

fn table(retries: f64) -> Arc<ServiceTable> {
    let candidate = |number: usize| Candidate {
        target: Arc::new(Target {
            name: format!("t{number}").into(),
            service: "gates".into(),
            data_centre: "devin".into(),
            address: ([127, 0, 0, 1], 80).into(),
            slots: 4,
            connections: 10,
            refusal_is_not_run: true,
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
    load.priorities.set(Some(0..=2));
    load.median_us.store(300 * MS_US, Ordering::Relaxed);
    load.set_latency_profile(LatencyProfile {
        median_us: 300 * MS_US,
        spread_milli: 300,
    });
    Arc::new(ServiceTable {
        service: Arc::new(service("gates")),
        load: Arc::new(load),
        candidates: (0..6).map(candidate).collect(),
        choice_strategy: ChoiceStrategy::FailureProbability,
        subset: None,
    })
}

/// What follows the refusal of a target, `after_us` after the request began.
fn refuse(table: &Arc<ServiceTable>, priority: Option<u8>, after_us: u64) -> Step {
    let request = Request {
        deadline_us: BEGAN_US + 3_000 * MS_US,
        caller_deadline_us: BEGAN_US + 3_000 * MS_US,
        fingerprint: Fingerprint::default(),
        may_hand_over: false,
        is_handed_over: false,
        claims_key: false,
        replayable: true,
        repeatable: false,
        max_attempts: 3,
        priority,
        objective_us: Some(OBJECTIVE_US),
        began_us: BEGAN_US,
    };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut exchange = Exchange::new(request, table.clone());
    exchange.on(BEGAN_US, Event::Begin, &mut rng);
    let failure = Failure::Refused;
    let failed = Event::Failed {
        attempt: 0,
        failure,
    };
    exchange.on(BEGAN_US + after_us, failed, &mut rng)
}

fn retry_after_ms(step: Step) -> Option<u64> {
    match step {
        Step::Reply(Reply {
            code: ResultCode::TargetRefused,
            retry_after_ms,
            ..
        }) => retry_after_ms,
        _ => None,
    }
}

/// Guards against retries that are withheld because the caller could come back: many never do.
#[test]
fn a_caller_that_could_come_back_gets_a_retry_while_there_is_one() {
    let table = table(0.6 * CAPACITY);
    let step = refuse(&table, Some(0), 20 * MS_US);
    assert!(matches!(step, Step::Send { attempt: 1, .. }), "{step:?}");
}

/// Guards against a long wait where another try has the same chance at once.
#[test]
fn a_caller_without_a_retry_is_sent_back_soon() {
    let mut table = table(0.0);
    let choice_strategy = ChoiceStrategy::HealthState;
    let without_loans = Arc::make_mut(&mut table);
    without_loans.choice_strategy = choice_strategy;
    let wait_ms = retry_after_ms(refuse(&table, Some(0), 20 * MS_US));
    assert!(wait_ms.is_some_and(|wait_ms| wait_ms <= 60), "{wait_ms:?}");
    assert_eq!(table.load.returned.load(Ordering::Relaxed), 1);
}

#[test]
fn a_request_without_time_to_come_back_is_retried() {
    let table = table(0.6 * CAPACITY);
    let step = refuse(&table, Some(0), 700 * MS_US);
    assert!(matches!(step, Step::Send { attempt: 1, .. }), "{step:?}");
}

#[test]
fn a_full_budget_is_used_by_all() {
    let table = table(CAPACITY);
    let step = refuse(&table, Some(2), 20 * MS_US);
    assert!(matches!(step, Step::Send { attempt: 1, .. }), "{step:?}");
}

/// Guards against less urgent requests that use up the last of the budget.
#[test]
fn the_last_third_is_left_to_the_most_urgent_requests() {
    let table = table(0.3 * CAPACITY);
    let less_urgent = refuse(&table, Some(1), 700 * MS_US);
    assert!(matches!(less_urgent, Step::BorrowRetry), "{less_urgent:?}");
    let most_urgent = refuse(&table, Some(0), 700 * MS_US);
    assert!(
        matches!(most_urgent, Step::Send { attempt: 1, .. }),
        "{most_urgent:?}"
    );
}

#[test]
fn requests_without_a_priority_use_the_whole_budget() {
    let table = table(1.0);
    let step = refuse(&table, None, 20 * MS_US);
    assert!(matches!(step, Step::Send { attempt: 1, .. }), "{step:?}");
    assert!(matches!(
        refuse(&table, None, 20 * MS_US),
        Step::BorrowRetry
    ));
}

/// Guards against callers that come back at once to a service without free slots.
#[test]
fn callers_of_a_full_service_come_back_later() {
    let table = table(0.0);
    table.load.needed_slots.store(24, Ordering::Relaxed);
    table.load.retries.set_share(0.0);
    let mut table = Arc::unwrap_or_clone(table);
    table.choice_strategy = ChoiceStrategy::HealthState;
    let wait_ms = retry_after_ms(refuse(&Arc::new(table), Some(0), 20 * MS_US));
    assert!(wait_ms.is_some_and(|wait_ms| wait_ms >= 400), "{wait_ms:?}");
}
