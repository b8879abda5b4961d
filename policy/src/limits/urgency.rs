//! Order of the permit requests for one target, by urgency and by customer.
//!
//! A request leaves room while a more urgent one was denied a short time ago, or, at the same
//! priority, one of a customer that has got less. Neither holds for a priority or customer that is
//! served far less often than all: it competes on equal terms until it has caught up.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Time for which a denial is remembered, in microseconds: about the processing time, in which
/// slots become free for the next requests of its kind.
pub(super) const DENIAL_MEMORY_US: u64 = 500_000;
/// Half-life of the counts, in microseconds: a target gets a few requests per second, and bursts
/// last some seconds.
const HALF_LIFE_US: f64 = 3_000_000.0;
/// Granted share of a priority or customer, relative to that of all, below which it no longer leaves
/// room. Each is to get at least a quarter; the rest is a margin for the delay of the counts.
const STARVING_SHARE: f64 = 0.3;
/// Ratio of the shares of two priorities up to which the less urgent one leaves room although it
/// starves. With equal shares, the one with the longer objective would be served more often, as its
/// callers come back more often.
const SIMILAR_SHARES: f64 = 1.5;
/// Requests within the counts from which the shares mean something.
const MIN_REQUESTS: f64 = 2.0;
/// Permits within the counts by which a customer has to be ahead of another to leave room for it.
const CUSTOMER_LEAD: f64 = 2.0;
/// Count below which an entry is dropped.
const MIN_COUNT: f64 = 0.05;

/// Urgency of a request for a permit, and the customer on whose behalf it is made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRank {
    /// Priority, 0 being the most urgent.
    pub priority: u8,
    /// Name of the customer, or the address of a caller without one.
    pub customer: Arc<str>,
}

/// How a request stands to the others that ask for permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    /// It gets the room that others leave.
    Takes,
    /// Neither.
    Equal,
    /// It leaves room for others.
    Leaves,
}

/// Decaying counts of the requests of one priority or customer.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    requested: f64,
    granted: f64,
    updated_us: u64,
    /// When one was last denied, in microseconds, and its priority.
    denied: Option<(u64, u8)>,
}

impl Counts {
    fn at(&self, now_us: u64) -> Self {
        let elapsed_us = now_us.saturating_sub(self.updated_us) as f64;
        let decay = 0.5_f64.powf(elapsed_us / HALF_LIFE_US);
        Self {
            requested: self.requested * decay,
            granted: self.granted * decay,
            updated_us: now_us,
            denied: self.denied,
        }
    }

    fn count(&mut self, now_us: u64, priority: u8, is_permitted: bool) {
        *self = self.at(now_us);
        self.requested += 1.0;
        match is_permitted {
            true => self.granted += 1.0,
            false => self.denied = Some((now_us, priority)),
        }
    }

    fn granted_share(&self) -> f64 {
        self.granted / self.requested.max(f64::MIN_POSITIVE)
    }

    fn is_starving_among(&self, all: &Self) -> bool {
        self.requested >= MIN_REQUESTS
            && self.granted * all.requested < STARVING_SHARE * all.granted * self.requested
    }

    /// Whether a request at least as urgent as `priority` was denied a short time ago.
    fn has_denied(&self, now_us: u64, priority: u8) -> bool {
        self.denied.is_some_and(|(denied_us, denied_priority)| {
            denied_priority <= priority && now_us.saturating_sub(denied_us) < DENIAL_MEMORY_US
        })
    }
}

/// What the requests of each priority and customer have got at one target.
#[derive(Debug, Default)]
pub(super) struct Urgency {
    all: Counts,
    by_priority: BTreeMap<u8, Counts>,
    by_customer: BTreeMap<Arc<str>, Counts>,
}

impl Urgency {
    /// How a request stands to the others.
    pub(super) fn standing(&self, now_us: u64, rank: &PermitRank) -> Standing {
        let all = self.all.at(now_us);
        let at_present = |counts: Option<&Counts>| counts.map(|counts| counts.at(now_us));
        let own_priority = at_present(self.by_priority.get(&rank.priority));
        let own_customer = at_present(self.by_customer.get(&rank.customer));
        let is_starving =
            |counts: Option<Counts>| counts.is_some_and(|counts| counts.is_starving_among(&all));
        let is_starving_priority = is_starving(own_priority);
        if is_starving(own_customer) {
            return Standing::Takes;
        }
        // Of two priorities that starve, the less urgent one still leaves room.
        let own_share = match is_starving_priority {
            true => SIMILAR_SHARES * own_priority.map_or(0.0, |counts| counts.granted_share()),
            false => 1.0,
        };
        let mut more_urgent = self.by_priority.range(..rank.priority);
        if more_urgent.any(|(priority, counts)| {
            counts.has_denied(now_us, *priority) && counts.at(now_us).granted_share() <= own_share
        }) {
            return Standing::Leaves;
        }
        if is_starving_priority {
            return Standing::Takes;
        }
        let granted = own_customer.map_or(0.0, |counts| counts.granted);
        let mut others = self.by_customer.iter();
        let has_got_more = others.any(|(customer, counts)| {
            *customer != rank.customer
                && counts.has_denied(now_us, rank.priority)
                && counts.at(now_us).granted + CUSTOMER_LEAD <= granted
        });
        if has_got_more {
            return Standing::Leaves;
        }
        let above = (Bound::Excluded(rank.priority), Bound::Unbounded);
        let mut less_urgent = self.by_priority.range(above);
        let has_less_urgent =
            less_urgent.any(|(_, counts)| counts.at(now_us).requested >= MIN_REQUESTS);
        match has_less_urgent {
            true => Standing::Takes,
            false => Standing::Equal,
        }
    }

    /// Counts a decision.
    pub(super) fn count(&mut self, now_us: u64, rank: &PermitRank, is_permitted: bool) {
        self.all.count(now_us, rank.priority, is_permitted);
        let by_priority = self.by_priority.entry(rank.priority).or_default();
        by_priority.count(now_us, rank.priority, is_permitted);
        if !self.by_customer.contains_key(&rank.customer) {
            let is_present = |counts: &Counts| counts.at(now_us).requested > MIN_COUNT;
            self.by_customer.retain(|_, counts| is_present(counts));
        }
        let by_customer = self.by_customer.entry(rank.customer.clone()).or_default();
        by_customer.count(now_us, rank.priority, is_permitted);
    }
}
