//! Counts the requests of a customer against its bound.

use std::collections::VecDeque;

pub(crate) const SECOND_US: u64 = 1_000_000;
/// Part of the burst that a customer leaves whose rate is above that of its quota, to count as below
/// the quota: lost answers lose tokens, and reports of a sudden rise take their time.
const UNUSED_SHARE: f64 = 0.25;
const WINDOW_US: u64 = 5 * SECOND_US;
/// Time within which a changed limit has to bind.
const CHANGE_US: u64 = 2_500_000;
/// Time after a request over the quota in which the customer does not count as below it.
const AFTER_OVERLOAD_US: u64 = 10 * SECOND_US;

/// A quota and when it came into force.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limit {
    pub(crate) from_us: u64,
    pub(crate) rate_per_s: f64,
    pub(crate) burst: f64,
}

impl Limit {
    fn bound(&self) -> f64 {
        (self.rate_per_s * 5.0 + self.burst) * 1.1 + 20.0
    }
}

/// The bucket that decides which requests are below the quota.
#[derive(Debug, Default)]
struct IdealBucket {
    tokens: f64,
    updated_us: u64,
    overloaded_us: Option<u64>,
    /// Requests of the last second.
    offered_us: VecDeque<u64>,
}

/// Requests of one customer.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    pub(crate) limits: Vec<Limit>,
    admitted_us: Vec<u64>,
    ideal: IdealBucket,
    pub(crate) below: usize,
    pub(crate) below_refused: usize,
}

impl Tally {
    pub(crate) fn new(limit: Limit) -> Self {
        let ideal = IdealBucket {
            tokens: limit.burst,
            ..IdealBucket::default()
        };
        Self {
            limits: vec![limit],
            ideal,
            ..Self::default()
        }
    }

    pub(crate) fn limit(&self) -> Limit {
        self.limits[self.limits.len() - 1]
    }

    /// Records a request of a caller; returns whether it is below the quota.
    pub(crate) fn record_offered(&mut self, now_us: u64) -> bool {
        let limit = self.limit();
        let ideal = &mut self.ideal;
        let since_us = now_us.saturating_sub(SECOND_US);
        ideal.offered_us.retain(|at_us| *at_us > since_us);
        ideal.offered_us.push_back(now_us);
        let is_slow = ideal.offered_us.len() as f64 <= limit.rate_per_s + 1.0;
        let elapsed_s = (now_us - ideal.updated_us) as f64 / 1e6;
        ideal.updated_us = now_us;
        ideal.tokens = (ideal.tokens + limit.rate_per_s * elapsed_s).min(limit.burst.max(1.0));
        if ideal.tokens < 1.0 {
            ideal.overloaded_us = Some(now_us);
            return false;
        }
        ideal.tokens -= 1.0;
        let has_unused = ideal.tokens >= UNUSED_SHARE * limit.burst;
        let is_recent = |at_us: u64| now_us - at_us < AFTER_OVERLOAD_US;
        (is_slow || has_unused) && !ideal.overloaded_us.is_some_and(is_recent)
    }

    pub(crate) fn record_admitted(&mut self, now_us: u64) {
        self.admitted_us.push(now_us);
    }

    /// The largest number of requests in a window relative to its bound, with the end of that
    /// window and the number.
    pub(crate) fn worst_window(&mut self) -> (f64, u64, usize) {
        self.admitted_us.sort_unstable();
        let mut worst = (0.0, 0, 0);
        let mut first = 0;
        for (last, end_us) in self.admitted_us.iter().enumerate() {
            while self.admitted_us[first] + WINDOW_US <= *end_us {
                first += 1;
            }
            let count = last + 1 - first;
            let excess = count as f64 / self.bound(self.admitted_us[first], *end_us);
            if excess > worst.0 {
                worst = (excess, *end_us, count);
            }
        }
        worst
    }

    /// The largest bound of the limits in force in a window, or shortly before it.
    fn bound(&self, start_us: u64, end_us: u64) -> f64 {
        let in_force = self.limits.iter().enumerate().filter(|(index, limit)| {
            let next = self.limits.get(index + 1);
            let until_us = next.map_or(u64::MAX, |next| next.from_us + CHANGE_US);
            limit.from_us <= end_us && until_us > start_us
        });
        in_force.map(|(_, limit)| limit.bound()).fold(0.0, f64::max)
    }
}
