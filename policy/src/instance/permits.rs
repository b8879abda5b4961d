//! Permits to send requests to targets of overloaded services.
//!
//! The owner of a target, the instance ranked highest by rendezvous hash, holds the ledger
//! of its permits. A request obtains a permit before it is sent and releases it when it
//! has ended. Ledgers are neither persisted nor handed over: a new owner starts with an
//! empty one. Permits that it has not recorded, and those whose release was lost, end at
//! the deadlines of their requests. An owner that does not answer is sent no permit requests for
//! a while.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Action;
use super::Instance;
use super::LogEvent;
use super::Message;
use super::ranked_owners::RankedOwners;
use crate::limits::HeldPermit;
use crate::limits::Ownership;
use crate::limits::PermitDecision;
use crate::limits::PermitLedger;
use crate::limits::PermitParams;
use crate::limits::PermitRank;

/// Time limit for an owner's answer, in microseconds: the longest round trip in the
/// users' network data plus the 100 ms for which a process that has used up its CPU quota
/// is throttled.
pub const PERMIT_TIMEOUT_US: u64 = 125_000;
/// Consecutive unanswered permit requests from which an owner counts as unresponsive: more
/// than one, since a single message may get lost.
const MAX_UNANSWERED: u32 = 2;
/// Time for which an unresponsive owner is sent no permit requests, in microseconds.
const UNRESPONSIVE_OWNER_PAUSE_US: u64 = 1_000_000;
/// Time after which an instance asks again for a permit that it has requested from an instance
/// that does not own the target, in milliseconds: the views of the fleet agree by then.
const NOT_OWNER_WAIT_MS: u32 = 250;
/// Time after which unanswered permit requests no longer count, in microseconds.
const UNANSWERED_EXPIRY_US: u64 = 10_000_000;

/// A request for a permit to send a request to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitRequest {
    /// Number that identifies the permit in the answer and in its release.
    pub number: u64,
    /// Name of the target.
    pub target: Arc<str>,
    /// Time left until the request's deadline, in microseconds.
    pub left_us: u64,
    /// Priority and customer; `None` if the requests of the service do not differ in priority.
    pub rank: Option<PermitRank>,
}

/// Answer to a permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitAnswer {
    /// The request may be sent.
    Permitted {
        /// Requests in flight to the target before this one.
        in_flight: u32,
    },
    /// The request would not complete before its deadline, or only at the expense of others, or
    /// the target's rate limit does not allow it.
    Denied {
        /// Requests in flight to the target before this one.
        in_flight: u32,
        /// Time after which the target's rate limit may allow a request, in milliseconds; 0 if it
        /// is not the reason.
        wait_ms: u32,
    },
    /// No decision: the owner is unresponsive or did not answer in time, or the target is not
    /// in the configuration.
    Unknown,
}

#[derive(Clone, Debug)]
struct PendingPermit {
    /// The owner that was asked, or that has the permit in its ledger; `None` if it has lost the
    /// ledger.
    owner: Option<Arc<str>>,
    target: Arc<str>,
    /// Deadline of the request, in microseconds.
    expires_us: u64,
    is_answered: bool,
    /// Whether the request stated its priority.
    is_ranked: bool,
}

/// Permits of this instance's requests, and the ledgers of the targets that it owns.
#[derive(Debug, Default)]
pub(super) struct Permits {
    pending: BTreeMap<u64, PendingPermit>,
    ledgers: BTreeMap<Arc<str>, PermitLedger>,
    /// Number of consecutive permit requests that each owner has not answered, and when the
    /// last one timed out.
    unanswered: BTreeMap<Arc<str>, (u32, u64)>,
    /// Owners that answer requests with a priority.
    ranked_owners: RankedOwners,
}

impl Permits {
    /// Counts the permits for a target that were requested from an owner or are registered there.
    fn count_for_target(&self, target: &str, owner: &Arc<str>) -> u32 {
        let pending = self.pending.values();
        let is_counted = |pending: &&PendingPermit| {
            *pending.target == *target && pending.owner.as_ref() == Some(owner)
        };
        pending.filter(is_counted).count() as u32
    }

    /// Records that an owner has lost its ledgers.
    pub(super) fn forget_owner(&mut self, owner: &str) {
        self.ranked_owners.forget(owner);
        for permit in self.pending.values_mut() {
            if permit.owner.as_deref() == Some(owner) {
                permit.owner = None;
            }
        }
    }

    fn is_unresponsive(&self, now_us: u64, owner: &str) -> bool {
        let unanswered = self.unanswered.get(owner);
        unanswered.is_some_and(|(count, at_us)| {
            *count >= MAX_UNANSWERED && now_us.saturating_sub(*at_us) < UNRESPONSIVE_OWNER_PAUSE_US
        })
    }

    /// Drops empty ledgers and expired records of unresponsive owners.
    pub(super) fn tick(&mut self, now_us: u64) {
        self.ledgers
            .retain(|_, ledger| !ledger.remove_expired(now_us));
        let is_recent = |at_us: u64| now_us.saturating_sub(at_us) < UNANSWERED_EXPIRY_US;
        self.unanswered.retain(|_, (_, at_us)| is_recent(*at_us));
    }

    /// Drops the permits of an instance that has left or died.
    pub(super) fn remove_instance(&mut self, instance: &str) {
        self.ranked_owners.forget(instance);
        for ledger in self.ledgers.values_mut() {
            ledger.remove_holder(instance);
        }
    }
}

impl Instance {
    /// Requests a permit from the owner of a target.
    pub(super) fn request_permit(&mut self, now_us: u64, request: PermitRequest) {
        let PermitRequest {
            number,
            target,
            left_us,
            rank,
        } = request;
        let owner = self.owners.of(&target, &self.membership).into_iter().next();
        let configured = self.note_log.configuration().targets.get(&target).cloned();
        let (Some(owner), Some(configured)) = (owner, configured) else {
            self.push_permit_answer(number, PermitAnswer::Unknown);
            return;
        };
        if self.permits.is_unresponsive(now_us, &owner) {
            self.push_permit_answer(number, PermitAnswer::Unknown);
            return;
        }
        let load = self.table_builder.load_of(&configured);
        let in_flight = load.in_flight();
        // The request that needs the permit already counts as in flight.
        let untracked =
            in_flight.saturating_sub(self.permits.count_for_target(&target, &owner) + 1);
        let service = self.routing_table.services.get(&configured.service);
        let overload = service.map(|service| &service.load.overload);
        let ms = |time_us: u64| (time_us / 1_000) as u32;
        let params = PermitParams {
            left_ms: ms(left_us),
            work_ms: overload.map_or(0, |overload| ms(overload.work_us())),
            slots: configured.slots,
            untracked,
            rate_limit_milli: load.rate_limit_milli(),
        };
        let rank = rank.filter(|_| self.permits.ranked_owners.may_ask(now_us, &owner));
        let pending = PendingPermit {
            is_ranked: rank.is_some(),
            owner: Some(owner.clone()),
            target: target.clone(),
            expires_us: now_us + left_us,
            is_answered: false,
        };
        self.permits.pending.insert(number, pending);
        let message = match rank {
            Some(PermitRank { priority, customer }) => Message::RequestRankedPermit {
                target,
                number,
                params,
                priority,
                customer,
            },
            None => Message::RequestPermit {
                target,
                number,
                params,
            },
        };
        self.send(now_us, &owner, message);
    }

    /// Releases the permit of a request that has ended or no longer waits for an answer.
    pub(super) fn release_permit(&mut self, now_us: u64, number: u64, is_timed_out: bool) {
        let Some(pending) = self.permits.pending.remove(&number) else {
            return;
        };
        let Some(owner) = pending.owner else {
            return;
        };
        // The owner may be of a build that does not know the message.
        let is_trial = pending.is_ranked && !self.permits.ranked_owners.answers(&owner);
        if is_timed_out && !pending.is_answered && is_trial {
            self.actions
                .push(Action::Log(LogEvent::RankedPermitUnanswered {
                    owner: owner.clone(),
                }));
        } else if is_timed_out && !pending.is_answered {
            let unanswered = &mut self.permits.unanswered;
            let (count, at_us) = unanswered.entry(owner.clone()).or_default();
            (*count, *at_us) = (*count + 1, now_us);
            if *count >= MAX_UNANSWERED {
                self.permits.ranked_owners.forget(&owner);
            }
        }
        let message = Message::ReleasePermit {
            target: pending.target,
            number,
        };
        self.send(now_us, &owner, message);
    }

    /// Answers a permit request as the owner of a target.
    pub(super) fn answer_permit_request(
        &mut self,
        now_us: u64,
        (from, number): (&Arc<str>, u64),
        target: Arc<str>,
        params: PermitParams,
        rank: Option<&PermitRank>,
    ) {
        let decision = self.decide_on_permit(now_us, (from, number), target, params, rank);
        let message = Message::PermitAnswer {
            number,
            is_permitted: decision.is_permitted,
            in_flight: decision.in_flight,
            wait_ms: decision.wait_ms,
        };
        self.send(now_us, from, message);
    }

    fn decide_on_permit(
        &mut self,
        now_us: u64,
        (holder, number): (&Arc<str>, u64),
        target: Arc<str>,
        mut params: PermitParams,
        rank: Option<&PermitRank>,
    ) -> PermitDecision {
        let own_limit_milli = self.rate_limit_of(&target);
        let limits_milli = own_limit_milli.into_iter().chain(params.rate_limit_milli);
        params.rate_limit_milli = limits_milli.min();
        let owners = self.owners.of(&target, &self.membership);
        let is_owner = owners.first() == Some(&self.membership.own().id);
        if params.rate_limit_milli.is_some() && !is_owner {
            // The requesting instance sees other instances than this one. Two that grant at the
            // same time would exceed the limit.
            return PermitDecision {
                is_permitted: false,
                in_flight: 0,
                wait_ms: NOT_OWNER_WAIT_MS,
            };
        }
        let since_us = self.members_changed_us.unwrap_or(now_us);
        let ownership = Ownership {
            owned_us: now_us.saturating_sub(since_us),
            reachable_share: self.membership.reachable_share(),
        };
        let ledger = self.ledger_of(target);
        ledger.request_ranked(now_us, (holder, number), params, ownership, rank)
    }

    /// Registers the permits of this instance with the present owners of their targets, where
    /// these are not the instances that granted them.
    pub(super) fn register_permits(&mut self, now_us: u64) {
        let mut moved: BTreeMap<(Arc<str>, Arc<str>), Vec<HeldPermit>> = BTreeMap::new();
        for (number, permit) in &mut self.permits.pending {
            if !permit.is_answered {
                continue;
            }
            let owners = self.owners.of(&permit.target, &self.membership);
            let Some(owner) = owners.into_iter().next() else {
                continue;
            };
            if permit.owner.as_ref() == Some(&owner) {
                continue;
            }
            permit.owner = Some(owner.clone());
            let held = HeldPermit {
                number: *number,
                left_ms: (permit.expires_us.saturating_sub(now_us) / 1_000) as u32,
            };
            let target = permit.target.clone();
            moved.entry((target, owner)).or_default().push(held);
        }
        for ((target, owner), permits) in moved {
            self.actions.push(Action::Log(LogEvent::OwnerChanged {
                target: target.clone(),
                owner: owner.clone(),
                permits: permits.len(),
            }));
            self.send(now_us, &owner, Message::RegisterPermits { target, permits });
        }
    }

    /// Adds the permits that a holder got from an earlier owner to the ledger of their target.
    pub(super) fn handle_registered_permits(
        &mut self,
        now_us: u64,
        from: &Arc<str>,
        target: Arc<str>,
        permits: &[HeldPermit],
    ) {
        let ledger = self.ledger_of(target);
        for permit in permits {
            ledger.register(now_us, from, *permit);
        }
    }

    /// The ledger of a target that this instance owns.
    fn ledger_of(&mut self, target: Arc<str>) -> &mut PermitLedger {
        if !self.permits.ledgers.contains_key(&target) {
            let target = target.clone();
            self.actions
                .push(Action::Log(LogEvent::LedgerStarted { target }));
        }
        self.permits.ledgers.entry(target).or_default()
    }

    /// Removes a released permit from the ledger of a target that this instance owns.
    pub(super) fn handle_permit_release(&mut self, from: &Arc<str>, target: &str, number: u64) {
        if let Some(ledger) = self.permits.ledgers.get_mut(target) {
            ledger.release(from, number);
        }
    }

    /// Passes the owner's answer on to the waiting request.
    pub(super) fn handle_permit_answer(
        &mut self,
        now_us: u64,
        from: &Arc<str>,
        number: u64,
        decision: PermitDecision,
    ) {
        let PermitDecision {
            is_permitted,
            in_flight,
            wait_ms,
        } = decision;
        let Some(pending) = self.permits.pending.get_mut(&number) else {
            return;
        };
        pending.is_answered = true;
        if pending.is_ranked {
            self.permits.ranked_owners.record_answer(from);
        }
        pending.owner = Some(from.clone());
        self.permits.unanswered.remove(from);
        let answer = match is_permitted {
            true => PermitAnswer::Permitted { in_flight },
            false => PermitAnswer::Denied { in_flight, wait_ms },
        };
        if !is_permitted
            && let Some(pending) = self.permits.pending.remove(&number)
            && wait_ms > 0
        {
            self.pause_limited_target(now_us, &pending.target, wait_ms);
        }
        self.push_permit_answer(number, answer);
    }

    fn push_permit_answer(&mut self, number: u64, answer: PermitAnswer) {
        self.actions.push(Action::Permit { number, answer });
    }
}
