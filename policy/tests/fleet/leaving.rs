//! No target gets new work once the registry has acknowledged for long that it leaves.
//!
//! Plays a fleet against a registry that turns some instances away, or is away for
//! all, while targets come and leave; messages are late, doubled and lost.

use policy::routing::RoutingTable;

use crate::fleet::Fleet;
use crate::fleet::INSTANCES;
use crate::fleet::SECOND_US;

const SEEDS: u64 = 40;
const END_US: u64 = 30 * SECOND_US;
/// Time between two targets that leave.
const LEAVING_PERIOD_US: u64 = 900_000;

/// Lets targets leave one after the other until the end.
fn let_targets_leave(fleet: &mut Fleet) {
    let mut at_us = 5 * SECOND_US;
    while at_us < END_US - 4 * SECOND_US {
        fleet.replace_target(at_us);
        at_us += LEAVING_PERIOD_US;
    }
}

#[test]
fn targets_that_leave_on_a_calm_day_get_no_late_work() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        let_targets_leave(&mut fleet);
        fleet.run(END_US);
        assert_eq!(fleet.late_placings(), [], "seed {seed}");
    }
}

#[test]
fn an_outage_of_some_instances_delays_no_leaving_target() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        let_targets_leave(&mut fleet);
        let mut at_us = 4 * SECOND_US;
        while at_us < END_US {
            let some = 1 + fleet.draw(4);
            let for_us = SECOND_US + fleet.draw(1_000) * 1_000;
            fleet.turn_away(some as usize, at_us, at_us + for_us);
            at_us += 1_500_000 + fleet.draw(2_000) * 1_000;
        }
        fleet.run(END_US);
        assert_eq!(fleet.late_placings(), [], "seed {seed}");
    }
}

#[test]
fn an_outage_of_all_watchers_delays_no_leaving_target() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        let_targets_leave(&mut fleet);
        fleet.run(8 * SECOND_US);
        fleet.turn_watchers_away(8 * SECOND_US, 20 * SECOND_US);
        fleet.run(END_US);
        assert_eq!(fleet.late_placings(), [], "seed {seed}");
    }
}

#[test]
fn the_death_of_all_watchers_delays_no_leaving_target() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        let_targets_leave(&mut fleet);
        fleet.run(8 * SECOND_US);
        fleet.kill_watchers();
        fleet.run(END_US);
        assert_eq!(fleet.late_placings(), [], "seed {seed}");
    }
}

#[test]
fn entries_that_lapse_with_an_outage_for_all_take_no_target_out() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        fleet.turn_away(INSTANCES, 8 * SECOND_US, 16 * SECOND_US);
        fleet.lapse(12 * SECOND_US, 17_500_000);
        fleet.run(END_US);
        assert_eq!(fleet.fewest_in_use(), crate::fleet::TARGETS, "seed {seed}");
    }
}

#[test]
fn a_request_that_holds_an_older_table_reaches_no_former_process_of_a_target() {
    let mut fleet = Fleet::new(1);
    fleet.run(3 * SECOND_US);
    let older = fleet.table(0);
    fleet.restart_target(3);
    fleet.run(5 * SECOND_US);
    let is_closed = |table: &RoutingTable| {
        let mut candidates = table.services["gates"].candidates.iter();
        let target = candidates.find(|candidate| &*candidate.target.name == "t003");
        target.map(|target| target.load.is_closed())
    };
    assert_eq!(is_closed(&older), Some(true));
    assert_eq!(is_closed(&fleet.table(0)), Some(false));
}
