//! Instances that the registry turns away while a new release comes into force at the others.

use model::configuration::Repeat;
use model::configuration::Route;
use model::configuration::RouteTerms;
use policy::feed::Release;

use crate::fleet::Fleet;
use crate::fleet::INSTANCES;
use crate::fleet::MS_US;
use crate::fleet::SECOND_US;
use crate::fleet::release;

const SEEDS: u64 = 40;
/// The users' `configApply`: time from the acknowledgement of a release until it is in force.
const APPLY_US: u64 = 2 * SECOND_US;
/// Routes of a release that is not sent to peers as a whole.
const MANY_ROUTES: usize = 300;

/// A release with many routes; those with a number below `orders` may not be repeated.
fn large_release(number: u64, routes: usize, orders: usize) -> Release {
    let route = |index: usize| Route {
        name: format!("r-{index}").into(),
        host: None,
        path: format!("/r-{index}").into(),
        service: "gates".into(),
        shares: Vec::new(),
        terms: RouteTerms {
            repeat: Some(match index < orders {
                true => Repeat::Never,
                false => Repeat::Idempotent,
            }),
            ..RouteTerms::default()
        },
    };
    Release {
        number,
        routes: (0..routes).map(route).collect(),
        ..release()
    }
}

/// Instances whose release in force has another number.
fn instances_without(fleet: &Fleet, number: u64) -> Vec<usize> {
    let lacks_it = |instance: &usize| fleet.release_in_force(*instance) != number;
    (0..INSTANCES).filter(lacks_it).collect()
}

/// A fleet in which a large release is in force, and which the registry turns away in part from now
/// on: up to half of the instances.
fn fleet_turned_away(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(seed);
    fleet.run(4 * SECOND_US);
    fleet.publish_release(large_release(5, MANY_ROUTES, 0));
    fleet.run(8 * SECOND_US);
    assert_eq!(
        instances_without(&fleet, 5),
        Vec::<usize>::new(),
        "seed {seed}"
    );
    let count = 1 + fleet.draw(INSTANCES as u64 / 2);
    fleet.block_registry(count as usize, 8 * SECOND_US, 40 * SECOND_US);
    fleet
}

/// Guards against an instance that the registry turns away and that therefore stays at an older
/// release, whose routes may have other kinds.
#[test]
fn instances_that_the_registry_turns_away_follow_a_large_release() {
    for seed in 0..SEEDS {
        let mut fleet = fleet_turned_away(seed);
        let at_us = 8 * SECOND_US + fleet.draw(2_000) * MS_US;
        fleet.run(at_us);
        fleet.publish_release(large_release(9, MANY_ROUTES, 1));
        fleet.run(at_us + APPLY_US);
        assert_eq!(
            instances_without(&fleet, 9),
            Vec::<usize>::new(),
            "seed {seed}"
        );
    }
}

/// Guards against a release that peers no longer know the difference to: all others have started
/// again since, or the release has grown by more than they store.
#[test]
fn a_complete_release_is_fetched_if_its_difference_is_unknown() {
    for (seed, routes) in (0..SEEDS).zip([MANY_ROUTES, 5_000].into_iter().cycle()) {
        let mut fleet = Fleet::new(seed);
        fleet.run(4 * SECOND_US);
        fleet.publish_release(large_release(5, MANY_ROUTES, 0));
        fleet.run(8 * SECOND_US);
        fleet.block_registry_for(3, 8 * SECOND_US, 40 * SECOND_US);
        fleet.publish_release(large_release(7, MANY_ROUTES, 1));
        for number in (0..INSTANCES).filter(|number| *number != 3) {
            fleet.stop(number);
        }
        fleet.publish_release(large_release(9, routes, 2));
        for number in (0..INSTANCES).filter(|number| *number != 3) {
            fleet.start_again(number);
        }
        fleet.run(14 * SECOND_US);
        assert_eq!(
            instances_without(&fleet, 9),
            Vec::<usize>::new(),
            "seed {seed}"
        );
    }
}

/// Guards against a fetch that ends with the instance that is asked.
#[test]
fn another_peer_is_asked_if_one_stops_while_parts_are_under_way() {
    for seed in 0..SEEDS {
        let mut fleet = fleet_turned_away(seed);
        fleet.run(9 * SECOND_US);
        fleet.publish_release(large_release(9, 5_000, 1));
        fleet.run(9 * SECOND_US + 700 * MS_US);
        for _ in 0..4 {
            let number = fleet.draw(INSTANCES as u64) as usize;
            fleet.pause(number, 13 * SECOND_US);
        }
        fleet.run(16 * SECOND_US);
        assert_eq!(
            instances_without(&fleet, 9),
            Vec::<usize>::new(),
            "seed {seed}"
        );
    }
}
