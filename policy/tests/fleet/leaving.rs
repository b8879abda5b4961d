//! A leaving target receives no new requests once a time limit has passed since the registry
//! acknowledged that it leaves.
//!
//! Simulates a fleet whose registry is unreachable for some or all instances while targets
//! join and leave. Messages are delayed, duplicated and lost.

use policy::routing::RoutingTable;

use crate::fleet::Fleet;
use crate::fleet::INSTANCES;
use crate::fleet::SECOND_US;

const SEEDS: u64 = 40;
const END_US: u64 = 30 * SECOND_US;
/// Time between two departures of targets.
const LEAVING_PERIOD_US: u64 = 900_000;

/// Schedules departures of targets until shortly before the end.
fn schedule_departures(fleet: &mut Fleet) {
    let mut at_us = 5 * SECOND_US;
    while at_us < END_US - 4 * SECOND_US {
        fleet.schedule_replacement(at_us);
        at_us += LEAVING_PERIOD_US;
    }
}

#[test]
fn leaving_targets_get_no_late_work_without_faults() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        schedule_departures(&mut fleet);
        fleet.run(END_US);
        assert_eq!(fleet.late_placements(), [], "seed {seed}");
    }
}

#[test]
fn an_outage_of_some_instances_delays_no_leaving_target() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        schedule_departures(&mut fleet);
        let mut at_us = 4 * SECOND_US;
        while at_us < END_US {
            let count = 1 + fleet.draw(4);
            let for_us = SECOND_US + fleet.draw(1_000) * 1_000;
            fleet.block_registry(count as usize, at_us, at_us + for_us);
            at_us += 1_500_000 + fleet.draw(2_000) * 1_000;
        }
        fleet.run(END_US);
        assert_eq!(fleet.late_placements(), [], "seed {seed}");
    }
}

#[test]
fn an_outage_of_all_watchers_delays_no_leaving_target() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        schedule_departures(&mut fleet);
        fleet.run(8 * SECOND_US);
        fleet.block_registry_for_watchers(8 * SECOND_US, 20 * SECOND_US);
        fleet.run(END_US);
        assert_eq!(fleet.late_placements(), [], "seed {seed}");
    }
}

#[test]
fn the_death_of_all_watchers_delays_no_leaving_target() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        schedule_departures(&mut fleet);
        fleet.run(8 * SECOND_US);
        fleet.kill_watchers();
        fleet.run(END_US);
        assert_eq!(fleet.late_placements(), [], "seed {seed}");
    }
}

#[test]
fn entries_that_expire_during_an_outage_for_all_remove_no_target() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        fleet.block_registry(INSTANCES, 8 * SECOND_US, 16 * SECOND_US);
        fleet.expire_entries(12 * SECOND_US, 17_500_000);
        fleet.run(END_US);
        assert_eq!(
            fleet.min_targets_in_use(),
            crate::fleet::TARGETS,
            "seed {seed}"
        );
    }
}

#[test]
fn an_older_table_reaches_no_former_process_of_a_target() {
    let mut fleet = Fleet::new(1);
    fleet.run(3 * SECOND_US);
    let older = fleet.table(0);
    fleet.restart_target(3);
    fleet.run(5 * SECOND_US);
    let now_us = fleet.now_us();
    let is_closed = |table: &RoutingTable| {
        let mut candidates = table.services["gates"].candidates.iter();
        let target = candidates.find(|candidate| &*candidate.target.name == "t003");
        target.map(|target| target.load.is_closed(now_us))
    };
    assert_eq!(is_closed(&older), Some(true));
    assert_eq!(is_closed(&fleet.table(0)), Some(false));
}
