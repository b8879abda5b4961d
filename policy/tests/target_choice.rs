//! Choice of targets by failure probability, tested against simulated target faults.

mod support;

use std::sync::Arc;
use std::sync::atomic::Ordering;

use model::configuration::Target;
use policy::evidence::HealthState;
use policy::evidence::Signal;
use policy::routing::Candidate;
use policy::routing::Choice;
use policy::routing::ChoiceParams;
use policy::routing::ChoiceStrategy;
use policy::routing::DEFAULT_DEPARTURE_LIMIT_US;
use policy::routing::ServiceLoad;
use policy::routing::ServiceTable;
use policy::routing::TargetLoad;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use support::service;

const SECOND_US: u64 = 1_000_000;

fn table(local: usize, remote: usize) -> ServiceTable {
    let service = service("gates");
    let candidate = |number: usize| Candidate {
        target: Arc::new(Target {
            name: format!("gates-{number:02}").into(),
            service: "gates".into(),
            data_centre: if number < local { "here" } else { "there" }.into(),
            address: ([127, 0, 0, 1], 80).into(),
            slots: 6,
            connections: 330,
            refusal_is_not_run: false,
            leaving: false,
            incarnation: 1,
        }),
        load: Arc::new(TargetLoad::new(6)),
        health: HealthState::Healthy,
        round_trip_us: 0,
        is_local: number < local,
    };
    let load = ServiceLoad::new(0.2, Arc::default());
    load.fleet_rate_milli.store(60_000, Ordering::Relaxed);
    load.needed_slots.store(30, Ordering::Relaxed);
    load.local_slots.store(10, Ordering::Relaxed);
    ServiceTable {
        service: Arc::new(service),
        load: Arc::new(load),
        candidates: (0..local + remote).map(candidate).collect(),
        choice_strategy: ChoiceStrategy::FailureProbability,
        subset: None,
    }
}

fn choose(table: &ServiceTable, now_us: u64, repeatable: bool, rng: &mut ChaCha8Rng) -> usize {
    let choice_params = ChoiceParams {
        repeatable,
        left_us: 8 * SECOND_US,
        tried: &[],
        only_unlimited: false,
        body_bytes: 0,
    };
    choose_for(table, now_us, choice_params, rng)
}

fn choose_for(
    table: &ServiceTable,
    now_us: u64,
    choice_params: ChoiceParams<'_>,
    rng: &mut ChaCha8Rng,
) -> usize {
    match table.choose(now_us, choice_params, rng) {
        Choice::Target(index, _slot) => index,
        other => panic!("expected a target, got {other:?}"),
    }
}

#[test]
fn commands_avoid_a_recently_reset_target_while_others_have_capacity() {
    let table = table(15, 0);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    table.candidates[3].load.record_signal(0, Signal::Reset);
    for at_ms in 0..9_000 {
        let index = choose(&table, at_ms * 1_000, false, &mut rng);
        assert_ne!(index, 3, "at {at_ms} ms");
    }
}

#[test]
fn repeatable_requests_try_a_suspect_target_at_the_fleet_rate() {
    let table = table(15, 0);
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    table.candidates[3].load.record_signal(0, Signal::Reset);
    let trials = |from_s: u64, rng: &mut ChaCha8Rng| {
        // 60 requests per second, the load of all instances together.
        let times = (0..60).map(|request| from_s * SECOND_US + request * 16_000);
        times
            .filter(|at_us| choose(&table, *at_us, true, rng) == 3)
            .count()
    };
    assert_eq!(trials(2, &mut rng), 0);
    let late_trials: usize = (6..9).map(|from_s| trials(from_s, &mut rng)).sum();
    assert!(
        (1..=9).contains(&late_trials),
        "{late_trials} in three seconds"
    );
}

/// A hundred instances with the same failure estimates get 60 requests per second together, and a
/// third of the targets have been suspect for 5 s. Most of these get a trial within 2 s.
#[test]
fn degraded_service_tries_most_suspect_targets_within_two_seconds() {
    let table = table(30, 0);
    table.load.degraded.store(true, Ordering::Relaxed);
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    for (number, candidate) in table.candidates[..10].iter().enumerate() {
        candidate
            .load
            .record_signal(number as u64 * 10_000, Signal::Reset);
    }
    let mut tried = std::collections::BTreeSet::new();
    for request in 0..120 {
        let index = choose(&table, 5 * SECOND_US + request * 16_000, false, &mut rng);
        if index < 10 {
            tried.insert(index);
        }
    }
    assert!(tried.len() >= 7, "{tried:?}");
}

#[test]
fn a_fifth_of_the_slots_stays_in_use_while_all_targets_are_suspect() {
    let table = table(15, 0);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for candidate in &table.candidates {
        candidate.load.record_signal(0, Signal::Reset);
    }
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..1_000 {
        used.insert(choose(&table, 0, false, &mut rng));
    }
    assert!(used.len() >= 3, "{used:?}");
}

#[test]
fn local_targets_get_the_load_they_can_carry() {
    let table = table(5, 10);
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    for _ in 0..1_000 {
        assert!(choose(&table, 0, false, &mut rng) < 5);
    }
    table.load.local_slots.store(60, Ordering::Relaxed);
    let local_choices = (0..1_000).filter(|_| choose(&table, 0, false, &mut rng) < 5);
    assert!((200..400).contains(&local_choices.count()));
}

/// The faults that the users specify: about a third of the targets at a time reset most of their
/// requests, each for 5 to 13 s. A lost command is not retried.
#[test]
fn few_commands_are_lost_to_independent_target_faults() {
    let table = table(15, 0);
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut faulty_until_us = [0u64; 15];
    let mut healthy_until_us: Vec<u64> = (0..15)
        .map(|_| rng.random_range(0..25 * SECOND_US))
        .collect();
    let (mut sent, mut lost) = (0, 0);
    for step in 0..60 * 120 {
        let now_us = step * 16_667;
        for index in 0..15 {
            if now_us >= healthy_until_us[index] && now_us >= faulty_until_us[index] {
                faulty_until_us[index] = now_us + rng.random_range(5..13) * SECOND_US;
                healthy_until_us[index] =
                    faulty_until_us[index] + rng.random_range(12..30) * SECOND_US;
            }
        }
        let index = choose(&table, now_us, false, &mut rng);
        sent += 1;
        if now_us < faulty_until_us[index] && rng.random_bool(0.85) {
            lost += 1;
            table.candidates[index]
                .load
                .record_signal(now_us, Signal::Reset);
        } else {
            table.candidates[index]
                .load
                .record_signal(now_us, Signal::Good);
        }
    }
    let share = f64::from(lost) / f64::from(sent);
    assert!(share < 0.03, "{lost} of {sent} lost");
}

/// At 60 requests per second, each takes 1 s, as the targets have queues. A repeatable request with
/// less time left tries a suspect target first and then the healthy ones.
#[test]
fn request_with_less_time_than_the_mean_latency_tries_a_suspect_target_first() {
    let table = table(15, 0);
    table.load.needed_slots.store(60, Ordering::Relaxed);
    let mut rng = ChaCha8Rng::seed_from_u64(10);
    table.candidates[3].load.record_signal(0, Signal::Reset);
    let mut choice_params = ChoiceParams {
        repeatable: true,
        left_us: 850_000,
        tried: &[],
        only_unlimited: false,
        body_bytes: 0,
    };
    assert_ne!(choose_for(&table, SECOND_US, choice_params, &mut rng), 3);
    assert_eq!(
        choose_for(&table, 3 * SECOND_US, choice_params, &mut rng),
        3
    );
    choice_params.tried = &[3];
    assert_ne!(
        choose_for(&table, 3 * SECOND_US, choice_params, &mut rng),
        3
    );
    choice_params.tried = &[];
    choice_params.repeatable = false;
    for _ in 0..100 {
        assert_ne!(choose_for(&table, SECOND_US, choice_params, &mut rng), 3);
    }
}

#[test]
fn commands_avoid_a_target_with_a_silent_attempt_while_others_have_capacity() {
    let table = table(15, 0);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    table.candidates[3].load.record_signal(0, Signal::Overdue);
    assert!(table.candidates[3].load.is_healthy(0));
    for at_ms in 0..1_000 {
        assert_ne!(choose(&table, at_ms * 1_000, false, &mut rng), 3);
    }
}

#[test]
fn a_command_has_a_target_while_all_show_signs_of_failure_and_no_load_is_known() {
    let table = table(3, 0);
    table.load.needed_slots.store(0, Ordering::Relaxed);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for signal in [Signal::Overdue, Signal::Reset] {
        for candidate in &table.candidates {
            candidate.load.record_signal(0, signal);
        }
        choose(&table, 0, false, &mut rng);
    }
}

#[test]
fn a_target_that_leaves_by_its_own_word_gets_nothing_while_a_healthy_one_stays() {
    let table = table(3, 0);
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    table.candidates[0].load.record_departure(SECOND_US);
    table.candidates[1].load.report_departure();
    assert_eq!(table.slots(SECOND_US), 6);
    assert_eq!(table.healthy_slots(SECOND_US), 6);
    for at_ms in 1_000..2_000 {
        assert_eq!(choose(&table, at_ms * 1_000, at_ms % 2 == 0, &mut rng), 2);
    }
}

#[test]
fn targets_that_all_leave_are_used_until_their_time_limits() {
    let table = table(2, 0);
    let mut rng = ChaCha8Rng::seed_from_u64(12);
    for candidate in &table.candidates {
        candidate.load.record_departure(SECOND_US);
    }
    let last_us = SECOND_US + DEFAULT_DEPARTURE_LIMIT_US - 1;
    choose(&table, last_us, false, &mut rng);
    assert_eq!(table.slots(last_us), 12);
    let choice_params = ChoiceParams {
        repeatable: true,
        left_us: 8 * SECOND_US,
        tried: &[],
        only_unlimited: false,
        body_bytes: 0,
    };
    let choice = table.choose(last_us + 1, choice_params, &mut rng);
    assert!(matches!(choice, Choice::NoTarget), "{choice:?}");
    assert_eq!(table.slots(last_us + 1), 0);
}

#[test]
fn what_other_instances_have_heard_closes_no_target() {
    let table = table(2, 0);
    let mut rng = ChaCha8Rng::seed_from_u64(13);
    for candidate in &table.candidates {
        candidate.load.report_departure();
    }
    choose(&table, 3_600 * SECOND_US, false, &mut rng);
}

#[test]
fn a_target_that_leaves_is_used_while_all_others_are_suspect() {
    let table = table(2, 0);
    let mut rng = ChaCha8Rng::seed_from_u64(14);
    table.candidates[0].load.record_departure(SECOND_US);
    table.candidates[1]
        .load
        .record_signal(SECOND_US, Signal::Reset);
    assert_eq!(choose(&table, SECOND_US, false, &mut rng), 0);
    let closed_us = SECOND_US + DEFAULT_DEPARTURE_LIMIT_US;
    assert_eq!(choose(&table, closed_us, false, &mut rng), 1);
}

#[test]
fn waiting_requests_are_decided_at_once_when_there_is_no_target_to_wait_for() {
    let table = table(2, 0);
    assert_eq!(table.decidable(SECOND_US, 9, None), 2);
    table.candidates[0].load.record_shed(SECOND_US, SECOND_US);
    assert_eq!(table.decidable(SECOND_US, 9, None), 1);
    for candidate in &table.candidates {
        candidate.load.record_departure(0);
    }
    assert_eq!(table.decidable(2 * SECOND_US, 9, None), 9);
}

#[test]
fn a_target_that_wants_a_pause_gets_nothing_until_its_end() {
    let table = table(2, 0);
    let mut rng = ChaCha8Rng::seed_from_u64(15);
    let paused = &table.candidates[0].load;
    paused.pause_until(3 * SECOND_US);
    // A shorter one that was requested later, and the short pause after any refusal.
    paused.pause_until(2 * SECOND_US);
    paused.record_shed(SECOND_US, 100_000);
    for at_ms in 1_000..3_000 {
        assert_eq!(choose(&table, at_ms * 1_000, at_ms % 2 == 0, &mut rng), 1);
    }
    let chosen: Vec<usize> = (3_000..3_100)
        .map(|at_ms| choose(&table, at_ms * 1_000, true, &mut rng))
        .collect();
    assert!(chosen.contains(&0));
}

#[test]
fn a_pause_of_all_targets_tells_when_they_take_requests_again() {
    let table = table(2, 0);
    table.candidates[0].load.pause_until(4 * SECOND_US);
    table.candidates[1].load.pause_until(3 * SECOND_US);
    assert_eq!(table.pause_left_us(SECOND_US), Some(2 * SECOND_US));
    assert_eq!(table.healthy_slots(SECOND_US), 12);
}
