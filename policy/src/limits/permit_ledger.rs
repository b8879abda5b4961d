//! Who may send to a target of a crowded service.
//!
//! One instance keeps the book of a target for all of them, so that the bound on what
//! waits there is one of the fleet and not one of each instance. A request is admitted if
//! it finds a free slot or a queue that is short enough for the shortest deadline; one
//! that cannot come back may wait a little longer than that, and none behind a queue that
//! takes it past its own deadline. What is refused so is refused before it is sent.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::return_advice::FULL_MS;

/// Part of the shortest deadline that work and wait may take.
const USABLE_PART: f64 = 0.8;
/// Part of the slots that requests which cannot come back have beyond the others, as these
/// ask several times; a wait of a third of the work.
const AHEAD_PART: f64 = 0.34;
/// Work assumed while none is known, in milliseconds.
const ASSUMED_WORK_MS: u32 = 500;
/// Span over which the shortest deadline is taken, in microseconds: spells last 5 s and
/// more, and the one before counts, too.
const SHORTEST_SPAN_US: u64 = 5_000_000;
/// Time for which a holder's count of requests without a permit stands, in microseconds:
/// most of them have ended by then.
const STRAY_US: u64 = 1_000_000;

/// What a request that asks for a permit needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitParams {
    /// Time that the request has left, in milliseconds.
    pub left_ms: u32,
    /// How long a target works on a request, in milliseconds; 0 while unknown.
    pub work_ms: u32,
    /// Slots of the target.
    pub slots: u32,
    /// Requests that the asking instance has at the target without a permit.
    pub untracked: u32,
}

impl PermitParams {
    /// Whether the request has no time to come back.
    fn cannot_retry(&self) -> bool {
        f64::from(self.left_ms) < FULL_MS + f64::from(self.work_ms())
    }

    /// The work, or what is assumed of it, in milliseconds.
    fn work_ms(&self) -> u32 {
        match self.work_ms {
            0 => ASSUMED_WORK_MS,
            known => known,
        }
    }

    /// Requests that may be at the target so that a deadline is met.
    fn bound(&self, deadline_ms: u32) -> f64 {
        let work_ms = f64::from(self.work_ms());
        let wait_ms = USABLE_PART * f64::from(deadline_ms) - work_ms;
        f64::from(self.slots) * (1.0 + wait_ms.max(0.0) / work_ms)
    }

    /// Whether the request is done in its time behind so many others.
    fn is_met_behind(&self, in_flight: u32) -> bool {
        let work_ms = f64::from(self.work_ms());
        let queued = f64::from((in_flight + 1).saturating_sub(self.slots));
        queued < 1.0
            || (1.0 + queued / f64::from(self.slots.max(1))) * work_ms <= f64::from(self.left_ms)
    }
}

/// What is in flight to one target, by holder.
#[derive(Debug, Default)]
pub struct PermitLedger {
    permits: BTreeMap<(Arc<str>, u64), u64>,
    untracked: BTreeMap<Arc<str>, (u32, u64)>,
    /// The shortest deadlines asked for in this span and the one before, in milliseconds,
    /// and when this one began.
    shortest: Option<(u32, u32, u64)>,
}

impl PermitLedger {
    /// Permits a request, or does not; also says what was in flight before it.
    pub fn ask(
        &mut self,
        now_us: u64,
        (holder, number): (&Arc<str>, u64),
        params: PermitParams,
    ) -> (bool, u32) {
        self.forget(now_us);
        match params.untracked {
            0 => drop(self.untracked.remove(holder)),
            count => drop(
                self.untracked
                    .insert(holder.clone(), (count, now_us + STRAY_US)),
            ),
        }
        let untracked: u32 = self.untracked.values().map(|(count, _)| count).sum();
        let in_flight = self.permits.len() as u32 + untracked;
        let deadline_ms = self.shortest_ms(now_us, params);
        let ahead = match params.cannot_retry() {
            true => AHEAD_PART * f64::from(params.slots),
            false => 0.0,
        };
        let bound = params.bound(deadline_ms) + ahead;
        let is_permitted = f64::from(in_flight + 1) <= bound && params.is_met_behind(in_flight);
        if is_permitted {
            let until_us = now_us + u64::from(params.left_ms) * 1_000;
            self.permits.insert((holder.clone(), number), until_us);
        }
        (is_permitted, in_flight)
    }

    /// The shortest of the deadlines asked for lately that can be met. A new book has seen
    /// none, and takes it that there are some that leave no time to come back.
    fn shortest_ms(&mut self, now_us: u64, params: PermitParams) -> u32 {
        let (latest_ms, before_ms, from_us) =
            self.shortest.unwrap_or((u32::MAX, FULL_MS as u32, now_us));
        let is_over = now_us.saturating_sub(from_us) > SHORTEST_SPAN_US;
        let (latest_ms, before_ms, from_us) = match is_over {
            true => (u32::MAX, latest_ms, now_us),
            false => (latest_ms, before_ms, from_us),
        };
        let latest_ms = match params.left_ms >= params.work_ms() {
            true => latest_ms.min(params.left_ms),
            false => latest_ms,
        };
        self.shortest = Some((latest_ms, before_ms, from_us));
        latest_ms.min(before_ms)
    }

    /// Takes in that a permitted request has ended.
    pub fn end(&mut self, holder: &Arc<str>, number: u64) {
        self.permits.remove(&(holder.clone(), number));
    }

    /// Takes in that an instance is gone, and its requests with it.
    pub fn gone(&mut self, holder: &str) {
        self.permits.retain(|(other, _), _| **other != *holder);
        self.untracked.remove(holder);
    }

    /// Forgets what must have ended; true if nothing is left, nor was asked lately.
    pub fn forget(&mut self, now_us: u64) -> bool {
        self.permits.retain(|_, until_us| *until_us > now_us);
        self.untracked.retain(|_, (_, until_us)| *until_us > now_us);
        let is_recent = |(_, _, from_us): (u32, u32, u64)| {
            now_us.saturating_sub(from_us) <= 2 * SHORTEST_SPAN_US
        };
        self.permits.is_empty()
            && self.untracked.is_empty()
            && !self.shortest.is_some_and(is_recent)
    }
}
