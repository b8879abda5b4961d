//! The account of the owner and the gate of an instance.

use std::sync::Arc;

use model::configuration::Customer;
use model::configuration::Quota;
use policy::limits::QuotaAccount;
use policy::limits::QuotaDecision;
use policy::limits::QuotaGate;
use policy::limits::QuotaLease;
use policy::limits::QuotaTerms;
use policy::limits::STATEMENT_TTL_US;

const RATE_PER_S: u64 = 20;

fn quota() -> Quota {
    Quota {
        rate_milli: RATE_PER_S * 1_000,
        burst: 10,
    }
}

fn customer(quota: Quota) -> Arc<Customer> {
    Arc::new(Customer {
        quota: Some(quota),
        ..Customer::new("c".into(), 100)
    })
}

fn lease(granted: u32, refuse_for_ms: u32) -> QuotaLease {
    QuotaLease {
        customer: "c".into(),
        is_restricted: true,
        granted,
        refuse_for_ms,
    }
}

fn is_admitted(decision: QuotaDecision) -> bool {
    matches!(decision, QuotaDecision::Admitted { .. })
}

/// Guards against an owner that grants the part of instances that report elsewhere.
#[test]
fn an_account_accrues_the_share_that_reports_to_it() {
    let terms = QuotaTerms::of(&quota());
    let mut account = QuotaAccount::new(0);
    account.update(0, terms, 0.5, false);
    let before = account.balance();
    account.update(500_000, terms, 0.5, false);
    let accrued = account.balance() - before;
    assert!((accrued - 5.0).abs() < 0.01, "{accrued}");
    account.update(600_000, terms, 0.0, false);
    assert_eq!(account.grant(5).0, 0);
}

/// Guards against an owner that grants after a freeze what others have used meanwhile.
#[test]
fn a_freeze_accrues_a_bounded_time() {
    let terms = QuotaTerms::of(&Quota {
        rate_milli: 1_000,
        burst: 100,
    });
    let mut account = QuotaAccount::new(0);
    account.update(0, terms, 1.0, false);
    let before = account.balance();
    account.update(60_000_000, terms, 1.0, false);
    assert!(account.balance() - before <= 1.0);
}

/// Guards against a lowered limit that binds only after the former burst is used up.
#[test]
fn a_lowered_quota_caps_the_balance() {
    let mut account = QuotaAccount::new(0);
    account.update(0, QuotaTerms::of(&quota()), 1.0, true);
    let lowered = QuotaTerms::of(&Quota {
        rate_milli: 2_000,
        burst: 1,
    });
    account.update(1, lowered, 1.0, false);
    assert!(account.balance() <= lowered.capacity);
    assert_eq!(account.grant(1_000).0, lowered.capacity as u32);
    let closed = QuotaTerms::of(&Quota {
        rate_milli: 0,
        burst: 9,
    });
    account.update(2, closed, 1.0, false);
    assert_eq!(account.grant(1).0, 0);
    assert!(account.is_restricted());
}

/// Guards against requests on credit without end while no report is answered.
#[test]
fn credit_ends_without_an_acknowledgement() {
    let gate = QuotaGate::default();
    let customer = customer(quota());
    gate.set_instances(Some(0), &"i".into(), 3.0);
    gate.apply_answer(1, 1, &[], &[]);
    let admitted = (0..100).filter(|_| is_admitted(gate.admit(2, &customer)));
    let credit = QuotaTerms::of(&quota()).credit(3.0);
    assert_eq!(admitted.count() as u64, credit);
    let uses = gate.take_uses(3);
    gate.apply_answer(3, 2, &uses, &[]);
    assert!(is_admitted(gate.admit(4, &customer)));
}

/// Guards against a lease that is used after a freeze of the process.
#[test]
fn tokens_and_credit_lapse_by_the_clock_of_the_instance() {
    let gate = QuotaGate::default();
    let customer = customer(quota());
    gate.set_instances(Some(0), &"i".into(), 1_000.0);
    assert!(!is_admitted(gate.admit(1, &customer)));
    gate.apply_answer(1_000, 1_000, &[], &[lease(5, 0)]);
    assert!(is_admitted(gate.admit(2_000, &customer)));
    assert!(!is_admitted(gate.admit(2_000_000, &customer)));
    gate.apply_answer(2_000_000, 2_000_000, &[], &[]);
    let late_us = 2_000_000 + STATEMENT_TTL_US;
    assert!(is_admitted(gate.admit(late_us - 1, &customer)));
    assert!(!is_admitted(gate.admit(late_us + 100_000, &customer)));
}

/// Guards against asking the owner for each request of a customer over its quota.
#[test]
fn a_refusal_holds_for_its_time() {
    let gate = QuotaGate::default();
    let customer = customer(quota());
    gate.set_instances(Some(0), &"i".into(), 3.0);
    gate.apply_answer(0, 0, &[], &[lease(0, 0)]);
    assert!(matches!(
        gate.admit(1, &customer),
        QuotaDecision::Ask { .. }
    ));
    gate.apply_answer(10, 5, &[], &[lease(0, 300)]);
    let decision = gate.admit(100_010, &customer);
    assert_eq!(
        decision,
        QuotaDecision::Refused {
            retry_after_ms: 200
        }
    );
}

/// Guards against a changed limit that an instance ignores until its next report.
#[test]
fn a_changed_quota_is_confirmed_by_the_owner() {
    let gate = QuotaGate::default();
    gate.set_instances(Some(0), &"i".into(), 3.0);
    gate.apply_answer(0, 0, &[], &[]);
    assert!(is_admitted(gate.admit(1, &customer(quota()))));
    let lowered = Quota {
        rate_milli: 1_000,
        burst: 1,
    };
    let decision = gate.admit(2, &customer(lowered));
    assert!(
        matches!(decision, QuotaDecision::Ask { .. }),
        "{decision:?}"
    );
}

/// Guards against a request that two instances count.
#[test]
fn a_refunded_token_is_used_by_the_next_request() {
    let gate = QuotaGate::default();
    let customer = customer(quota());
    gate.set_instances(Some(0), &"i".into(), 3.0);
    gate.apply_answer(0, 0, &[], &[]);
    assert!(is_admitted(gate.admit(1, &customer)));
    gate.refund(2, "c");
    assert!(is_admitted(gate.admit(3, &customer)));
    assert_eq!(gate.take_uses(4)[0].used, 1);
}
