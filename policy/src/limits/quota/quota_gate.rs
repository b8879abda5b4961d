//! The gate through which the requests of customers with a quota pass at one instance.
//!
//! Shared by the request path and the control loop. Without a recent answer of the owner nothing
//! is admitted on credit and no token is used, also after a freeze of the process: what the owner
//! has stated ends by the clock of this instance, counted from when the report was sent.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use model::configuration::Customer;
use model::configuration::Quota;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;

use super::FixedShare;
use super::QuotaTerms;

/// Time for which the statements of an answer hold from when its report was sent, in microseconds:
/// longer than the owner counts the instance, so that it is never counted and on its own at once.
pub const STATEMENT_TTL_US: u64 = 1_200_000;
/// Time for which granted tokens can be used from when they were wanted, in microseconds.
const TOKEN_TTL_US: u64 = 250_000;
/// Time without an answer up to which requests wait for another owner, in microseconds.
const OWNER_SEARCH_US: u64 = 3_000_000;
/// Part of its share that an instance uses before it has known any owner.
const NEW_PROCESS_SHARE: f64 = 0.75;
/// Time for which a request is refused if nothing better is known, in milliseconds.
const DEFAULT_RETRY_MS: u64 = 500;
const MICROS_PER_MILLI: u64 = 1_000;

/// What an instance reports about a customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaUse {
    /// Name of the customer.
    pub customer: Arc<str>,
    /// Requests admitted on credit since the process started.
    pub used: u64,
    /// Those of them that an owner has acknowledged.
    pub acknowledged: u64,
    /// Tokens that were not used in time, since the last report.
    pub returned: u32,
    /// Tokens wanted for waiting requests.
    pub wanted: u32,
}

/// What the owner answers about a customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaLease {
    /// Name of the customer.
    pub customer: Arc<str>,
    /// Whether requests need tokens.
    pub is_restricted: bool,
    /// Tokens granted.
    pub granted: u32,
    /// Time for which requests without a token are refused, in milliseconds.
    pub refuse_for_ms: u32,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The request may be sent.
    Admitted {
        /// Whether the owner must hear of it at once.
        is_report_due: bool,
    },
    /// The request needs an answer of the owner, or is refused after waiting for it.
    Ask {
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The quota is used up.
    Refused {
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
}

#[derive(Clone, Debug)]
struct CustomerGate {
    quota: Quota,
    /// Whether requests need tokens until an answer to a report sent later than this arrives.
    unconfirmed_since_us: Option<u64>,
    used: u64,
    acknowledged: u64,
    wanted: u32,
    tokens: u32,
    tokens_until_us: u64,
    /// Tokens to return with the next report.
    returned: u32,
    refused_until_us: u64,
    /// Tokens of requests that were handed to other instances, which count them.
    refunded: u32,
    refunded_until_us: u64,
    fixed_share: Option<FixedShare>,
}

impl CustomerGate {
    fn new(quota: Quota) -> Self {
        Self {
            quota,
            unconfirmed_since_us: None,
            used: 0,
            acknowledged: 0,
            wanted: 0,
            tokens: 0,
            tokens_until_us: 0,
            returned: 0,
            refused_until_us: 0,
            refunded: 0,
            refunded_until_us: 0,
            fixed_share: None,
        }
    }

    fn take_refunded(&mut self, now_us: u64) -> bool {
        if now_us >= self.refunded_until_us {
            self.refunded = 0;
        }
        let is_taken = self.refunded > 0;
        self.refunded = self.refunded.saturating_sub(1);
        is_taken
    }

    /// Sets tokens aside that were not used in time.
    fn expire_tokens(&mut self, now_us: u64) {
        if now_us >= self.tokens_until_us {
            self.returned += std::mem::take(&mut self.tokens);
        }
    }

    /// Requests admitted on credit that no owner has acknowledged.
    fn unreported(&self) -> u64 {
        self.used.saturating_sub(self.acknowledged)
    }

    fn credit(&self, instances: f64) -> u64 {
        QuotaTerms::of(&self.quota).credit(instances)
    }

    fn is_report_due(&self, instances: f64) -> bool {
        self.unreported() > 0 && 2 * self.unreported() >= self.credit(instances)
    }

    /// Adopts a changed quota. Requests need tokens until the owner has answered.
    fn change_quota(&mut self, now_us: u64, quota: Quota) {
        self.quota = quota;
        self.unconfirmed_since_us = Some(now_us);
        self.tokens = 0;
        self.refused_until_us = 0;
    }

    fn refused_for_ms(&self, now_us: u64) -> u64 {
        self.refused_until_us
            .saturating_sub(now_us)
            .div_ceil(MICROS_PER_MILLI)
    }

    fn admit_with_owner(
        &mut self,
        now_us: u64,
        instances: f64,
        is_restricted: bool,
    ) -> QuotaDecision {
        self.fixed_share = None;
        if self.tokens > 0 && now_us < self.tokens_until_us {
            self.tokens -= 1;
            return QuotaDecision::Admitted {
                is_report_due: false,
            };
        }
        let needs_token = is_restricted || self.unconfirmed_since_us.is_some();
        if !needs_token && self.unreported() < self.credit(instances) {
            self.used += 1;
            return QuotaDecision::Admitted {
                is_report_due: self.is_report_due(instances),
            };
        }
        match self.refused_for_ms(now_us) {
            0 => {
                self.wanted += 1;
                QuotaDecision::Ask {
                    retry_after_ms: DEFAULT_RETRY_MS,
                }
            }
            retry_after_ms => QuotaDecision::Refused { retry_after_ms },
        }
    }
}

#[derive(Debug, Default)]
struct GateState {
    customers: BTreeMap<Arc<str>, CustomerGate>,
    /// When the last report was sent that the owner has answered.
    stated_us: Option<u64>,
    /// Customers that the owner has restricted.
    restricted: BTreeSet<Arc<str>>,
    /// From when the number of instances is known.
    began_us: Option<u64>,
    instances: f64,
    /// Id of the instance.
    id: Arc<str>,
}

/// Gate of an instance.
#[derive(Debug, Default)]
pub struct QuotaGate {
    state: Mutex<GateState>,
    admitted: AtomicU64,
    refused: AtomicU64,
}

impl QuotaGate {
    /// Decides on a request.
    pub fn admit(&self, now_us: u64, customer: &Arc<Customer>) -> QuotaDecision {
        let Some(quota) = customer.quota else {
            return QuotaDecision::Admitted {
                is_report_due: false,
            };
        };
        if quota.rate_milli == 0 {
            return QuotaDecision::Refused {
                retry_after_ms: DEFAULT_RETRY_MS,
            };
        }
        let mut state = self.state.lock();
        let state = &mut *state;
        let instances = state.instances.max(1.0);
        let gate = state
            .customers
            .entry(customer.name.clone())
            .or_insert_with(|| CustomerGate::new(quota));
        if gate.quota != quota {
            gate.change_quota(now_us, quota);
        }
        if gate.take_refunded(now_us) {
            return QuotaDecision::Admitted {
                is_report_due: false,
            };
        }
        let stated_until_us = state.stated_us.map(|at_us| at_us + STATEMENT_TTL_US);
        if stated_until_us.is_some_and(|until_us| now_us < until_us) {
            let is_restricted = state.restricted.contains(&customer.name);
            return gate.admit_with_owner(now_us, instances, is_restricted);
        }
        let alone_since_us = stated_until_us.or(state.began_us).unwrap_or(now_us);
        let had_owner = stated_until_us.is_some();
        let fixed_share = gate.fixed_share.get_or_insert_with(|| {
            let weight = crate::rendezvous::weight(&state.id, &customer.name);
            let share = FixedShare::new(alone_since_us, weight as f64 / u64::MAX as f64);
            match had_owner {
                true => share.with_first_request(instances),
                false => share.with_first_request_of_process(),
            }
        });
        let terms = match (had_owner, state.began_us) {
            (true, _) => QuotaTerms::of(&quota).scaled(1.0 / instances),
            // A former process may have used its part in the same window.
            (false, Some(_)) => QuotaTerms::of(&quota).scaled(NEW_PROCESS_SHARE / instances),
            (false, None) => QuotaTerms::default(),
        };
        match fixed_share.take(now_us, terms) {
            Ok(()) => QuotaDecision::Admitted {
                is_report_due: false,
            },
            Err(wait_ms) => {
                let retry_after_ms = wait_ms.unwrap_or(DEFAULT_RETRY_MS);
                match now_us.saturating_sub(alone_since_us) < OWNER_SEARCH_US {
                    true => QuotaDecision::Ask { retry_after_ms },
                    false => QuotaDecision::Refused { retry_after_ms },
                }
            }
        }
    }

    /// Returns the token of a request that another instance counts; the next one uses it.
    pub fn refund(&self, now_us: u64, customer: &str) {
        if let Some(gate) = self.state.lock().customers.get_mut(customer) {
            gate.refunded += 1;
            gate.refunded_until_us = now_us + TOKEN_TTL_US;
        }
    }

    /// Counts a decided request.
    pub fn count(&self, is_admitted: bool) {
        let counter = match is_admitted {
            true => &self.admitted,
            false => &self.refused,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Requests admitted and refused.
    pub fn counts(&self) -> (u64, u64) {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        (load(&self.admitted), load(&self.refused))
    }

    /// Number of customers whose requests need tokens.
    pub fn restricted(&self) -> usize {
        self.state.lock().restricted.len()
    }

    /// Sets the id of the instance, the number of instances that share the quotas, and from when it
    /// is known; `None` while it is not.
    pub fn set_instances(&self, known_from_us: Option<u64>, id: &Arc<str>, instances: f64) {
        let mut state = self.state.lock();
        state.began_us = state.began_us.or(known_from_us);
        state.id = id.clone();
        state.instances = instances;
    }

    /// What is to report to the owner: all that it has not acknowledged, and wanted tokens.
    pub fn take_uses(&self, now_us: u64) -> Vec<QuotaUse> {
        let mut state = self.state.lock();
        for gate in state.customers.values_mut() {
            gate.expire_tokens(now_us);
        }
        let customers = state.customers.iter_mut();
        let reported = customers
            .filter(|(_, gate)| gate.unreported() > 0 || gate.wanted > 0 || gate.returned > 0);
        let uses = reported.map(|(customer, gate)| QuotaUse {
            customer: customer.clone(),
            used: gate.used,
            acknowledged: gate.acknowledged,
            returned: std::mem::take(&mut gate.returned),
            wanted: std::mem::take(&mut gate.wanted),
        });
        uses.collect()
    }

    /// Applies the answer to a report that was sent at `sent_us`. Customers that it does not name
    /// are unrestricted.
    pub fn apply_answer(
        &self,
        now_us: u64,
        sent_us: u64,
        reported: &[QuotaUse],
        leases: &[QuotaLease],
    ) {
        let mut state = self.state.lock();
        let state = &mut *state;
        if state.stated_us.is_none_or(|stated_us| stated_us <= sent_us) {
            state.stated_us = Some(sent_us);
            let restricted = leases.iter().filter(|lease| lease.is_restricted);
            state.restricted = restricted.map(|lease| lease.customer.clone()).collect();
        }
        // All waiting requests decide again and want their tokens anew.
        for gate in state.customers.values_mut() {
            gate.wanted = 0;
        }
        for reported in reported {
            if let Some(gate) = state.customers.get_mut(&reported.customer) {
                gate.acknowledged = gate.acknowledged.max(reported.used);
                let is_confirmed = |since_us: u64| since_us <= sent_us;
                if gate.unconfirmed_since_us.is_some_and(is_confirmed) {
                    gate.unconfirmed_since_us = None;
                }
            }
        }
        for lease in leases {
            let Some(gate) = state.customers.get_mut(&lease.customer) else {
                continue;
            };
            gate.expire_tokens(now_us);
            if lease.granted > 0 {
                gate.tokens += lease.granted;
                gate.tokens_until_us = sent_us + TOKEN_TTL_US;
            }
            if lease.refuse_for_ms > 0 {
                gate.refused_until_us = now_us + u64::from(lease.refuse_for_ms) * MICROS_PER_MILLI;
            }
        }
    }

    /// Restricts customers at once, as the owner has announced.
    pub fn restrict(&self, leases: &[QuotaLease]) {
        let mut state = self.state.lock();
        let restricted = leases.iter().filter(|lease| lease.is_restricted);
        let restricted = restricted.map(|lease| lease.customer.clone());
        state.restricted.extend(restricted);
    }

    /// Drops what an earlier owner has granted and refused.
    pub fn change_owner(&self) {
        for gate in self.state.lock().customers.values_mut() {
            gate.tokens = 0;
            gate.returned = 0;
            gate.refused_until_us = 0;
        }
    }

    /// Removes customers that have no quota any more.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.state.lock().customers.retain(|name, _| keep(name));
    }

    /// Whether requests were admitted on credit of which the owner has to hear at once.
    pub fn is_report_due(&self) -> bool {
        let state = self.state.lock();
        let mut customers = state.customers.values();
        customers.any(|gate| gate.is_report_due(state.instances))
    }
}
