//! Decisions of a permit ledger on permit requests for one target of an overloaded service.

use std::sync::Arc;

use policy::limits::Ownership;
use policy::limits::PermitLedger;
use policy::limits::PermitParams;

const SLOTS: u32 = 6;
const SECOND_US: u64 = 1_000_000;
const SHORT_DEADLINE: PermitParams = PermitParams {
    left_ms: 900,
    work_ms: 500,
    slots: SLOTS,
    untracked: 0,
    rate_limit_milli: None,
};
const OWNERSHIP: Ownership = Ownership {
    owned_us: 10 * SECOND_US,
    reachable_share: 1.0,
};
const LONG_DEADLINE: PermitParams = PermitParams {
    left_ms: 6_000,
    ..SHORT_DEADLINE
};

/// A ledger, and an instance that requests permits from it.
#[derive(Default)]
struct LedgerClient {
    ledger: PermitLedger,
    requested: u64,
}

impl LedgerClient {
    fn holder() -> Arc<str> {
        "edge-devin-1".into()
    }

    fn request(&mut self, now_us: u64, params: PermitParams) -> bool {
        self.requested += 1;
        self.ledger
            .request(now_us, (&Self::holder(), self.requested), params, OWNERSHIP)
            .is_permitted
    }

    /// Requests permits until one is denied; returns the number granted.
    fn request_until_denied(&mut self, now_us: u64, params: PermitParams) -> u32 {
        (0..).take_while(|_| self.request(now_us, params)).count() as u32
    }

    fn release_all(&mut self) {
        for number in 0..=self.requested {
            self.ledger.release(&Self::holder(), number);
        }
    }
}

#[test]
fn queue_is_bounded_by_the_shortest_requested_deadline() {
    let mut client = LedgerClient::default();
    assert!(client.request(0, SHORT_DEADLINE));
    let long_deadline_permits = 1 + client.request_until_denied(0, LONG_DEADLINE);
    // Processing of 500 ms behind a queue of a third of the slots ends within 900 ms.
    assert!(
        (SLOTS..=SLOTS + 2).contains(&long_deadline_permits),
        "{long_deadline_permits}"
    );
}

#[test]
fn requests_that_cannot_retry_have_extra_capacity() {
    let mut client = LedgerClient::default();
    client.request_until_denied(0, LONG_DEADLINE);
    assert!(client.request(0, SHORT_DEADLINE));
    let too_late = PermitParams {
        left_ms: 550,
        ..SHORT_DEADLINE
    };
    assert!(!client.request(0, too_late));
}

#[test]
fn requests_that_can_retry_leave_room_after_the_denial_of_one_that_cannot() {
    let mut client = LedgerClient::default();
    client.request_until_denied(0, SHORT_DEADLINE);
    client.release_all();
    let with_room = client.request_until_denied(0, LONG_DEADLINE);
    assert!(client.request(0, SHORT_DEADLINE));
    client.release_all();
    let without = client.request_until_denied(SECOND_US, LONG_DEADLINE);
    assert!(with_room < without, "{with_room} and {without} permits");
}

#[test]
fn queue_may_be_long_while_all_deadlines_are_long() {
    let mut client = LedgerClient::default();
    for second in 0..12 {
        assert!(client.request(second * SECOND_US, LONG_DEADLINE));
        client.release_all();
    }
    let in_flight = client.request_until_denied(12 * SECOND_US, LONG_DEADLINE);
    assert!(in_flight > 4 * SLOTS, "{in_flight}");
}

#[test]
fn permit_without_a_release_expires_at_its_deadline() {
    let mut client = LedgerClient::default();
    let two_seconds_left = PermitParams {
        left_ms: 2_000,
        ..LONG_DEADLINE
    };
    client.request_until_denied(0, two_seconds_left);
    assert!(!client.request(2 * SECOND_US - 1, LONG_DEADLINE));
    assert!(client.request(2 * SECOND_US, LONG_DEADLINE));
}

#[test]
fn requests_without_a_permit_count_until_they_expire() {
    let mut client = LedgerClient::default();
    let with_untracked = PermitParams {
        untracked: 20,
        ..LONG_DEADLINE
    };
    assert!(!client.request(0, with_untracked));
    assert!(
        !client
            .ledger
            .request(0, (&"other".into(), 1), LONG_DEADLINE, OWNERSHIP)
            .is_permitted
    );
    assert!(
        client
            .ledger
            .request(SECOND_US, (&"other".into(), 2), LONG_DEADLINE, OWNERSHIP)
            .is_permitted
    );
}

#[test]
fn permits_of_a_removed_instance_are_released() {
    let mut client = LedgerClient::default();
    client.request_until_denied(0, LONG_DEADLINE);
    client.ledger.remove_holder(&LedgerClient::holder());
    assert!(client.request(0, LONG_DEADLINE));
}

const LIMIT_PER_S: u64 = 2;

/// Requests that a ledger grants in some seconds, if one is made every 10 ms and ends at once.
fn granted_over(seconds: u64, ownership: Ownership) -> usize {
    let limited = PermitParams {
        rate_limit_milli: Some(LIMIT_PER_S as u32 * 1_000),
        ..LONG_DEADLINE
    };
    let mut ledger = PermitLedger::default();
    let holder = LedgerClient::holder();
    let is_granted = |number: &u64| {
        let now_us = SECOND_US + number * 10_000;
        let decision = ledger.request(now_us, (&holder, *number), limited, ownership);
        ledger.release(&holder, *number);
        decision.is_permitted
    };
    (0..seconds * 100).filter(is_granted).count()
}

#[test]
fn rate_limit_of_the_target_is_granted_to_all_instances_together() {
    let granted = granted_over(10, OWNERSHIP) as u64;
    let named = 10 * LIMIT_PER_S;
    assert!((named..=named + 1).contains(&granted), "{granted}");
}

#[test]
fn new_owner_does_not_grant_what_the_one_before_it_may_have_granted() {
    let new_owner = Ownership {
        owned_us: 0,
        ..OWNERSHIP
    };
    assert!(granted_over(1, new_owner) < granted_over(1, OWNERSHIP));
}

#[test]
fn owner_that_reaches_half_of_the_fleet_grants_half_of_the_limit() {
    let half = Ownership {
        reachable_share: 0.5,
        ..OWNERSHIP
    };
    let granted = granted_over(10, half) as u64;
    assert!(granted <= 10 * LIMIT_PER_S / 2 + 1, "{granted}");
}
