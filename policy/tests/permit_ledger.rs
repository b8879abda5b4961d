//! Who may send to a target of a crowded service, by its book.

use std::sync::Arc;

use policy::limits::PermitLedger;
use policy::limits::PermitParams;

const SLOTS: u32 = 6;
const SECOND_US: u64 = 1_000_000;
const HURRIED: PermitParams = PermitParams {
    left_ms: 900,
    work_ms: 500,
    slots: SLOTS,
    untracked: 0,
};
const PATIENT: PermitParams = PermitParams {
    left_ms: 6_000,
    ..HURRIED
};

/// A book, and an instance that asks it.
#[derive(Default)]
struct Desk {
    ledger: PermitLedger,
    asked: u64,
}

impl Desk {
    fn holder() -> Arc<str> {
        "edge-devin-1".into()
    }

    fn ask(&mut self, now_us: u64, need: PermitParams) -> bool {
        self.asked += 1;
        self.ledger
            .ask(now_us, (&Self::holder(), self.asked), need)
            .0
    }

    /// Asks until it is denied.
    fn fill(&mut self, now_us: u64, need: PermitParams) -> u32 {
        (0..).take_while(|_| self.ask(now_us, need)).count() as u32
    }

    fn end_all(&mut self) {
        for number in 0..=self.asked {
            self.ledger.end(&Self::holder(), number);
        }
    }
}

#[test]
fn no_queue_grows_beyond_the_shortest_deadline_asked_for() {
    let mut desk = Desk::default();
    assert!(desk.ask(0, HURRIED));
    let patient = 1 + desk.fill(0, PATIENT);
    // Work of 500 ms behind a third of a round ends within 900 ms.
    assert!((SLOTS..=SLOTS + 2).contains(&patient), "{patient}");
}

#[test]
fn callers_that_cannot_come_back_find_room_where_others_find_none() {
    let mut desk = Desk::default();
    desk.fill(0, PATIENT);
    assert!(desk.ask(0, HURRIED));
    let too_late = PermitParams {
        left_ms: 550,
        ..HURRIED
    };
    assert!(!desk.ask(0, too_late));
}

#[test]
fn a_queue_may_be_long_where_nobody_is_in_a_hurry() {
    let mut desk = Desk::default();
    for second in 0..12 {
        assert!(desk.ask(second * SECOND_US, PATIENT));
        desk.end_all();
    }
    let in_flight = desk.fill(12 * SECOND_US, PATIENT);
    assert!(in_flight > 4 * SLOTS, "{in_flight}");
}

#[test]
fn an_end_that_is_never_told_takes_a_slot_no_longer_than_the_deadline() {
    let mut desk = Desk::default();
    let of_two_seconds = PermitParams {
        left_ms: 2_000,
        ..PATIENT
    };
    desk.fill(0, of_two_seconds);
    assert!(!desk.ask(2 * SECOND_US - 1, PATIENT));
    assert!(desk.ask(2 * SECOND_US, PATIENT));
}

#[test]
fn requests_without_a_permit_are_counted_and_soon_forgotten() {
    let mut desk = Desk::default();
    let with_strays = PermitParams {
        untracked: 20,
        ..PATIENT
    };
    assert!(!desk.ask(0, with_strays));
    assert!(!desk.ledger.ask(0, (&"other".into(), 1), PATIENT).0);
    assert!(desk.ledger.ask(SECOND_US, (&"other".into(), 2), PATIENT).0);
}

#[test]
fn an_instance_that_is_gone_holds_nothing() {
    let mut desk = Desk::default();
    desk.fill(0, PATIENT);
    desk.ledger.gone(&Desk::holder());
    assert!(desk.ask(0, PATIENT));
}
