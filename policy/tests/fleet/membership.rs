//! How fast the instances learn which of them stop and start.

use policy::exchange::AttemptEnd;
use policy::exchange::Observation;

use crate::fleet::Fleet;
use crate::fleet::INSTANCES;
use crate::fleet::SECOND_US;
use crate::fleet::TARGETS;

const SEEDS: u64 = 40;
/// Time for a broadcast and, where one of its messages is lost, for the gossip that follows.
const ANNOUNCEMENT_US: u64 = SECOND_US;
/// Time after a partition within which the users hold instances to their bounds again.
const HEALING_US: u64 = 3 * SECOND_US;
/// Time in which an instance that starts gets the first answers of its peers: a tick and a round
/// trip. The load is measured less often.
const FIRST_ANSWERS_US: u64 = 300_000;

/// Instances other than `number` that count it as present.
fn count_informed(fleet: &Fleet, number: usize) -> usize {
    let others = (0..INSTANCES).filter(|other| *other != number);
    others.filter(|other| fleet.sees(*other, number)).count()
}

fn reset_of(target: usize) -> Observation {
    Observation {
        service: "gates".into(),
        target: format!("t{target:03}").into(),
        end: AttemptEnd::Cut,
        overdue_reports: 0,
        has_full_time: true,
    }
}

#[test]
fn all_instances_learn_at_once_that_one_stops() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        fleet.run(3 * SECOND_US);
        fleet.drain(0);
        fleet.run(3 * SECOND_US + ANNOUNCEMENT_US);
        assert_eq!(count_informed(&fleet, 0), 0, "seed {seed}");
    }
}

#[test]
fn all_instances_learn_at_once_that_one_has_started_while_targets_are_suspect() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        fleet.run(3 * SECOND_US);
        fleet.drain(0);
        fleet.run(6 * SECOND_US);
        fleet.stop(0);
        for target in 0..2 {
            fleet.observe(1, reset_of(target));
        }
        fleet.run(7 * SECOND_US);
        fleet.start_again(0);
        // The first tick asks two peers for suspect targets, within a quarter of a second.
        fleet.run(8 * SECOND_US + ANNOUNCEMENT_US);
        assert_eq!(count_informed(&fleet, 0), INSTANCES - 1, "seed {seed}");
    }
}

#[test]
fn an_instance_that_starts_learns_of_an_overload_with_the_suspect_targets() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        fleet.run(3 * SECOND_US);
        fleet.drain(0);
        fleet.run(6 * SECOND_US);
        fleet.stop(0);
        for target in 0..TARGETS - 2 {
            fleet.observe(1, reset_of(target));
        }
        fleet.run(7 * SECOND_US);
        fleet.start_again(0);
        fleet.run(7 * SECOND_US + FIRST_ANSWERS_US);
        let table = fleet.table(0);
        let service = &table.services["gates"];
        let has_suspects =
            service.healthy_slots(fleet.now_us()) < service.slots(fleet.now_us()) / 2;
        assert_eq!(
            service.load.overload.is_overloaded(),
            has_suspects,
            "seed {seed}"
        );
    }
}

#[test]
fn all_instances_see_each_other_soon_after_one_was_cut_off() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        fleet.run(3 * SECOND_US);
        // Longer than the fleet takes to declare the instance dead, and it all others.
        fleet.cut(0, 20 * SECOND_US);
        fleet.run(20 * SECOND_US);
        assert_eq!(count_informed(&fleet, 0), 0, "seed {seed}");
        fleet.run(20 * SECOND_US + HEALING_US);
        assert_eq!(count_informed(&fleet, 0), INSTANCES - 1, "seed {seed}");
        let seen = (1..INSTANCES).filter(|other| fleet.sees(0, *other)).count();
        assert_eq!(seen, INSTANCES - 1, "seed {seed}");
    }
}
