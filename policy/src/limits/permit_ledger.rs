//! Admission control for one target of an overloaded service.
//!
//! One instance holds the ledger of a target for all instances, so that the bound on the target's
//! queue applies to the fleet and not to each instance. A request is permitted if the target has a
//! free slot, or a queue short enough for the shortest deadline. A request that has no time to
//! retry may wait slightly longer, and for a while after the denial of one the others leave it
//! some room. No request is permitted behind a queue that would make it miss its own deadline. A
//! denied request is refused before it is sent. Where requests have priorities, less urgent ones
//! leave the same room for more urgent ones.
//!
//! If the target names a rate limit, the ledger also counts the requests per second of all
//! instances against it.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::RateBucket;
use super::retry_after::FULL_RETRY_AFTER_MS;
use super::urgency::DENIAL_MEMORY_US;
use super::urgency::PermitRank;
use super::urgency::Standing;
use super::urgency::Urgency;

/// Share of the shortest deadline that queueing and processing may take.
const USABLE_DEADLINE_SHARE: f64 = 0.8;
/// Extra capacity for requests that cannot retry, as a share of the slots, as all others can
/// request a permit several times. It adds a wait of a third of the processing time.
const NO_RETRY_EXTRA_SHARE: f64 = 0.34;
/// Processing time assumed while it is unknown, in milliseconds.
const DEFAULT_WORK_MS: u32 = 500;
/// Window over which the shortest deadline is taken, in microseconds: target faults last 5 s or
/// more. The previous window is included.
const DEADLINE_WINDOW_US: u64 = 5_000_000;
/// Time after which a holder's count of requests without a permit expires, in microseconds: most
/// of these requests have ended by then.
const UNTRACKED_TTL_US: u64 = 1_000_000;

/// Time after which an unused rate bucket is dropped, in microseconds. A new one starts with what
/// accrues, so a target with few requests would otherwise begin with a denial each time.
const BUCKET_TTL_US: u64 = 60_000_000;

/// Parameters of a permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitParams {
    /// Time until the request's deadline, in milliseconds.
    pub left_ms: u32,
    /// Time a target takes to process a request, in milliseconds; 0 while unknown.
    pub work_ms: u32,
    /// Slots of the target.
    pub slots: u32,
    /// Requests that the requesting instance has at the target without a permit.
    pub untracked: u32,
    /// Requests per second that the target takes from all instances together, in thousandths;
    /// `None` if the requesting instance knows of no limit.
    pub rate_limit_milli: Option<u32>,
}

/// The owner of a ledger.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ownership {
    /// Time since which it has owned the target, at least, in microseconds.
    pub owned_us: u64,
    /// Share of the fleet's instances that it can reach. The others may have another owner.
    pub reachable_share: f64,
}

/// Decision on a permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitDecision {
    /// Whether the permit is granted.
    pub is_permitted: bool,
    /// Requests in flight to the target before this one.
    pub in_flight: u32,
    /// Time after which the target's rate limit may allow a request, in milliseconds; 0 if it is
    /// not the reason for a denial.
    pub wait_ms: u32,
}

impl PermitParams {
    /// Whether the request has no time for a retry after a refusal.
    fn cannot_retry(&self) -> bool {
        f64::from(self.left_ms) < FULL_RETRY_AFTER_MS + f64::from(self.work_ms())
    }

    /// Processing time, measured or assumed, in milliseconds.
    fn work_ms(&self) -> u32 {
        match self.work_ms {
            0 => DEFAULT_WORK_MS,
            measured => measured,
        }
    }

    /// Requests that can be at the target while a request with this deadline still meets it.
    fn max_in_flight(&self, deadline_ms: u32) -> f64 {
        let work_ms = f64::from(self.work_ms());
        let wait_ms = USABLE_DEADLINE_SHARE * f64::from(deadline_ms) - work_ms;
        f64::from(self.slots) * (1.0 + wait_ms.max(0.0) / work_ms)
    }

    /// Whether the request meets its own deadline if `in_flight` others are at the target.
    fn can_finish_behind(&self, in_flight: u32) -> bool {
        let work_ms = f64::from(self.work_ms());
        let queued = f64::from((in_flight + 1).saturating_sub(self.slots));
        queued < 1.0
            || (1.0 + queued / f64::from(self.slots.max(1))) * work_ms <= f64::from(self.left_ms)
    }
}

/// A permit as its holder knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldPermit {
    /// Number that the holder has given it.
    pub number: u64,
    /// Time until the request's deadline, in milliseconds.
    pub left_ms: u32,
}

/// Requests in flight to one target, by holder: the instance that sends them.
#[derive(Debug, Default)]
pub struct PermitLedger {
    /// Expiry of each permit, by holder and number.
    permits: BTreeMap<(Arc<str>, u64), u64>,
    /// Requests without a permit and the expiry of the count, by holder.
    untracked: BTreeMap<Arc<str>, (u32, u64)>,
    /// Shortest deadlines of requests in the current and the previous window, in milliseconds,
    /// and the start of the current window.
    shortest_deadlines: Option<(u32, u32, u64)>,
    /// When a request that cannot retry was last denied, in microseconds, and its priority.
    no_retry_denied: Option<(u64, Option<u8>)>,
    /// What requests with a priority have got.
    urgency: Urgency,
    /// Requests that the rate limit of the target allows.
    rate_bucket: Option<RateBucket>,
}

impl PermitLedger {
    /// Decides on a permit for a request without a priority.
    pub fn request(
        &mut self,
        now_us: u64,
        permit: (&Arc<str>, u64),
        params: PermitParams,
        ownership: Ownership,
    ) -> PermitDecision {
        self.request_ranked(now_us, permit, params, ownership, None)
    }

    /// Decides on a permit, with regard to the priority and the customer of the request.
    pub fn request_ranked(
        &mut self,
        now_us: u64,
        (holder, number): (&Arc<str>, u64),
        params: PermitParams,
        ownership: Ownership,
        rank: Option<&PermitRank>,
    ) -> PermitDecision {
        self.remove_expired(now_us);
        match params.untracked {
            0 => drop(self.untracked.remove(holder)),
            count => drop(
                self.untracked
                    .insert(holder.clone(), (count, now_us + UNTRACKED_TTL_US)),
            ),
        }
        let untracked: u32 = self.untracked.values().map(|(count, _)| count).sum();
        let in_flight = self.permits.len() as u32 + untracked;
        let deadline_ms = self.shortest_deadline_ms(now_us, params);
        let reserved = NO_RETRY_EXTRA_SHARE * f64::from(params.slots);
        let priority = rank.map(|rank| rank.priority);
        let standing = rank.map(|rank| self.urgency.standing(now_us, rank));
        let leaves_room = standing == Some(Standing::Leaves);
        let extra = match params.cannot_retry() {
            _ if leaves_room => -reserved,
            _ if standing == Some(Standing::Takes) => reserved,
            true => reserved,
            false if self.has_denied_no_retry(now_us, priority) => -reserved,
            false => 0.0,
        };
        let mut max_in_flight = params.max_in_flight(deadline_ms) + extra;
        // Room is left in the queue of the target; a slot would be idle until it is used.
        if leaves_room {
            max_in_flight = max_in_flight.max(f64::from(params.slots));
        }
        let has_room =
            f64::from(in_flight + 1) <= max_in_flight && params.can_finish_behind(in_flight);
        let wait_ms = match (has_room, params.rate_limit_milli) {
            (true, Some(limit_milli)) => self.wait_for_rate_ms(now_us, limit_milli, ownership),
            _ => 0,
        };
        let is_permitted = has_room && wait_ms == 0;
        let could_be_served = params.left_ms >= params.work_ms();
        if !is_permitted && params.cannot_retry() && could_be_served {
            self.no_retry_denied = Some((now_us, priority));
        }
        // A request that cannot be served in any case is owed no room.
        if let Some(rank) = rank.filter(|_| could_be_served) {
            self.urgency.count(now_us, rank, is_permitted);
        }
        if is_permitted {
            let expires_us = now_us + u64::from(params.left_ms) * 1_000;
            self.permits.insert((holder.clone(), number), expires_us);
        }
        PermitDecision {
            is_permitted,
            in_flight,
            wait_ms,
        }
    }

    /// Takes a request from what the rate limit allows; returns the time until it allows one, in
    /// milliseconds, 0 if it does now.
    fn wait_for_rate_ms(&mut self, now_us: u64, limit_milli: u32, ownership: Ownership) -> u32 {
        let new_bucket = || RateBucket::new(now_us, ownership.owned_us);
        let bucket = self.rate_bucket.get_or_insert_with(new_bucket);
        let rate_per_s = f64::from(limit_milli) / 1e3 * ownership.reachable_share;
        bucket.take(now_us, rate_per_s).err().unwrap_or(0)
    }

    /// Whether a request that cannot retry, and is at least as urgent, was denied a short time ago.
    fn has_denied_no_retry(&self, now_us: u64, priority: Option<u8>) -> bool {
        self.no_retry_denied
            .is_some_and(|(denied_us, denied_priority)| {
                let is_less_urgent = match (priority, denied_priority) {
                    (Some(own), Some(denied)) => denied > own,
                    _ => false,
                };
                !is_less_urgent && now_us.saturating_sub(denied_us) < DENIAL_MEMORY_US
            })
    }

    /// Shortest deadline among recent permit requests that can be met, in milliseconds. A new
    /// ledger has no history and assumes that some requests have no time for a retry.
    fn shortest_deadline_ms(&mut self, now_us: u64, params: PermitParams) -> u32 {
        let (current_ms, previous_ms, window_start_us) =
            self.shortest_deadlines
                .unwrap_or((u32::MAX, FULL_RETRY_AFTER_MS as u32, now_us));
        let is_window_over = now_us.saturating_sub(window_start_us) > DEADLINE_WINDOW_US;
        let (current_ms, previous_ms, window_start_us) = match is_window_over {
            true => (u32::MAX, current_ms, now_us),
            false => (current_ms, previous_ms, window_start_us),
        };
        let current_ms = match params.left_ms >= params.work_ms() {
            true => current_ms.min(params.left_ms),
            false => current_ms,
        };
        self.shortest_deadlines = Some((current_ms, previous_ms, window_start_us));
        current_ms.min(previous_ms)
    }

    /// Adds a permit that an earlier owner of the target has granted.
    pub fn register(&mut self, now_us: u64, holder: &Arc<str>, permit: HeldPermit) {
        let expires_us = now_us + u64::from(permit.left_ms) * 1_000;
        self.permits
            .insert((holder.clone(), permit.number), expires_us);
    }

    /// Releases the permit of a request that has ended.
    pub fn release(&mut self, holder: &Arc<str>, number: u64) {
        self.permits.remove(&(holder.clone(), number));
    }

    /// Removes all requests of an instance that has left the fleet.
    pub fn remove_holder(&mut self, holder: &str) {
        self.permits.retain(|(other, _), _| **other != *holder);
        self.untracked.remove(holder);
    }

    /// Removes expired entries. Returns whether the ledger is empty and has no recent requests.
    pub fn remove_expired(&mut self, now_us: u64) -> bool {
        self.permits.retain(|_, expires_us| *expires_us > now_us);
        self.untracked
            .retain(|_, (_, expires_us)| *expires_us > now_us);
        let is_recent = |(_, _, window_start_us): (u32, u32, u64)| {
            now_us.saturating_sub(window_start_us) <= 2 * DEADLINE_WINDOW_US
        };
        let bucket_since_us = now_us.saturating_sub(BUCKET_TTL_US);
        let mut bucket = self.rate_bucket.iter();
        self.permits.is_empty()
            && self.untracked.is_empty()
            && !bucket.any(|bucket| bucket.was_used_since(bucket_since_us))
            && !self.shortest_deadlines.is_some_and(is_recent)
    }
}
