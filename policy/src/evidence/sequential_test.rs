//! Sequential probability ratio test on the outcomes of one target.
//!
//! The alternative hypothesis is an even mixture of a partially and a completely
//! failing target, so that either kind is detected about as early as by a test designed
//! for it. The log likelihood ratio is computed in two ways, and the smaller value
//! is used. The first uses the current baseline error rate for all outcomes, as the
//! baseline may have changed before the change was observed. The second uses for each
//! outcome the baseline of its time, as a fault common to all targets must not count
//! against one of them after it has ended.

use model::configuration::Service;

use super::Tally;
use super::tally::SAMPLING_SHIFTS;

/// Lowest baseline error rate assumed for a service.
const MIN_BASELINE_RATE: f64 = 0.02;
/// Lowest error rate assumed for a partially failing target.
const MIN_PARTIAL_FAILURE_RATE: f64 = 0.2;
/// Error rate of a completely failing target.
const COMPLETE_FAILURE_RATE: f64 = 0.9;
/// Ratio of the error rate of a partially failing target to the baseline.
const PARTIAL_FAILURE_FACTOR: f64 = 2.0;
/// Lowest ratio of a failing target's error rate to the baseline that is detectable.
const MIN_DETECTABLE_FACTOR: f64 = 1.5;
/// Increase of the bound's factor per unit of baseline error rate.
const BOUND_FACTOR_SLOPE: f64 = 10.0;
/// Margin for the uncertainty of the baseline estimate.
const BASELINE_MARGIN_FACTOR: f64 = 1.25;

/// The two error rates between which a test decides, as shares of abnormal outcomes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Baseline: error rate of a healthy target.
    pub baseline: f64,
    /// Error rate of a failing target.
    pub failing: f64,
}

impl Rates {
    /// Returns the rates that are observed if normal outcomes are sampled with `sampling_shift`.
    ///
    /// With shift `n`, all abnormal outcomes and one in 2ⁿ normal ones are counted. They
    /// still form a sequence of independent trials, so the test stays exact.
    pub fn sampled(self, sampling_shift: usize) -> Self {
        let sampling_rate = 0.5f64.powi(sampling_shift as i32);
        let sampled_rate = |rate: f64| rate / (rate + sampling_rate * (1.0 - rate));
        Self {
            baseline: sampled_rate(self.baseline),
            failing: sampled_rate(self.failing),
        }
    }

    /// Returns the log likelihood ratio of `tally`; positive values indicate a failing target.
    pub fn log_ratio(self, tally: Tally) -> f64 {
        let abnormal = (self.failing / self.baseline).ln();
        let normal = ((1.0 - self.failing) / (1.0 - self.baseline)).ln();
        f64::from(tally.abnormal) * abnormal + f64::from(tally.normal) * normal
    }
}

/// The alternative hypotheses that a test compares with the baseline.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Alternatives {
    /// Baseline and error rate of a partially failing target.
    pub partial: Rates,
    /// Baseline and error rate of a completely failing target.
    pub complete: Rates,
}

impl Alternatives {
    /// Returns the alternatives for a service whose other targets have this `share` of
    /// abnormal outcomes.
    ///
    /// `None` if so many outcomes are abnormal that no target stands out.
    pub fn for_baseline(share: f64) -> Option<Self> {
        let baseline = (share * BASELINE_MARGIN_FACTOR).max(MIN_BASELINE_RATE);
        if baseline * MIN_DETECTABLE_FACTOR > COMPLETE_FAILURE_RATE {
            return None;
        }
        let partial = (baseline * PARTIAL_FAILURE_FACTOR)
            .clamp(MIN_PARTIAL_FAILURE_RATE, COMPLETE_FAILURE_RATE);
        let rates = |failing: f64| Rates { baseline, failing };
        Some(Self {
            partial: rates(partial),
            complete: rates(COMPLETE_FAILURE_RATE),
        })
    }

    /// Returns the factor by which the bound is raised while the baseline error rate of the
    /// service is high, as outcomes are not independent then; 1 at the lowest baseline.
    pub fn bound_factor(self) -> f64 {
        1.0 + BOUND_FACTOR_SLOPE * (self.partial.baseline - MIN_BASELINE_RATE)
    }
}

/// Outcomes of one target and the test on them.
#[derive(Clone, Debug)]
pub struct SequentialTest {
    partial: AlternativeCounts,
    complete: AlternativeCounts,
    started_us: u64,
}

/// The outcomes that are tested against one alternative.
///
/// Each alternative has its own counts, so that normal outcomes that are evidence
/// against one alternative do not delay a later detection by the other.
#[derive(Clone, Debug, Default)]
struct AlternativeCounts {
    tallies: [Tally; SAMPLING_SHIFTS],
    pending: [Tally; SAMPLING_SHIFTS],
    accumulated_log_ratio: f64,
}

impl AlternativeCounts {
    fn add(&mut self, sampling_shift: usize, tally: Tally) {
        self.tallies[sampling_shift].add(tally);
        self.pending[sampling_shift].add(tally);
    }

    /// Adds the log ratio of pending outcomes; clears the counts if the result is not positive.
    fn accumulate(&mut self, rates: Option<Rates>) {
        if let Some(rates) = rates {
            self.accumulated_log_ratio += log_ratio_of_tallies(&self.pending, rates);
        }
        self.pending = [Tally::default(); SAMPLING_SHIFTS];
        if rates.is_some_and(|rates| self.log_ratio(rates) <= 0.0) {
            *self = Self::default();
        }
    }

    /// Returns the smaller of the log ratios by the current baseline and by the baseline
    /// of each outcome's time.
    fn log_ratio(&self, rates: Rates) -> f64 {
        let accumulated = self.accumulated_log_ratio + log_ratio_of_tallies(&self.pending, rates);
        log_ratio_of_tallies(&self.tallies, rates).min(accumulated)
    }
}

impl SequentialTest {
    /// Creates a test that starts at `now_us`.
    pub fn new(now_us: u64) -> Self {
        Self {
            partial: AlternativeCounts::default(),
            complete: AlternativeCounts::default(),
            started_us: now_us,
        }
    }

    /// Returns the log ratio from which a target of the service counts as failing.
    pub fn upper_bound(service: &Service) -> f64 {
        ((1.0 - service.missed_detection_rate) / service.false_ejection_rate).ln()
    }

    /// Returns the log ratio up to which a target of the service counts as healthy.
    pub fn lower_bound(service: &Service) -> f64 {
        (service.missed_detection_rate / (1.0 - service.false_ejection_rate)).ln()
    }

    /// Returns the time from which outcomes are counted, in microseconds.
    pub fn started_us(&self) -> u64 {
        self.started_us
    }

    /// Counts outcomes whose normal ones were sampled with `sampling_shift`.
    pub fn add(&mut self, now_us: u64, sampling_shift: usize, tally: Tally) {
        let is_empty =
            |counts: &AlternativeCounts| counts.tallies.iter().all(|tally| tally.total() == 0);
        if is_empty(&self.partial) && is_empty(&self.complete) {
            self.started_us = now_us;
        }
        self.partial.add(sampling_shift, tally);
        self.complete.add(sampling_shift, tally);
    }

    /// Adds pending outcomes to the accumulated log ratios by the current baseline.
    ///
    /// If no target stands out (`None`), they are left out of the accumulated ratios.
    pub fn accumulate(&mut self, alternatives: Option<Alternatives>) {
        self.partial
            .accumulate(alternatives.map(|alternatives| alternatives.partial));
        self.complete
            .accumulate(alternatives.map(|alternatives| alternatives.complete));
    }

    /// Returns the log ratio of the counts against an even mixture of both alternatives.
    ///
    /// Pending outcomes are counted with the given baseline.
    pub fn log_ratio(&self, alternatives: Alternatives) -> f64 {
        let partial = self.partial.log_ratio(alternatives.partial);
        let complete = self.complete.log_ratio(alternatives.complete);
        mixture_log_ratio(partial, complete)
    }

    /// Returns the log ratio of the counts for two rates.
    pub fn log_ratio_for(&self, rates: Rates) -> f64 {
        log_ratio_of_tallies(&self.partial.tallies, rates)
    }

    /// Returns the counts as (abnormal, total), with normal outcomes scaled up to undo sampling.
    pub fn unsampled_counts(&self) -> (f64, f64) {
        let mut sum = (0.0, 0.0);
        for (sampling_shift, tally) in self.partial.tallies.iter().enumerate() {
            let normal = f64::from(tally.normal) * 2f64.powi(sampling_shift as i32);
            sum.0 += f64::from(tally.abnormal);
            sum.1 += f64::from(tally.abnormal) + normal;
        }
        sum
    }

    /// Clears the counts and restarts the test.
    pub fn reset(&mut self, now_us: u64) {
        *self = Self::new(now_us);
    }
}

fn log_ratio_of_tallies(tallies: &[Tally; SAMPLING_SHIFTS], rates: Rates) -> f64 {
    let counted = tallies
        .iter()
        .enumerate()
        .filter(|(_, tally)| tally.total() > 0);
    counted
        .map(|(sampling_shift, tally)| rates.sampled(sampling_shift).log_ratio(*tally))
        .sum()
}

/// Returns the log ratio of an even mixture of two alternatives.
fn mixture_log_ratio(one: f64, other: f64) -> f64 {
    let larger = one.max(other);
    larger + (((one - larger).exp() + (other - larger).exp()) / 2.0).ln()
}
