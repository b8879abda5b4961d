//! Instances that the registry turns away while a new release comes into force at the others.

use model::configuration::Customer;
use model::configuration::Repeat;
use model::configuration::Route;
use model::configuration::RouteTerms;
use policy::exchange::Event;
use policy::exchange::Exchange;
use policy::exchange::Failure;
use policy::exchange::MAX_ATTEMPTS;
use policy::exchange::Request;
use policy::exchange::RetryDenial;
use policy::exchange::Step;
use policy::feed::Release;
use policy::instance::Envelope;
use policy::instance::Message;
use policy::quarantine::Fingerprint;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

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

/// Guards against an instance that admits every caller, since a peer has the release without customers:
/// it may have passed an instance of a build that ignores them.
#[test]
fn a_release_without_customers_ends_the_need_for_keys_by_the_registry_only() {
    let mut fleet = Fleet::new(1);
    fleet.run(4 * SECOND_US);
    let customer = Customer {
        name: "kilo".into(),
        in_flight: 8,
        keys: None,
        quota: None,
        priority: None,
    };
    fleet.publish_release(Release {
        customers: Some(vec![customer]),
        ..large_release(5, MANY_ROUTES, 0)
    });
    fleet.run(8 * SECOND_US);
    fleet.block_registry_for(3, 8 * SECOND_US, 14 * SECOND_US);
    fleet.publish_release(large_release(9, MANY_ROUTES, 0));
    fleet.run(14 * SECOND_US);
    assert_eq!(instances_without(&fleet, 9), [3]);
    fleet.run(18 * SECOND_US);
    assert_eq!(instances_without(&fleet, 9), Vec::<usize>::new());
}

/// A message of a peer in whose process a release is in force that nobody else has.
fn message_of_a_peer_ahead(number: u64) -> Envelope {
    Envelope {
        from: "i17".into(),
        incarnation: 1,
        note: number,
        targets_changed: 0,
        view_age_ms: None,
        member_updates: Vec::new(),
        message: Message::Ping { sequence: 1 },
    }
}

/// A request that was sent to a target once.
fn sent_request(fleet: &Fleet, rng: &mut ChaCha8Rng) -> Exchange {
    let now_us = fleet.now_us();
    let request = Request {
        caller_deadline_us: now_us + 6 * SECOND_US,
        deadline_us: now_us + 6 * SECOND_US,
        claims_key: false,
        fingerprint: Fingerprint::default(),
        may_hand_over: false,
        is_handed_over: false,
        replayable: true,
        repeatable: true,
        max_attempts: MAX_ATTEMPTS,
        priority: None,
        objective_us: Some(SECOND_US),
        began_us: now_us,
    };
    let table = fleet.table(0).services["gates"].clone();
    let mut exchange = Exchange::new(request, table);
    let step = exchange.on(now_us, Event::Begin, rng);
    assert!(matches!(step, Step::Send { attempt: 0, .. }), "{step:?}");
    exchange
}

const CUT: Event = Event::Failed {
    attempt: 0,
    failure: Failure::Cut,
};
const NOT_SENT: Event = Event::Failed {
    attempt: 0,
    failure: Failure::NotSent,
};

/// Guards against a request that runs twice, since a newer release becomes known between the decision
/// to repeat it and the retry that a peer lends for it.
#[test]
fn a_lent_retry_is_not_used_once_the_release_is_superseded() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut fleet = Fleet::with_retry_reserve(1, 12, Some(0.0));
    fleet.run(4 * SECOND_US);
    let lent = Event::RetryAnswered { is_lent: true };
    for is_superseded in [false, true] {
        let mut exchange = sent_request(&fleet, &mut rng);
        let mut failed = exchange.on(fleet.now_us(), CUT, &mut rng);
        while let Step::Send { .. } = failed {
            // The instance's own budget has a retry left.
            exchange = sent_request(&fleet, &mut rng);
            failed = exchange.on(fleet.now_us(), CUT, &mut rng);
        }
        assert_eq!(failed, Step::BorrowRetry);
        if is_superseded {
            fleet.receive(0, message_of_a_peer_ahead(99));
        }
        let step = exchange.on(fleet.now_us(), lent, &mut rng);
        match is_superseded {
            false => assert!(matches!(step, Step::Send { .. }), "{step:?}"),
            true => {
                assert!(matches!(step, Step::Reply(_)), "{step:?}");
                assert_eq!(exchange.retry_denial(), Some(RetryDenial::Superseded));
            }
        }
    }
}

/// Guards against requests that are lost for want of a release: one that no target has begun to run is
/// sent to another in any case.
#[test]
fn a_request_that_was_not_sent_goes_to_another_target_although_the_release_is_superseded() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut fleet = Fleet::new(1);
    fleet.run(4 * SECOND_US);
    fleet.receive(0, message_of_a_peer_ahead(99));
    let mut exchange = sent_request(&fleet, &mut rng);
    let step = exchange.on(fleet.now_us(), NOT_SENT, &mut rng);
    assert!(matches!(step, Step::Send { attempt: 1, .. }), "{step:?}");
    let failed = Event::Failed {
        attempt: 1,
        failure: Failure::Refused,
    };
    let step = exchange.on(fleet.now_us(), failed, &mut rng);
    assert!(
        matches!(step, Step::Send { .. } | Step::BorrowRetry),
        "{step:?}"
    );
}

/// Guards against requests that lose their retries although no newer release can exist anywhere.
#[test]
fn an_outage_of_the_registry_for_all_costs_no_retries() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut fleet = Fleet::new(1);
    fleet.run(4 * SECOND_US);
    fleet.block_registry(INSTANCES, 4 * SECOND_US, 40 * SECOND_US);
    fleet.run(30 * SECOND_US);
    let mut exchange = sent_request(&fleet, &mut rng);
    let step = exchange.on(fleet.now_us(), CUT, &mut rng);
    assert!(
        matches!(step, Step::Send { .. } | Step::BorrowRetry),
        "{step:?}"
    );
}

/// Guards against a request that runs twice at an instance which hears from nobody, while a release that
/// forbids to repeat it is in force at all others.
#[test]
fn an_instance_that_hears_from_nobody_repeats_no_request() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut fleet = Fleet::new(1);
    fleet.run(4 * SECOND_US);
    fleet.block_registry_for(0, 4 * SECOND_US, 20 * SECOND_US);
    fleet.cut(0, 20 * SECOND_US);
    fleet.publish_release(large_release(9, MANY_ROUTES, 1));
    fleet.run(8 * SECOND_US);
    assert_eq!(instances_without(&fleet, 9), [0]);
    let mut exchange = sent_request(&fleet, &mut rng);
    let step = exchange.on(fleet.now_us(), CUT, &mut rng);
    assert!(matches!(step, Step::Reply(_)), "{step:?}");
    assert_eq!(exchange.retry_denial(), Some(RetryDenial::Superseded));
    fleet.run(24 * SECOND_US);
    assert_eq!(instances_without(&fleet, 9), Vec::<usize>::new());
    let mut exchange = sent_request(&fleet, &mut rng);
    let step = exchange.on(fleet.now_us(), CUT, &mut rng);
    assert!(
        matches!(step, Step::Send { .. } | Step::BorrowRetry),
        "{step:?}"
    );
}

/// Guards against a request that runs twice, since a process that was suspended, and has missed a release
/// meanwhile, sends it to another target by its old tables before it has caught up.
#[test]
fn a_process_that_was_suspended_sends_no_hedge_by_its_old_tables() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut fleet = Fleet::new(1);
    fleet.run(4 * SECOND_US);
    let now_us = fleet.now_us();
    let mut exchange = sent_request(&fleet, &mut rng);
    let step = exchange.on(now_us + SECOND_US, Event::HedgeDue, &mut rng);
    assert!(matches!(step, Step::Send { .. }), "{step:?}");
    let mut exchange = sent_request(&fleet, &mut rng);
    let step = exchange.on(now_us + 5 * SECOND_US, Event::HedgeDue, &mut rng);
    assert_eq!(step, Step::Continue);
}
