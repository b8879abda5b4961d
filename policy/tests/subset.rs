//! Subsets of targets: evenness, coverage, stability, and the choice when a subset fails.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use model::configuration::Target;
use policy::evidence::HealthState;
use policy::evidence::Signal;
use policy::routing::Candidate;
use policy::routing::Choice;
use policy::routing::ChoiceParams;
use policy::routing::ChoiceStrategy;
use policy::routing::ServiceLoad;
use policy::routing::ServiceTable;
use policy::routing::Slot;
use policy::routing::Subset;
use policy::routing::SubsetPlace;
use policy::routing::TargetLoad;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use support::service;

const DATA_CENTRES: [&str; 3] = ["east", "north", "west"];

fn instances(count: usize) -> Vec<(Arc<str>, Arc<str>)> {
    let instance = |number: usize| {
        let id = format!("instance-{number}").into();
        (id, DATA_CENTRES[number % 3].into())
    };
    (0..count).map(instance).collect()
}

/// Targets with 3 or 4 slots.
fn targets(count: usize, own_data_centre: &str) -> Vec<Candidate> {
    let target = |number: usize| {
        let data_centre = DATA_CENTRES[number / 2 % 3];
        let slots = 3 + number as u32 % 2;
        Candidate {
            target: Arc::new(Target {
                name: format!("target-{number}").into(),
                service: "gates".into(),
                data_centre: data_centre.into(),
                address: ([127, 0, 0, 1], 80).into(),
                slots,
                connections: 330,
                refusal_is_not_run: false,
                leaving: false,
                incarnation: 1,
            }),
            load: Arc::new(TargetLoad::new(slots)),
            health: HealthState::Healthy,
            round_trip_us: 0,
            is_local: data_centre == own_data_centre,
        }
    };
    (0..count).map(target).collect()
}

fn subset(
    own: &(Arc<str>, Arc<str>),
    instances: &[(Arc<str>, Arc<str>)],
    candidates: &[Candidate],
) -> Option<Subset> {
    let present = instances.iter().map(|(id, data_centre)| (id, data_centre));
    Subset::new(&SubsetPlace::new(&own.0, &own.1, present), candidates)
}

fn all_subsets(instances: &[(Arc<str>, Arc<str>)], candidates: &[Candidate]) -> Vec<Subset> {
    let of = |own| subset(own, instances, candidates).expect("a subset");
    instances.iter().map(of).collect()
}

/// Names of the targets of one instance's subset.
fn names(subset: &Subset, candidates: &[Candidate]) -> BTreeSet<Arc<str>> {
    let indexes = subset.local.iter().chain(&subset.remote);
    indexes
        .map(|index| candidates[*index].target.name.clone())
        .collect()
}

#[test]
fn small_services_have_no_subsets() {
    let instances = instances(36);
    assert_eq!(
        subset(&instances[0], &instances, &targets(15, "east")),
        None
    );
    assert_eq!(
        subset(&instances[0], &instances, &targets(111, "east")),
        None
    );
    assert!(subset(&instances[0], &instances, &targets(112, "east")).is_some());
}

/// Guards against targets that get more requests than others because they are in more subsets.
#[test]
fn every_slot_is_in_equally_many_subsets() {
    for (instance_count, target_count) in [(101, 294), (36, 265), (200, 45)] {
        let instances = instances(instance_count);
        let candidates = targets(target_count, "east");
        let subsets = all_subsets(&instances, &candidates);
        let mut local = BTreeMap::new();
        let mut remote = BTreeMap::new();
        for subset in &subsets {
            for index in &subset.local {
                *local.entry(*index).or_insert(0) += 1;
            }
            for index in &subset.remote {
                *remote.entry(*index).or_insert(0) += 1;
            }
        }
        for counts in [local, remote] {
            for data_centre in DATA_CENTRES {
                let members = candidates.iter().enumerate();
                let per_slot: BTreeSet<u32> = members
                    .filter(|(_, candidate)| *candidate.target.data_centre == *data_centre)
                    .map(|(index, candidate)| {
                        let count = counts.get(&index).copied().unwrap_or(0);
                        assert_eq!(count % candidate.target.slots, 0);
                        count / candidate.target.slots
                    })
                    .collect();
                assert_eq!(per_slot.len(), 1, "{data_centre}: {per_slot:?}");
                assert!(!per_slot.contains(&0));
            }
        }
    }
}

#[test]
fn subset_carries_three_times_the_share_of_the_instance() {
    let instances = instances(101);
    let candidates = targets(294, "east");
    let slots: u32 = candidates.iter().map(|c| c.target.slots).sum();
    for subset in all_subsets(&instances, &candidates) {
        let fair_share = slots as usize / 101;
        assert!(subset.local.len() + 1 >= 3 * fair_share);
        let local: BTreeSet<usize> = subset.local.iter().copied().collect();
        assert!((8..=12).contains(&local.len()), "{}", local.len());
        assert!(subset.target_count() <= 30, "{}", subset.target_count());
    }
}

/// Guards against connections and latency estimates that are lost at every change.
#[test]
fn change_of_one_member_or_target_keeps_most_of_each_subset() {
    let before_instances = instances(102);
    let before_candidates = targets(294, "east");
    let before = all_subsets(&before_instances, &before_candidates);
    let compare = |removed: Option<usize>, candidates: &[Candidate]| {
        let mut kept_instances = before_instances.clone();
        if let Some(removed) = removed {
            kept_instances.remove(removed);
        }
        let (mut changed, mut total) = (0, 0);
        for own in &kept_instances {
            let position = before_instances.iter().position(|other| other == own);
            let old = names(&before[position.unwrap()], &before_candidates);
            let new = names(
                &subset(own, &kept_instances, candidates).unwrap(),
                candidates,
            );
            changed += old.difference(&new).count();
            total += old.len();
            assert!(2 * old.intersection(&new).count() >= old.len());
        }
        changed as f64 / total as f64
    };
    for removed in [0, 17, 50, 101] {
        let share = compare(Some(removed), &before_candidates);
        assert!(share < 0.15, "{share} after instance {removed} left");
    }
    for removed in [0, 100, 293] {
        let mut candidates = before_candidates.clone();
        candidates.remove(removed);
        let share = compare(None, &candidates);
        assert!(share < 0.1, "{share} after target {removed} left");
    }
}

/// Guards against targets without requests while instances learn of each other.
#[test]
fn instances_with_different_views_cover_nearly_all_targets() {
    let instances = instances(101);
    let candidates = targets(294, "east");
    let mut covered = BTreeSet::new();
    for (number, own) in instances.iter().enumerate() {
        // Each instance misses two others.
        let mut view = instances.clone();
        view.retain(|other| {
            other == own || (*other != instances[number / 2] && *other != instances[100 - number])
        });
        let subset = subset(own, &view, &candidates).unwrap();
        covered.extend(subset.local);
    }
    assert!(covered.len() >= 290, "{}", covered.len());
}

/// A table of the first instance, which has the subset of 101 instances and 294 targets.
fn table() -> ServiceTable {
    let instances = instances(101);
    let candidates = targets(294, "east");
    let load = ServiceLoad::new(0.2, Arc::default());
    load.fleet_rate_milli.store(840_000, Ordering::Relaxed);
    load.needed_slots.store(200, Ordering::Relaxed);
    load.local_slots.store(66, Ordering::Relaxed);
    ServiceTable {
        service: Arc::new(service("gates")),
        load: Arc::new(load),
        choice_strategy: ChoiceStrategy::FailureProbability,
        subset: subset(&instances[0], &instances, &candidates),
        candidates,
    }
}

fn choose(table: &ServiceTable, now_us: u64, rng: &mut ChaCha8Rng) -> (usize, Slot) {
    let choice_params = ChoiceParams {
        repeatable: false,
        left_us: 8_000_000,
        tried: &[],
        only_unlimited: false,
        body_bytes: 0,
    };
    match table.choose(now_us, choice_params, rng) {
        Choice::Target(index, slot) => (index, slot),
        other => panic!("expected a target, got {other:?}"),
    }
}

#[test]
fn requests_stay_within_the_local_subset_while_it_is_idle() {
    let table = table();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let local: BTreeSet<usize> = table
        .subset
        .as_ref()
        .unwrap()
        .local
        .iter()
        .copied()
        .collect();
    let used: BTreeSet<usize> = (0..500).map(|_| choose(&table, 0, &mut rng).0).collect();
    assert_eq!(used, local);
    assert_eq!(table.load.sent_outside_subset.load(Ordering::Relaxed), 0);
}

/// Guards against an instance with many callers that overloads the few targets of its subset.
#[test]
fn busy_instance_leaves_its_subset() {
    let table = table();
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let local: BTreeSet<usize> = table
        .subset
        .as_ref()
        .unwrap()
        .local
        .iter()
        .copied()
        .collect();
    let held: Vec<(usize, Slot)> = (0..60).map(|_| choose(&table, 0, &mut rng)).collect();
    let within = held
        .iter()
        .filter(|(index, _)| local.contains(index))
        .count();
    assert!(within <= local.len() + 12, "{within} of 60");
    assert!(
        held.iter()
            .all(|(index, _)| table.candidates[*index].load.in_flight() <= 3)
    );
}

/// Guards against an instance whose few healthy targets get all of its requests, and against one
/// that sends requests to failing targets of its subset.
#[test]
fn instance_with_a_failing_subset_uses_other_targets() {
    let table = table();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let local: BTreeSet<usize> = table
        .subset
        .as_ref()
        .unwrap()
        .local
        .iter()
        .copied()
        .collect();
    for index in local.iter().skip(2) {
        table.candidates[*index]
            .load
            .record_signal(0, Signal::Reset);
    }
    let used: BTreeSet<usize> = (0..500)
        .map(|_| choose(&table, 1_000, &mut rng).0)
        .collect();
    assert!(used.len() > 50, "{}", used.len());
    let failing: Vec<&usize> = local.iter().skip(2).collect();
    assert!(failing.iter().all(|index| !used.contains(index)));
}

/// Guards against a target of the subset that gets many more requests than another, and against one
/// that joined and gets none.
#[test]
fn idle_targets_of_the_subset_get_requests_in_turn() {
    let table = table();
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let mut counts: BTreeMap<usize, usize> = BTreeMap::new();
    for request in 1..=1_000u64 {
        let (index, _) = choose(&table, request * 100_000, &mut rng);
        *counts.entry(index).or_insert(0) += 1;
    }
    let local = &table.subset.as_ref().unwrap().local;
    for (index, count) in &counts {
        let slots = local.iter().filter(|slot| *slot == index).count();
        let fair = 1_000.0 * slots as f64 / local.len() as f64;
        let ratio = *count as f64 / fair;
        assert!(
            (0.5..2.0).contains(&ratio),
            "target {index}: {count}, fair {fair:.0}"
        );
    }
}
