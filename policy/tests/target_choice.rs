//! Where requests go by doubt, played against targets that fail in turn.

mod support;

use std::sync::Arc;
use std::sync::atomic::Ordering;

use model::world::Target;
use policy::evidence::HealthState;
use policy::evidence::Signal;
use policy::routing::Candidate;
use policy::routing::Choice;
use policy::routing::Need;
use policy::routing::Placement;
use policy::routing::ServiceLoad;
use policy::routing::ServiceTable;
use policy::routing::TargetLoad;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use support::service;

const SECOND_US: u64 = 1_000_000;

fn table(local: usize, far: usize) -> ServiceTable {
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
        candidates: (0..local + far).map(candidate).collect(),
        placement: Placement::FailureProbability,
    }
}

fn choose(table: &ServiceTable, now_us: u64, repeatable: bool, rng: &mut ChaCha8Rng) -> usize {
    let need = Need {
        repeatable,
        left_us: 8 * SECOND_US,
        tried: &[],
    };
    choose_for(table, now_us, need, rng)
}

fn choose_for(table: &ServiceTable, now_us: u64, need: Need<'_>, rng: &mut ChaCha8Rng) -> usize {
    match table.choose(now_us, need, rng) {
        Choice::Target(at, _slot) => at,
        other => panic!("expected a target, got {other:?}"),
    }
}

#[test]
fn commands_avoid_a_target_that_was_reset_while_others_carry_the_load() {
    let table = table(15, 0);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    table.candidates[3].load.signal(0, Signal::Reset);
    for at_ms in 0..9_000 {
        let at = choose(&table, at_ms * 1_000, false, &mut rng);
        assert_ne!(at, 3, "at {at_ms} ms");
    }
}

#[test]
fn repeatable_requests_try_a_doubted_target_out_at_the_pace_of_the_fleet() {
    let table = table(15, 0);
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    table.candidates[3].load.signal(0, Signal::Reset);
    let tries = |from_s: u64, rng: &mut ChaCha8Rng| {
        // 60 requests a second, as all instances together get.
        let times = (0..60).map(|at| from_s * SECOND_US + at * 16_000);
        times
            .filter(|at_us| choose(&table, *at_us, true, rng) == 3)
            .count()
    };
    assert_eq!(tries(2, &mut rng), 0);
    let later: usize = (6..9).map(|from_s| tries(from_s, &mut rng)).sum();
    assert!((1..=9).contains(&later), "{later} in three seconds");
}

/// A hundred instances that share their beliefs, 60 requests a second in all, a third
/// of the targets doubted for five seconds: most of these get one within two seconds.
#[test]
fn strained_instances_try_most_doubted_targets_out_within_two_seconds() {
    let table = table(30, 0);
    table.load.degraded.store(true, Ordering::Relaxed);
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    for (number, candidate) in table.candidates[..10].iter().enumerate() {
        candidate.load.signal(number as u64 * 10_000, Signal::Reset);
    }
    let mut tried = std::collections::BTreeSet::new();
    for request in 0..120 {
        let at = choose(&table, 5 * SECOND_US + request * 16_000, false, &mut rng);
        if at < 10 {
            tried.insert(at);
        }
    }
    assert!(tried.len() >= 7, "{tried:?}");
}

#[test]
fn where_all_targets_are_doubted_a_fifth_of_the_slots_stays_in_use() {
    let table = table(15, 0);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for candidate in &table.candidates {
        candidate.load.signal(0, Signal::Reset);
    }
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..1_000 {
        used.insert(choose(&table, 0, false, &mut rng));
    }
    assert!(used.len() >= 3, "{used:?}");
}

#[test]
fn near_targets_get_the_work_they_can_carry() {
    let table = table(5, 10);
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    for _ in 0..1_000 {
        assert!(choose(&table, 0, false, &mut rng) < 5);
    }
    table.load.local_slots.store(60, Ordering::Relaxed);
    let near = (0..1_000).filter(|_| choose(&table, 0, false, &mut rng) < 5);
    assert!((200..400).contains(&near.count()));
}

/// The load of the users' sheets: a third of the targets reset most of what they
/// get for 5 to 13 seconds, each in turn; commands that are lost are lost.
#[test]
fn few_commands_are_lost_to_targets_that_fail_in_turn() {
    let table = table(15, 0);
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut fails_until_us = [0u64; 15];
    let mut good_until_us: Vec<u64> = (0..15)
        .map(|_| rng.random_range(0..25 * SECOND_US))
        .collect();
    let (mut sent, mut lost) = (0, 0);
    for step in 0..60 * 120 {
        let now_us = step * 16_667;
        for at in 0..15 {
            if now_us >= good_until_us[at] && now_us >= fails_until_us[at] {
                fails_until_us[at] = now_us + rng.random_range(5..13) * SECOND_US;
                good_until_us[at] = fails_until_us[at] + rng.random_range(12..30) * SECOND_US;
            }
        }
        let at = choose(&table, now_us, false, &mut rng);
        sent += 1;
        if now_us < fails_until_us[at] && rng.random_bool(0.85) {
            lost += 1;
            table.candidates[at].load.signal(now_us, Signal::Reset);
        } else {
            table.candidates[at].load.signal(now_us, Signal::Good);
        }
    }
    let share = f64::from(lost) / f64::from(sent);
    assert!(share < 0.03, "{lost} of {sent} lost");
}

/// Sixty requests a second that take a second each, as their targets have queues: one
/// that has less time left tries a doubted target first, and the others only then.
#[test]
fn a_request_with_less_time_than_others_take_tries_a_doubted_target_first() {
    let table = table(15, 0);
    table.load.needed_slots.store(60, Ordering::Relaxed);
    let mut rng = ChaCha8Rng::seed_from_u64(10);
    table.candidates[3].load.signal(0, Signal::Reset);
    let mut need = Need {
        repeatable: true,
        left_us: 850_000,
        tried: &[],
    };
    assert_ne!(choose_for(&table, SECOND_US, need, &mut rng), 3);
    assert_eq!(choose_for(&table, 3 * SECOND_US, need, &mut rng), 3);
    need.tried = &[3];
    assert_ne!(choose_for(&table, 3 * SECOND_US, need, &mut rng), 3);
    need.tried = &[];
    need.repeatable = false;
    for _ in 0..100 {
        assert_ne!(choose_for(&table, SECOND_US, need, &mut rng), 3);
    }
}
