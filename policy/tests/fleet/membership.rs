//! How fast the instances learn which of them stop and start.

use crate::fleet::Fleet;
use crate::fleet::INSTANCES;
use crate::fleet::SECOND_US;

const SEEDS: u64 = 40;
/// Time for a broadcast and, where one of its messages is lost, for the gossip that follows.
const ANNOUNCEMENT_US: u64 = SECOND_US;

/// Instances other than `number` that count it as present.
fn count_informed(fleet: &Fleet, number: usize) -> usize {
    let others = (0..INSTANCES).filter(|other| *other != number);
    others.filter(|other| fleet.sees(*other, number)).count()
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
