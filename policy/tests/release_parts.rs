//! Tests of releases that peers exchange in parts.

use std::sync::Arc;

use model::configuration::Customer;
use model::configuration::Repeat;
use model::configuration::Route;
use model::configuration::RouteTerms;
use policy::feed::FetchStep;
use policy::feed::FetchTerms;
use policy::feed::Release;
use policy::feed::ReleaseDelta;
use policy::feed::ReleaseFetch;
use policy::feed::ReleaseHistory;
use policy::feed::ReleasePart;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SECOND_US: u64 = 1_000_000;

fn route(index: usize, repeat: Repeat) -> Route {
    Route {
        name: format!("r-{index}").into(),
        host: None,
        path: format!("/r-{index}").into(),
        service: "reads".into(),
        shares: Vec::new(),
        terms: RouteTerms {
            repeat: Some(repeat),
            ..RouteTerms::default()
        },
    }
}

fn release(number: u64, routes: std::ops::Range<usize>) -> Release {
    Release {
        number,
        routes: routes
            .map(|index| route(index, Repeat::Idempotent))
            .collect(),
        ..Release::default()
    }
}

fn customer(name: &str) -> Customer {
    Customer {
        name: name.into(),
        in_flight: 8,
        keys: None,
        quota: None,
        priority: Some(1),
    }
}

fn delta(base: &Release, put: Release, removed: &[&str]) -> ReleaseDelta {
    ReleaseDelta {
        base: base.number,
        base_has_customers: base.customers.is_some(),
        put,
        removed: policy::feed::RemovedItems {
            routes: removed.iter().map(|name| Arc::from(*name)).collect(),
            ..Default::default()
        },
    }
}

fn names(release: &Release) -> Vec<&str> {
    let mut names: Vec<&str> = release.routes.iter().map(|route| &*route.name).collect();
    names.sort_unstable();
    names
}

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(1)
}

fn terms(own_number: u64) -> FetchTerms {
    FetchTerms {
        own_number,
        is_registry_reachable: false,
    }
}

/// Fetches a release whose parts `part` returns.
fn fetch(own: &Release, part: impl Fn(u32) -> Option<ReleasePart>) -> (FetchStep, u32) {
    let peer: Arc<str> = "a".into();
    let mut fetch = ReleaseFetch::default();
    fetch.record_peer(0, &peer, 99, own.number);
    let mut request = fetch
        .next_request(0, terms(own.number), |_| true, &mut rng())
        .expect("a peer is ahead");
    let mut requests = 1;
    loop {
        let first = request.request.index;
        let mut next = None;
        for index in first..first + policy::feed::PARTS_PER_REQUEST {
            let Some(part) = part(index) else {
                continue;
            };
            match fetch.record_part(0, &peer, part, Some(own)) {
                FetchStep::Wait => {}
                FetchStep::Request(following) => next = Some(following),
                end => return (end, requests),
            }
        }
        request = next.expect("the fetch goes on");
        requests += 1;
    }
}

#[test]
fn a_complete_release_arrives_in_parts_with_customers_and_priorities() {
    let mut large = release(9, 0..1_030);
    large.routes[1_020].terms.priority = Some(3);
    large.customers = Some(vec![customer("x"), customer("y")]);
    let (step, requests) = fetch(&release(5, 0..2), |index| {
        ReleasePart::of_release(&large, index)
    });
    let FetchStep::Fetched { release, parts } = step else {
        panic!("{step:?}");
    };
    assert_eq!(release, large);
    assert_eq!((parts, requests), (6, 3));
}

#[test]
fn differences_of_successive_releases_add_up() {
    let base = release(5, 0..300);
    let mut history = ReleaseHistory::default();
    // Route 7 changes, 8 goes, 400 comes; then 8 comes back, 400 goes and 7 changes again.
    let mut first = release(7, 400..401);
    first.routes.push(route(7, Repeat::Never));
    history.add(delta(&base, first, &["r-8"]));
    let mut second = release(9, 8..9);
    second.routes.push(Route {
        service: "others".into(),
        ..route(7, Repeat::Never)
    });
    history.add(delta(&release(7, 0..0), second, &["r-400"]));
    let complete = {
        let mut complete = release(9, 0..300);
        complete.routes[7] = Route {
            service: "others".into(),
            ..route(7, Repeat::Never)
        };
        complete
    };
    let missed = history.since(5).expect("the difference is stored");
    let (step, _) = fetch(&base, |index| {
        ReleasePart::of_delta(&missed, &complete, index)
    });
    let FetchStep::Fetched { release, .. } = step else {
        panic!("{step:?}");
    };
    assert_eq!(names(&release), names(&complete));
    let changed = release.routes.iter().find(|route| &*route.name == "r-7");
    assert_eq!(changed, Some(&complete.routes[7]));
    assert_eq!(history.since(6), None);
    assert!(history.since(7).is_some());
}

#[test]
fn a_difference_to_another_release_is_not_applied() {
    let base = release(5, 0..300);
    let complete = release(9, 0..301);
    let fitting = delta(&base, release(9, 300..301), &[]);
    let apply = |own: &Release| {
        let part = |index| ReleasePart::of_delta(&fitting, &complete, index);
        fetch(own, part).0
    };
    assert!(matches!(apply(&base), FetchStep::Fetched { .. }));
    assert_eq!(apply(&release(4, 0..300)), FetchStep::Unusable);
    // The same number with other contents.
    assert_eq!(apply(&release(5, 0..299)), FetchStep::Unusable);
    let with_customers = Release {
        customers: Some(vec![customer("x")]),
        ..base.clone()
    };
    assert_eq!(apply(&with_customers), FetchStep::Unusable);
}

#[test]
fn a_large_difference_is_not_stored() {
    let mut history = ReleaseHistory::default();
    let base = release(5, 0..10);
    history.add(delta(&base, release(7, 10..2_500), &[]));
    assert_eq!(history.since(5), None);
}

#[test]
fn a_peer_that_does_not_answer_is_replaced_and_a_reachable_registry_goes_first() {
    let mut fetch = ReleaseFetch::default();
    let (a, b): (Arc<str>, Arc<str>) = ("a".into(), "b".into());
    let mut rng = rng();
    fetch.record_peer(0, &a, 9, 5);
    fetch.record_peer(0, &b, 9, 5);
    let reachable = FetchTerms {
        own_number: 5,
        is_registry_reachable: true,
    };
    assert_eq!(fetch.next_request(0, reachable, |_| true, &mut rng), None);
    let first = fetch.next_request(SECOND_US, reachable, |_| true, &mut rng);
    let first = first.expect("the registry has not delivered the release");
    assert!(!first.request.accepts_complete);
    assert_eq!(
        fetch.next_request(SECOND_US + 1, terms(5), |_| true, &mut rng),
        None
    );
    let second = fetch.next_request(2 * SECOND_US, terms(5), |_| true, &mut rng);
    let second = second.expect("the first peer does not answer");
    assert_ne!(first.to, second.to);
    assert!(second.request.accepts_complete);
    // The release has come from the registry.
    assert_eq!(
        fetch.next_request(3 * SECOND_US, terms(9), |_| true, &mut rng),
        None
    );
}

#[test]
fn a_refused_release_is_fetched_from_other_peers_only() {
    let mut fetch = ReleaseFetch::default();
    let (a, b): (Arc<str>, Arc<str>) = ("a".into(), "b".into());
    let mut rng = rng();
    let mut next = |fetch: &mut ReleaseFetch, at_s: u64| {
        let request = fetch.next_request(at_s * SECOND_US, terms(5), |_| true, &mut rng);
        request.map(|request| request.to)
    };
    fetch.record_peer(0, &a, 9, 5);
    assert_eq!(next(&mut fetch, 0), Some(a.clone()));
    fetch.record_refused(&a, 9);
    fetch.record_peer(SECOND_US, &a, 9, 5);
    assert_eq!(next(&mut fetch, 1), None);
    fetch.record_peer(2 * SECOND_US, &b, 9, 5);
    assert_eq!(next(&mut fetch, 2), Some(b.clone()));
    fetch.record_refused(&b, 9);
    assert_eq!(next(&mut fetch, 10), None);
    fetch.record_peer(11 * SECOND_US, &a, 11, 5);
    assert_eq!(next(&mut fetch, 11), Some(a));
}
