//! A sequential probability ratio test on one target's outcomes.
//!
//! The alternative is an even mixture of a partly and a wholly failing target,
//! so that either is found about as soon as by a test made for it. The ratio is
//! computed twice, and the smaller one counts: from all outcomes with the
//! background of now, since a change of it may have begun before it was seen,
//! and from each outcome with the background of its time, since what befell all
//! targets must not tell against one when it is over.

use model::world::Service;

use super::Tally;
use super::tally::SAMPLING_SHIFTS;

/// Background rate below which no service is assumed to be.
const MIN_BACKGROUND: f64 = 0.02;
/// Rate of a partly failing target at least.
const MIN_PARTLY_FAILING: f64 = 0.2;
/// Rate of a wholly failing target.
const WHOLLY_FAILING: f64 = 0.9;
/// How far above the background a partly failing rate is.
const FAILING_FACTOR: f64 = 2.0;
/// How far above the background a failing rate must be to stand out.
const MIN_FACTOR: f64 = 1.5;
/// Rise of the asked evidence with the background.
const CAUTION: f64 = 10.0;
/// Allowance for the uncertainty of the background.
const BACKGROUND_FACTOR: f64 = 1.25;

/// Two shares of abnormal outcomes between which a test decides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Share of a healthy target.
    pub background: f64,
    /// Share of a failing target.
    pub failing: f64,
}

impl Rates {
    /// The rates as they are seen when normal outcomes are thinned by `sampling_shift` steps.
    ///
    /// All abnormal outcomes and one in 2ⁿ normal ones are still a sequence of
    /// independent trials, so the test stays exact.
    pub fn sampled(self, sampling_shift: usize) -> Self {
        let kept = 0.5f64.powi(sampling_shift as i32);
        let seen = |rate: f64| rate / (rate + kept * (1.0 - rate));
        Self {
            background: seen(self.background),
            failing: seen(self.failing),
        }
    }

    /// The logarithm of the likelihood ratio of `tally`: positive speaks for failing.
    pub fn log_ratio(self, tally: Tally) -> f64 {
        let abnormal = (self.failing / self.background).ln();
        let normal = ((1.0 - self.failing) / (1.0 - self.background)).ln();
        f64::from(tally.abnormal) * abnormal + f64::from(tally.normal) * normal
    }
}

/// What a test holds against the background.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Alternatives {
    /// Against a partly failing target.
    pub partly: Rates,
    /// Against a wholly failing target.
    pub wholly: Rates,
}

impl Alternatives {
    /// The alternatives for a service whose other targets show `share` abnormal outcomes.
    ///
    /// None where so many are abnormal that no target stands out.
    pub fn for_background(share: f64) -> Option<Self> {
        let background = (share * BACKGROUND_FACTOR).max(MIN_BACKGROUND);
        if background * MIN_FACTOR > WHOLLY_FAILING {
            return None;
        }
        let partly = (background * FAILING_FACTOR).clamp(MIN_PARTLY_FAILING, WHOLLY_FAILING);
        let rates = |failing: f64| Rates {
            background,
            failing,
        };
        Some(Self {
            partly: rates(partly),
            wholly: rates(WHOLLY_FAILING),
        })
    }

    /// By how much more evidence is asked for while the whole service is in
    /// trouble, when outcomes are not independent of each other; 1 otherwise.
    pub fn caution(self) -> f64 {
        1.0 + CAUTION * (self.partly.background - MIN_BACKGROUND)
    }
}

/// The counts of a test.
#[derive(Clone, Debug)]
pub struct SequentialTest {
    partly: Track,
    wholly: Track,
    started_us: u64,
}

/// The outcomes that are held against one alternative.
///
/// Each alternative has its own, so that normal outcomes which speak against
/// the one do not burden what is seen of the other afterwards.
#[derive(Clone, Debug, Default)]
struct Track {
    tallies: [Tally; SAMPLING_SHIFTS],
    fresh: [Tally; SAMPLING_SHIFTS],
    weighed: f64,
}

impl Track {
    fn add(&mut self, sampling_shift: usize, tally: Tally) {
        self.tallies[sampling_shift].add(tally);
        self.fresh[sampling_shift].add(tally);
    }

    /// Weighs the outcomes added last; starts anew at the lower bound.
    fn weigh(&mut self, rates: Option<Rates>) {
        if let Some(rates) = rates {
            self.weighed += ratio_of(&self.fresh, rates);
        }
        self.fresh = [Tally::default(); SAMPLING_SHIFTS];
        if rates.is_some_and(|rates| self.log_ratio(rates) <= 0.0) {
            *self = Self::default();
        }
    }

    /// The smaller of the ratios by the background of now and of each time.
    fn log_ratio(&self, rates: Rates) -> f64 {
        let by_time = self.weighed + ratio_of(&self.fresh, rates);
        ratio_of(&self.tallies, rates).min(by_time)
    }
}

impl SequentialTest {
    /// A test that starts at `now_us`.
    pub fn new(now_us: u64) -> Self {
        Self {
            partly: Track::default(),
            wholly: Track::default(),
            started_us: now_us,
        }
    }

    /// Upper bound of the log ratio for a service: beyond it the target fails.
    pub fn upper_bound(service: &Service) -> f64 {
        ((1.0 - service.missed_detection_rate) / service.false_ejection_rate).ln()
    }

    /// Lower bound of the log ratio for a service: beyond it the target is healthy.
    pub fn lower_bound(service: &Service) -> f64 {
        (service.missed_detection_rate / (1.0 - service.false_ejection_rate)).ln()
    }

    /// When the counts begin, in microseconds.
    pub fn started_us(&self) -> u64 {
        self.started_us
    }

    /// Counts outcomes, of which the normal ones were thinned by `sampling_shift` steps.
    pub fn add(&mut self, now_us: u64, sampling_shift: usize, tally: Tally) {
        let is_empty = |track: &Track| track.tallies.iter().all(|tally| tally.total() == 0);
        if is_empty(&self.partly) && is_empty(&self.wholly) {
            self.started_us = now_us;
        }
        self.partly.add(sampling_shift, tally);
        self.wholly.add(sampling_shift, tally);
    }

    /// Weighs the outcomes added last by the background of their time; not at
    /// all if no target stands out.
    pub fn weigh(&mut self, alternatives: Option<Alternatives>) {
        self.partly
            .weigh(alternatives.map(|alternatives| alternatives.partly));
        self.wholly
            .weigh(alternatives.map(|alternatives| alternatives.wholly));
    }

    /// The log ratio of the counts against both alternatives, evenly mixed.
    ///
    /// Outcomes that were not weighed yet count as if the background had not changed.
    pub fn log_ratio(&self, alternatives: Alternatives) -> f64 {
        let partly = self.partly.log_ratio(alternatives.partly);
        let wholly = self.wholly.log_ratio(alternatives.wholly);
        mixed(partly, wholly)
    }

    /// The log ratio of the counts between two rates.
    pub fn log_ratio_of(&self, rates: Rates) -> f64 {
        ratio_of(&self.partly.tallies, rates)
    }

    /// Counts as (abnormal, total), with thinned normal outcomes weighed up.
    pub fn weighted(&self) -> (f64, f64) {
        let mut sum = (0.0, 0.0);
        for (sampling_shift, tally) in self.partly.tallies.iter().enumerate() {
            let normal = f64::from(tally.normal) * 2f64.powi(sampling_shift as i32);
            sum.0 += f64::from(tally.abnormal);
            sum.1 += f64::from(tally.abnormal) + normal;
        }
        sum
    }

    /// Forgets the counts.
    pub fn reset(&mut self, now_us: u64) {
        *self = Self::new(now_us);
    }
}

fn ratio_of(tallies: &[Tally; SAMPLING_SHIFTS], rates: Rates) -> f64 {
    let counted = tallies
        .iter()
        .enumerate()
        .filter(|(_, tally)| tally.total() > 0);
    counted
        .map(|(sampling_shift, tally)| rates.sampled(sampling_shift).log_ratio(*tally))
        .sum()
}

/// The log ratio of an even mixture of two alternatives.
fn mixed(one: f64, other: f64) -> f64 {
    let larger = one.max(other);
    larger + (((one - larger).exp() + (other - larger).exp()) / 2.0).ln()
}
