//! Load counters of the request path, shared by successive routing tables.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use super::BodyInFlight;
use super::Reachability;
use super::TableFreshness;
use super::body_bound::add_body;
use crate::evidence::BASE_FAILURE_PROBABILITY;
use crate::evidence::FailureEstimate;
use crate::evidence::LatencyProfile;
use crate::evidence::Signal;
use crate::limits::OverloadState;
use crate::limits::RetryBudget;
use crate::limits::ServicePriorities;
use crate::quarantine::QuarantineView;

const MILLI: u32 = 1_000;
/// Failure probability up to which a target is healthy. It is reached 11 s after a reset, and a
/// single error or overdue response does not exceed it.
pub(super) const MAX_HEALTHY_PROBABILITY: f64 = 0.25;
/// Bits of the spread in a packed latency profile.
const SPREAD_BITS: u32 = 16;
/// Smallest concurrency limit, in thousandths of a request.
const MIN_LIMIT_MILLI: u32 = 100;
/// Half-life of the influence of a measured latency, in microseconds.
const LATENCY_HALF_LIFE_US: f64 = 2_000_000.0;

/// An instance's requests in flight to a target, and its estimates of the target's latency and
/// failure probability.
#[derive(Debug)]
pub struct TargetLoad {
    in_flight: AtomicU32,
    /// Bytes of the bodies of the requests in flight.
    body_bytes: AtomicU64,
    slots: u32,
    limit_milli: AtomicU32,
    latency_us: AtomicU64,
    updated_us: AtomicU64,
    paused_until_us: AtomicU64,
    local_evidence_milli: AtomicU32,
    closed: AtomicBool,
    failure_probability_milli: AtomicU32,
    failure_estimate_updated_us: AtomicU64,
    unreachable_until_us: AtomicU64,
    chosen_us: AtomicU64,
    /// Requests per second that the target takes from all instances, in thousandths.
    rate_limit_milli: AtomicU32,
    limit_named_us: AtomicU64,
    denied_until_us: AtomicU64,
    has_unreadable_notice: AtomicBool,
    /// Time until which the target wants no requests from this instance.
    requested_pause_until_us: AtomicU64,
    /// When the target first said to this instance that it leaves; [`NEVER_US`] if it has not.
    departure_stated_us: AtomicU64,
    /// Whether another instance has heard so.
    is_departure_reported: AtomicBool,
    /// Time for which the target takes requests after it has said so, in microseconds.
    departure_limit_us: u64,
}

/// Time for which a target takes requests after it has said that it leaves, unless set otherwise,
/// in microseconds.
pub const DEFAULT_DEPARTURE_LIMIT_US: u64 = 1_500_000;

/// Stands for a time that has not come, in microseconds.
const NEVER_US: u64 = u64::MAX;

/// A limit that differs by less than the known one divided by this is the same, so that small
/// changes are not broadcast.
const SAME_LIMIT_DIVISOR: u32 = 20;
/// Value of a rate limit in thousandths that stands for no limit.
const UNLIMITED: u32 = u32::MAX;

impl TargetLoad {
    /// Creates the counters of a target without load.
    pub fn new(slots: u32) -> Self {
        Self {
            in_flight: AtomicU32::new(0),
            body_bytes: AtomicU64::new(0),
            slots,
            limit_milli: AtomicU32::new(slots * MILLI),
            latency_us: AtomicU64::new(0),
            updated_us: AtomicU64::new(0),
            paused_until_us: AtomicU64::new(0),
            local_evidence_milli: AtomicU32::new(0),
            closed: AtomicBool::new(false),
            failure_probability_milli: AtomicU32::new(
                (BASE_FAILURE_PROBABILITY * f64::from(MILLI)) as u32,
            ),
            failure_estimate_updated_us: AtomicU64::new(0),
            unreachable_until_us: AtomicU64::new(0),
            chosen_us: AtomicU64::new(0),
            rate_limit_milli: AtomicU32::new(UNLIMITED),
            limit_named_us: AtomicU64::new(0),
            denied_until_us: AtomicU64::new(0),
            has_unreadable_notice: AtomicBool::new(false),
            requested_pause_until_us: AtomicU64::new(0),
            departure_stated_us: AtomicU64::new(NEVER_US),
            is_departure_reported: AtomicBool::new(false),
            departure_limit_us: DEFAULT_DEPARTURE_LIMIT_US,
        }
    }

    /// Sets the time for which the target takes requests after it has said that it leaves.
    pub fn with_departure_limit(self, departure_limit_us: u64) -> Self {
        Self {
            departure_limit_us,
            ..self
        }
    }

    /// Records that the target has said to this instance that it leaves.
    pub fn record_departure(&self, stated_us: u64) {
        self.departure_stated_us
            .fetch_min(stated_us, Ordering::AcqRel);
    }

    /// Takes back that the target has said so, as it was another process that did.
    pub fn clear_departure(&self) {
        self.departure_stated_us.store(NEVER_US, Ordering::Release);
    }

    /// Records that another instance has heard that the target leaves.
    pub fn report_departure(&self) {
        self.is_departure_reported.store(true, Ordering::Release);
    }

    /// Whether the target leaves by its own word, heard here or by another instance.
    pub fn is_leaving(&self) -> bool {
        self.is_departure_reported.load(Ordering::Acquire)
            || self.departure_stated_us.load(Ordering::Acquire) != NEVER_US
    }

    /// Time since the target first said to this instance that it leaves, in microseconds; `None`
    /// if it has not.
    pub fn leaving_for_us(&self, now_us: u64) -> Option<u64> {
        let stated_us = self.departure_stated_us.load(Ordering::Acquire);
        (stated_us != NEVER_US).then(|| now_us.saturating_sub(stated_us))
    }

    /// Requests per second that the target takes from all instances together, in thousandths;
    /// `None` without a limit.
    pub fn rate_limit_milli(&self) -> Option<u32> {
        let limit_milli = self.rate_limit_milli.load(Ordering::Relaxed);
        (limit_milli != UNLIMITED).then_some(limit_milli)
    }

    /// Sets the rate limit that the target has named, or ends it. A limit that is almost the
    /// known one is left as it is. Returns whether it changed.
    pub fn set_rate_limit(&self, now_us: u64, limit_milli: Option<u32>) -> bool {
        let known_milli = self.rate_limit_milli();
        match limit_milli {
            Some(_) => self.limit_named_us.store(now_us, Ordering::Relaxed),
            None => self.denied_until_us.store(0, Ordering::Relaxed),
        }
        let is_same = match (known_milli, limit_milli) {
            (Some(known), Some(limit)) => known.abs_diff(limit) <= known / SAME_LIMIT_DIVISOR,
            (known, limit) => known == limit,
        };
        if !is_same {
            self.rate_limit_milli
                .store(limit_milli.unwrap_or(UNLIMITED), Ordering::Relaxed);
        }
        !is_same
    }

    /// Takes over what the same process has named while it had other counters.
    pub fn inherit_statements(&self, former: &Self) {
        self.pause_until(former.requested_pause_until_us());
        let limit_milli = former.rate_limit_milli.load(Ordering::Relaxed);
        self.rate_limit_milli.store(limit_milli, Ordering::Relaxed);
        self.limit_named_us
            .store(former.limit_named_us(), Ordering::Relaxed);
    }

    /// Keeps requests from the target until the end of a pause that it has requested. An earlier
    /// request for a longer pause stays in force.
    pub fn pause_until(&self, until_us: u64) {
        self.requested_pause_until_us
            .fetch_max(until_us, Ordering::AcqRel);
    }

    /// End of the longest pause that the target has requested, in microseconds; 0 if none.
    pub fn requested_pause_until_us(&self) -> u64 {
        self.requested_pause_until_us.load(Ordering::Acquire)
    }

    /// Keeps requests from the target until its rate limit may allow one.
    pub fn deny_until(&self, until_us: u64) {
        self.denied_until_us.store(until_us, Ordering::Relaxed);
    }

    /// Time at which the target takes requests again after a pause, in microseconds; 0 if there
    /// was none.
    pub fn paused_until_us(&self) -> u64 {
        let shed_until_us = self.paused_until_us.load(Ordering::Relaxed);
        shed_until_us
            .max(self.denied_until_us.load(Ordering::Relaxed))
            .max(self.requested_pause_until_us())
    }

    /// When the target was last known to name a rate limit, in microseconds.
    pub fn limit_named_us(&self) -> u64 {
        self.limit_named_us.load(Ordering::Relaxed)
    }

    /// Records a notice that cannot be read. Returns whether it is the first one.
    pub fn mark_unreadable_notice(&self) -> bool {
        !self.has_unreadable_notice.swap(true, Ordering::Relaxed)
    }

    /// Probability that a request to the target fails now.
    pub fn failure_probability(&self, now_us: u64) -> f64 {
        if now_us < self.unreachable_until_us.load(Ordering::Relaxed) {
            return 1.0;
        }
        self.failure_estimate().at(now_us)
    }

    /// Whether the failure probability is low enough for any request.
    pub fn is_healthy(&self, now_us: u64) -> bool {
        self.failure_probability(now_us) <= MAX_HEALTHY_PROBABILITY
    }

    /// Records a signal; returns the failure probabilities before and after it.
    pub fn record_signal(&self, now_us: u64, signal: Signal) -> (f64, f64) {
        let before = self.failure_estimate();
        let after = before.after(now_us, signal);
        let milli = (after.at(now_us) * f64::from(MILLI)) as u32;
        self.failure_probability_milli
            .store(milli, Ordering::Relaxed);
        self.failure_estimate_updated_us
            .store(now_us, Ordering::Relaxed);
        (before.at(now_us), after.at(now_us))
    }

    /// Raises the failure probability to `minimum` if it is lower.
    pub fn raise_failure_probability(&self, now_us: u64, minimum: f64) {
        if self.failure_estimate().at(now_us) < minimum {
            self.failure_probability_milli
                .store((minimum * f64::from(MILLI)) as u32, Ordering::Relaxed);
            self.failure_estimate_updated_us
                .store(now_us, Ordering::Relaxed);
        }
    }

    /// Marks the target as unreachable from this instance for `for_us`.
    pub fn mark_unreachable(&self, now_us: u64, for_us: u64) {
        self.unreachable_until_us
            .store(now_us + for_us, Ordering::Relaxed);
    }

    fn failure_estimate(&self) -> FailureEstimate {
        let probability =
            f64::from(self.failure_probability_milli.load(Ordering::Relaxed)) / f64::from(MILLI);
        FailureEstimate::new(
            probability,
            self.failure_estimate_updated_us.load(Ordering::Relaxed),
        )
    }

    /// When the target was last chosen from the instance's subset, in microseconds; 0 if never.
    pub(super) fn chosen_us(&self) -> u64 {
        self.chosen_us.load(Ordering::Relaxed)
    }

    /// Records that the target was chosen from the instance's subset.
    pub(super) fn record_choice(&self, now_us: u64) {
        self.chosen_us.store(now_us, Ordering::Relaxed);
    }

    /// Requests in flight from this instance.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Whether the target is below its concurrency limit and not paused.
    pub fn has_room(&self, now_us: u64) -> bool {
        let limit = (self.limit_milli.load(Ordering::Relaxed) / MILLI).max(1);
        self.in_flight() < limit && now_us >= self.paused_until_us()
    }

    /// Whether the target has room for a request with a body of `body_bytes`.
    pub fn has_room_for(&self, now_us: u64, body_bytes: u64) -> bool {
        let held_bytes = self.body_bytes.load(Ordering::Acquire);
        self.has_room(now_us) && add_body(held_bytes, body_bytes).is_some()
    }

    /// Acquires a slot, or returns `None` if the target has no room or is closed.
    pub fn take(self: &Arc<Self>, now_us: u64) -> Option<Slot> {
        self.take_for(now_us, 0)
    }

    /// Acquires a slot for a request with a body of `body_bytes`, or returns `None` if the target
    /// has no room for it or is closed.
    pub fn take_for(self: &Arc<Self>, now_us: u64, body_bytes: u64) -> Option<Slot> {
        if !self.has_room(now_us) || self.is_closed(now_us) {
            return None;
        }
        let body = match body_bytes {
            0 => None,
            _ => Some(self.take_body(body_bytes)?),
        };
        let limit = (self.limit_milli.load(Ordering::Relaxed) / MILLI).max(1);
        let increment = |in_flight: u32| (in_flight < limit).then_some(in_flight + 1);
        self.in_flight
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, increment)
            .ok()?;
        Some(Slot {
            load: self.clone(),
            body,
        })
    }

    fn take_body(self: &Arc<Self>, body_bytes: u64) -> Option<Arc<BodyInFlight>> {
        let add = |held_bytes| add_body(held_bytes, body_bytes);
        self.body_bytes
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, add)
            .ok()?;
        Some(Arc::new(BodyInFlight {
            load: self.clone(),
            bytes: body_bytes,
        }))
    }

    /// Counts a body as no longer in flight.
    pub(super) fn release_body(&self, body_bytes: u64) {
        self.body_bytes.fetch_sub(body_bytes, Ordering::AcqRel);
    }

    /// Stops new requests to the target, as the registry says that it leaves or is gone.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    /// Allows new requests to the target again.
    pub fn open(&self) {
        self.closed.store(false, Ordering::Release);
    }

    /// Whether the target takes no new requests: the registry says so, or it has said itself that
    /// it leaves and the time for last requests has passed. What other instances have heard closes
    /// no target.
    pub fn is_closed(&self, now_us: u64) -> bool {
        let departed = |leaving_us| leaving_us >= self.departure_limit_us;
        self.closed.load(Ordering::Acquire) || self.leaving_for_us(now_us).is_some_and(departed)
    }

    /// Records the latency of a response, and raises the concurrency limit.
    pub fn record_response(&self, now_us: u64, latency_us: u64) {
        let old = self.latency_us.load(Ordering::Relaxed);
        let new = if old == 0 {
            latency_us
        } else {
            (old * 7 + latency_us) / 8
        };
        self.latency_us.store(new, Ordering::Relaxed);
        self.updated_us.store(now_us, Ordering::Relaxed);
        let limit = self.limit_milli.load(Ordering::Relaxed);
        let grown = (limit + MILLI * MILLI / (4 * limit.max(MILLI))).min(self.slots * MILLI);
        self.limit_milli.store(grown, Ordering::Relaxed);
    }

    /// Records that the target sheds load: lowers the concurrency limit, and sends no requests for
    /// `pause_us`.
    pub fn record_shed(&self, now_us: u64, pause_us: u64) {
        let limit = self.limit_milli.load(Ordering::Relaxed);
        let reduced = (limit * 7 / 10).max(MIN_LIMIT_MILLI);
        self.limit_milli.store(reduced, Ordering::Relaxed);
        self.paused_until_us
            .store(now_us + pause_us, Ordering::Relaxed);
    }

    /// Expected latency, in microseconds; decays from the measured value towards `median_us`.
    pub fn expected_us(&self, now_us: u64, median_us: u64) -> f64 {
        let measured = self.latency_us.load(Ordering::Relaxed);
        let median = median_us as f64;
        if measured == 0 {
            return median;
        }
        let age_us = now_us.saturating_sub(self.updated_us.load(Ordering::Relaxed)) as f64;
        median + (measured as f64 - median) * 0.5f64.powf(age_us / LATENCY_HALF_LIFE_US)
    }

    /// Sets the local evidence against the target, 0 to 1.
    pub fn set_local_evidence(&self, share: f64) {
        let milli = (share.clamp(0.0, 1.0) * f64::from(MILLI)) as u32;
        self.local_evidence_milli.store(milli, Ordering::Relaxed);
    }

    /// Evidence against the target from the instance's own requests, 0 to 1.
    pub fn local_evidence(&self) -> f64 {
        f64::from(self.local_evidence_milli.load(Ordering::Relaxed)) / f64::from(MILLI)
    }
}

/// Guard of a request in flight to a target; releases the slot when dropped.
#[derive(Debug)]
pub struct Slot {
    load: Arc<TargetLoad>,
    body: Option<Arc<BodyInFlight>>,
}

impl Slot {
    /// The body of the request, for which the target has room until all guards are dropped; `None`
    /// if there is none.
    pub fn body(&self) -> Option<Arc<BodyInFlight>> {
        self.body.clone()
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.load.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// An instance's load counters and estimates for a service.
#[derive(Debug)]
pub struct ServiceLoad {
    /// Budget for retries and hedges.
    pub retries: RetryBudget,
    /// Median latency in microseconds; 0 while unknown.
    pub median_us: AtomicU64,
    /// Latency in microseconds beyond which a response is slow; 0 while unknown.
    pub slow_us: AtomicU64,
    latency_profile: AtomicU64,
    /// Freshness of the instance's tables.
    pub table_freshness: Arc<TableFreshness>,
    /// The requests that crash targets.
    pub quarantine: Arc<QuarantineView>,
    /// Whether the instance reaches the targets.
    pub reachability: Reachability,
    /// Requests started.
    pub begun: AtomicU64,
    /// Requests that ended with the refusal of a target that has free slots. They used no slot, and
    /// count once more if their callers come back.
    pub returned: AtomicU64,
    /// Requests that ended without a response from a target.
    pub unserved: AtomicU64,
    /// Whether many requests of the fleet fail.
    pub degraded: AtomicBool,
    /// Slots that the requests of all instances occupy.
    pub needed_slots: AtomicU32,
    /// Requests per second over all instances, in thousandths.
    pub fleet_rate_milli: AtomicU64,
    /// Slots that the requests of this data centre's instances occupy.
    pub local_slots: AtomicU32,
    /// Whether the load exceeds the capacity of the healthy targets.
    pub overload: OverloadState,
    /// Priorities of the service's requests.
    pub priorities: ServicePriorities,
    /// Requests that were refused by the quotas of their customers.
    pub over_quota: AtomicU64,
    /// Requests that were sent to a target of the instance's subset.
    pub sent_within_subset: AtomicU64,
    /// Requests that were sent to another target although the instance has a subset.
    pub sent_outside_subset: AtomicU64,
}

impl ServiceLoad {
    /// Creates the counters of a service without load.
    pub fn new(retry_share: f64, table_freshness: Arc<TableFreshness>) -> Self {
        Self::with_retries(RetryBudget::new(retry_share), table_freshness)
    }

    /// Creates the counters of a service without load, with a given retry budget.
    pub fn with_retries(retries: RetryBudget, table_freshness: Arc<TableFreshness>) -> Self {
        Self {
            table_freshness,
            quarantine: Arc::default(),
            reachability: Reachability::default(),
            retries,
            begun: AtomicU64::new(0),
            returned: AtomicU64::new(0),
            unserved: AtomicU64::new(0),
            degraded: AtomicBool::new(false),
            needed_slots: AtomicU32::new(0),
            fleet_rate_milli: AtomicU64::new(0),
            local_slots: AtomicU32::new(0),
            overload: OverloadState::default(),
            priorities: ServicePriorities::default(),
            over_quota: AtomicU64::new(0),
            sent_within_subset: AtomicU64::new(0),
            sent_outside_subset: AtomicU64::new(0),
            median_us: AtomicU64::new(0),
            slow_us: AtomicU64::new(0),
            latency_profile: AtomicU64::new(0),
        }
    }

    /// Sets the requests that crash targets, which are not sent to the service.
    pub fn with_quarantine(self, quarantine: Arc<QuarantineView>) -> Self {
        Self { quarantine, ..self }
    }

    /// The service's latency distribution across the fleet; `None` while unknown.
    pub fn latency_profile(&self) -> Option<LatencyProfile> {
        let packed = self.latency_profile.load(Ordering::Relaxed);
        (packed > 0).then_some(LatencyProfile {
            median_us: packed >> SPREAD_BITS,
            spread_milli: (packed & ((1 << SPREAD_BITS) - 1)) as u32,
        })
    }

    /// Publishes the service's latency distribution to the request path.
    pub fn set_latency_profile(&self, profile: LatencyProfile) {
        let spread = u64::from(profile.spread_milli).min((1 << SPREAD_BITS) - 1);
        let packed = profile.median_us.max(1) << SPREAD_BITS | spread;
        self.latency_profile.store(packed, Ordering::Relaxed);
    }

    /// Counts a started request and adds its share to the retry budget.
    pub fn begin(&self) {
        self.retries.earn();
        self.begun.fetch_add(1, Ordering::Relaxed);
    }
}
