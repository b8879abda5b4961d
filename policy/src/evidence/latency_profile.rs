//! Latency distribution of a service across the fleet.
//!
//! An instance sees too few responses of a service to know how long they take, so the
//! distribution is fitted at one place from the responses of all instances and sent to
//! everyone. It is a lognormal body, for which few samples suffice, and a heavy tail of
//! fixed weight. Times are in microseconds.

use serde::Deserialize;
use serde::Serialize;

/// Share of responses that take [`TAIL_FACTOR`] times as long as the others.
const TAIL_SHARE: f64 = 0.015;
const TAIL_FACTOR: f64 = 5.0;
/// Median as a share of the latency objective, while no response has been observed.
const OBJECTIVE_MEDIAN_SHARE: f64 = 0.35;
/// Standard deviation of the logarithm of the latency, while no response has been observed.
const PRIOR_SPREAD: f64 = 0.6;
const MIN_SPREAD: f64 = 0.15;
const MAX_SPREAD: f64 = 1.2;
/// Responses that the prior spread counts as.
const PRIOR_RESPONSES: f64 = 4.0;
/// Responses required before a profile is fitted.
const MIN_RESPONSES: f64 = 5.0;
/// Responses after which the weight of an observation has halved.
const HALF_LIFE_RESPONSES: f64 = 300.0;
/// Relative change of the median, and absolute change of the spread, that are worth a broadcast.
const MEDIAN_CHANGE: f64 = 0.12;
const SPREAD_CHANGE: f64 = 0.1;
const MILLI: f64 = 1e3;

/// Distribution of the time until a healthy target's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyProfile {
    /// Median latency, in microseconds.
    pub median_us: u64,
    /// Standard deviation of the logarithm of the latency, in thousandths.
    pub spread_milli: u32,
}

impl LatencyProfile {
    /// The profile assumed for a latency objective while no response has been observed.
    pub fn assumed_for(objective_us: u64) -> Self {
        Self {
            median_us: (objective_us as f64 * OBJECTIVE_MEDIAN_SHARE) as u64,
            spread_milli: (PRIOR_SPREAD * MILLI) as u32,
        }
    }

    /// Share of the responses that take longer than `elapsed_us`.
    pub fn survival(&self, elapsed_us: u64) -> f64 {
        if elapsed_us == 0 {
            return 1.0;
        }
        let body = self.body_survival(elapsed_us as f64);
        let tail = self.body_survival(elapsed_us as f64 / TAIL_FACTOR);
        (1.0 - TAIL_SHARE) * body + TAIL_SHARE * tail
    }

    /// Time that the given share of the responses exceeds.
    pub fn time_exceeded_by(&self, share: f64) -> u64 {
        let (mut low, mut high) = (0, self.median_us.max(1));
        while self.survival(high) > share && high < u64::MAX / 4 {
            (low, high) = (high, high * 2);
        }
        while high - low > 1 + high / 256 {
            let middle = low + (high - low) / 2;
            match self.survival(middle) > share {
                true => low = middle,
                false => high = middle,
            }
        }
        high
    }

    fn body_survival(&self, elapsed_us: f64) -> f64 {
        let spread = f64::from(self.spread_milli) / MILLI;
        let distance = (elapsed_us / self.median_us.max(1) as f64).ln() / spread;
        normal_survival(distance)
    }

    /// Whether instances that know `other` have to be told.
    fn differs_from(&self, other: &Self) -> bool {
        let ratio = self.median_us as f64 / other.median_us.max(1) as f64;
        let spread_difference = f64::from(self.spread_milli.abs_diff(other.spread_milli)) / MILLI;
        (ratio.ln()).abs() > MEDIAN_CHANGE || spread_difference > SPREAD_CHANGE
    }
}

/// Share of a standard normal distribution above `distance`, by the logistic approximation of
/// Bowling et al.; its absolute error is below 0.0002.
fn normal_survival(distance: f64) -> f64 {
    1.0 / (1.0 + (0.07056 * distance.powi(3) + 1.5976 * distance).exp())
}

/// Fits a [`LatencyProfile`] to responses; older ones lose weight.
#[derive(Clone, Debug, Default)]
pub struct LatencyFit {
    weight: f64,
    log_mean: f64,
    log_variance: f64,
    published: Option<LatencyProfile>,
}

impl LatencyFit {
    /// Adds the latency of a good response.
    pub fn add(&mut self, latency_us: u64) {
        let value = (latency_us.max(1) as f64).ln();
        self.weight = self.weight * 0.5f64.powf(1.0 / HALF_LIFE_RESPONSES) + 1.0;
        let distance = value - self.log_mean;
        self.log_mean += distance / self.weight;
        let spread = distance * (value - self.log_mean);
        self.log_variance += (spread - self.log_variance) / self.weight;
    }

    /// The fitted profile; `None` while there are too few responses.
    pub fn profile(&self) -> Option<LatencyProfile> {
        if self.weight < MIN_RESPONSES * 0.9 {
            return None;
        }
        let prior = PRIOR_SPREAD * PRIOR_SPREAD;
        let variance = (self.log_variance * self.weight + prior * PRIOR_RESPONSES)
            / (self.weight + PRIOR_RESPONSES);
        let spread = variance.sqrt().clamp(MIN_SPREAD, MAX_SPREAD);
        Some(LatencyProfile {
            median_us: self.log_mean.exp() as u64,
            spread_milli: (spread * MILLI) as u32,
        })
    }

    /// Returns the profile if it differs notably from the one returned last.
    pub fn take_change(&mut self) -> Option<LatencyProfile> {
        let profile = self.profile()?;
        let is_known = self
            .published
            .is_some_and(|published| !profile.differs_from(&published));
        if is_known {
            return None;
        }
        self.published = Some(profile);
        Some(profile)
    }
}
