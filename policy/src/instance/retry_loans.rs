//! Lending retries between instances.
//!
//! The retry budget of a service is divided among the instances, so that it holds however the
//! fleet is partitioned; but the requests that need a retry are not divided evenly. An instance
//! whose share is used up asks a few random peers, one after the other, for one of theirs. A
//! peer takes the retry out of its own budget before it answers, and the borrower uses it at
//! once or not at all, so the sum of all budgets never grows: a lost message, a restart or a
//! pause can only lose a retry.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::seq::IndexedRandom;

use super::Action;
use super::Instance;
use super::Message;

/// Peers asked for one retry.
const MAX_PEERS_ASKED: u8 = 3;
/// Share of its budget that an instance does not lend if the service has requests of several
/// priorities: the part that is left to its most urgent requests.
const KEPT_SHARE_OF_MIXED: f64 = 1.0 / 3.0;
/// Time after which an unanswered request to borrow is dropped, in microseconds.
const EXPIRY_US: u64 = 1_000_000;

#[derive(Clone, Debug)]
struct PendingLoan {
    service: Arc<str>,
    /// The peer asked last; `None` before the first one.
    peer: Option<Arc<str>>,
    peers_asked: u8,
    asked_us: u64,
}

/// Retries that this instance has asked its peers to lend.
#[derive(Debug, Default)]
pub(super) struct RetryLoans {
    pending: BTreeMap<u64, PendingLoan>,
}

impl RetryLoans {
    /// Drops requests that were not answered in time.
    pub(super) fn tick(&mut self, now_us: u64) {
        self.pending
            .retain(|_, loan| now_us.saturating_sub(loan.asked_us) < EXPIRY_US);
    }
}

impl Instance {
    /// Asks a peer to lend a retry for a request to a service.
    pub(super) fn borrow_retry(&mut self, now_us: u64, number: u64, service: Arc<str>) {
        let loan = PendingLoan {
            service,
            peer: None,
            peers_asked: 0,
            asked_us: now_us,
        };
        self.ask_for_retry(now_us, number, loan);
    }

    fn ask_for_retry(&mut self, now_us: u64, number: u64, mut loan: PendingLoan) {
        let peer = self.peer_ids.choose(&mut self.rng).cloned();
        let (Some(peer), true) = (peer, loan.peers_asked < MAX_PEERS_ASKED) else {
            let is_lent = false;
            self.actions.push(Action::RetryAnswer { number, is_lent });
            return;
        };
        loan.peers_asked += 1;
        loan.peer = Some(peer.clone());
        let service = loan.service.clone();
        self.retry_loans.pending.insert(number, loan);
        self.send(now_us, &peer, Message::BorrowRetry { service, number });
    }

    /// Lends a retry to a peer if the own budget has one.
    pub(super) fn lend_retry(
        &mut self,
        now_us: u64,
        to: &Arc<str>,
        service: &Arc<str>,
        number: u64,
    ) {
        let table = self.routing_table.services.get(service);
        let is_lent = table.is_some_and(|table| {
            let load = &table.load;
            // The borrower may be less urgent than the requests of this instance.
            let kept_share = match load.priorities.is_mixed() {
                true => KEPT_SHARE_OF_MIXED,
                false => 0.0,
            };
            load.retries.take_above(kept_share)
        });
        self.send(now_us, to, Message::RetryAnswer { number, is_lent });
    }

    /// Passes a borrowed retry to the request that waits for it, or asks the next peer.
    pub(super) fn handle_retry_answer(
        &mut self,
        now_us: u64,
        from: &Arc<str>,
        number: u64,
        is_lent: bool,
    ) {
        let pending = &mut self.retry_loans.pending;
        let is_expected = |loan: &PendingLoan| loan.peer.as_ref() == Some(from);
        if !pending.get(&number).is_some_and(is_expected) {
            return;
        }
        let Some(loan) = pending.remove(&number) else {
            return;
        };
        if is_lent {
            self.actions.push(Action::RetryAnswer { number, is_lent });
        } else {
            self.ask_for_retry(now_us, number, loan);
        }
    }
}
