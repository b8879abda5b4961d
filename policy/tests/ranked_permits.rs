//! Decisions of a permit ledger on requests that differ in priority and customer.

use std::collections::BTreeMap;
use std::sync::Arc;

use policy::limits::Ownership;
use policy::limits::PermitLedger;
use policy::limits::PermitParams;
use policy::limits::PermitRank;

const MS_US: u64 = 1_000;
const PARAMS: PermitParams = PermitParams {
    left_ms: 2_500,
    work_ms: 300,
    slots: 4,
    untracked: 0,
    rate_limit_milli: None,
};
const OWNERSHIP: Ownership = Ownership {
    owned_us: 10_000_000,
    reachable_share: 1.0,
};

/// A ledger, and the requests that hold its permits.
#[derive(Default)]
struct Client {
    ledger: PermitLedger,
    requested: u64,
    held: Vec<(u64, u64)>,
}

impl Client {
    fn holder() -> Arc<str> {
        "i1".into()
    }

    fn request(&mut self, now_us: u64, priority: u8, customer: &str) -> bool {
        self.request_with(now_us, priority, customer, PARAMS)
    }

    fn request_with(
        &mut self,
        now_us: u64,
        priority: u8,
        customer: &str,
        params: PermitParams,
    ) -> bool {
        while self
            .held
            .first()
            .is_some_and(|(end_us, _)| *end_us <= now_us)
        {
            let (_, number) = self.held.remove(0);
            self.ledger.release(&Self::holder(), number);
        }
        self.requested += 1;
        let rank = PermitRank {
            priority,
            customer: customer.into(),
        };
        let permit = (&Self::holder(), self.requested);
        let decision = self
            .ledger
            .request_ranked(now_us, permit, params, OWNERSHIP, Some(&rank));
        if decision.is_permitted {
            // Each permit is held for the time that a target with four slots needs per request.
            let last_us = self.held.last().map_or(now_us, |(end_us, _)| *end_us);
            self.held
                .push((last_us.max(now_us) + 75 * MS_US, self.requested));
        }
        decision.is_permitted
    }

    fn fill(&mut self, now_us: u64, priority: u8) {
        while self.request(now_us, priority, "a") {}
    }
}

#[test]
fn urgent_requests_get_room_that_less_urgent_ones_leave() {
    let mut client = Client::default();
    client.fill(0, 1);
    assert!(client.request(MS_US, 0, "b"));
    while client.request(MS_US, 0, "b") {}
    // A place becomes free every 75 ms.
    assert!(!client.request(80 * MS_US, 1, "a"));
    assert!(client.request(81 * MS_US, 0, "b"));
}

#[test]
fn urgent_requests_leave_no_room_for_less_urgent_ones() {
    let mut client = Client::default();
    client.fill(0, 0);
    assert!(!client.request(MS_US, 1, "b"));
    assert!(client.request(80 * MS_US, 0, "a"));
}

#[test]
fn room_is_left_only_for_a_while() {
    let mut client = Client::default();
    client.fill(0, 1);
    while client.request(MS_US, 0, "b") {}
    // Of ten permits, one has ended every 75 ms; a queue of five behind four slots is permitted.
    assert!(!client.request(155 * MS_US, 1, "a"));
    let granted = (0..10).filter(|_| client.request(510 * MS_US, 1, "a"));
    assert_eq!(granted.count(), 5);
}

/// Guards against slots that are idle because their requests wait for more urgent ones.
#[test]
fn no_slot_is_left_idle() {
    let mut client = Client::default();
    client.fill(0, 1);
    while client.request(MS_US, 0, "b") {}
    // At 2 s all have ended; a denial of the urgent one keeps its room.
    let late = PermitParams {
        left_ms: 300,
        ..PARAMS
    };
    for number in 0..4 {
        assert!(client.request_with(2_000 * MS_US, 1, "a", late), "{number}");
    }
}

/// Requests of each kind at a fixed interval; returns the share of each that is granted.
fn play(kinds: &[(u8, &str, u64)]) -> BTreeMap<(u8, String), f64> {
    let mut client = Client::default();
    let mut counts: BTreeMap<(u8, String), (f64, f64)> = BTreeMap::new();
    for now_ms in 0..60_000 {
        for (priority, customer, interval_ms) in kinds {
            if now_ms % interval_ms != 0 {
                continue;
            }
            let is_permitted = client.request(now_ms * MS_US, *priority, customer);
            let key = (*priority, (*customer).to_owned());
            let (granted, requested) = counts.entry(key).or_default();
            *requested += 1.0;
            *granted += f64::from(u8::from(is_permitted));
        }
    }
    let share = |(granted, requested): (f64, f64)| granted / requested;
    counts
        .into_iter()
        .map(|(key, counts)| (key, share(counts)))
        .collect()
}

/// A target serves 13 requests per second; each kind alone asks for 10.
#[test]
fn urgent_kinds_are_served_more_often_and_others_at_least_a_quarter() {
    let shares = play(&[(0, "a", 101), (1, "a", 103), (2, "a", 107)]);
    println!("{shares:?}");
    let shares: Vec<f64> = shares.into_values().collect();
    let whole = shares.iter().sum::<f64>() / 3.0;
    assert!(shares[0] > 0.7, "{shares:?}");
    assert!(shares.is_sorted_by(|a, b| a + 0.05 >= *b), "{shares:?}");
    assert!(
        shares.iter().all(|share| *share >= whole / 4.0),
        "{shares:?}"
    );
}

/// Guards against a customer whose burst takes the places of all others.
#[test]
fn a_bursting_customer_leaves_room_for_others() {
    let shares = play(&[(1, "bursting", 27), (1, "b", 401), (1, "c", 409)]);
    println!("{shares:?}");
    let of = |customer: &str| shares[&(1, customer.to_owned())];
    assert!(
        of("b") > of("bursting") && of("c") > of("bursting"),
        "{shares:?}"
    );
    assert!(of("bursting") > 0.2, "{shares:?}");
}
