//! Counts of normal and abnormal outcomes.

use serde::Deserialize;
use serde::Serialize;

/// Probability of a count below which it is unusual: one abnormal outcome of five
/// at the lowest rate that is assumed.
const UNUSUAL: f64 = 0.1;

/// Outcomes counted by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Outcomes like those of a healthy target.
    pub normal: u32,
    /// Failures and slow answers.
    pub abnormal: u32,
}

impl Tally {
    /// All outcomes.
    pub fn total(self) -> u32 {
        self.normal + self.abnormal
    }

    /// Whether so many are abnormal with a probability under `UNUSUAL`, if each is
    /// with probability `rate`.
    pub fn is_unusual(self, rate: f64) -> bool {
        let mean = f64::from(self.total()) * rate;
        let mut term = (-mean).exp();
        let mut at_least = 1.0;
        for count in 0..self.abnormal {
            at_least -= term;
            term *= mean / f64::from(count + 1);
        }
        at_least < UNUSUAL
    }

    /// Adds another tally.
    pub fn add(&mut self, other: Self) {
        self.normal = self.normal.saturating_add(other.normal);
        self.abnormal = self.abnormal.saturating_add(other.abnormal);
    }
}

/// Steps by which normal outcomes are thinned: step `n` keeps one in 2ⁿ.
pub(super) const SAMPLING_SHIFTS: usize = 8;

const BUCKET_US: u64 = 100_000;
const BUCKETS: usize = 20;
/// Outcomes after which a decayed count forgets half.
const HALF_LIFE_OUTCOMES: f64 = 40.0;

/// Counts of the last two seconds, and a decayed one for rare outcomes.
#[derive(Clone, Debug, Default)]
pub struct RecentTally {
    buckets: [(u64, Tally); BUCKETS],
    decayed_normal: f64,
    decayed_abnormal: f64,
}

impl RecentTally {
    /// Counts outcomes, of which the normal ones were thinned by `sampling_shift` steps.
    pub fn add(&mut self, now_us: u64, sampling_shift: usize, tally: Tally) {
        let tally = Tally {
            normal: tally.normal << sampling_shift,
            abnormal: tally.abnormal,
        };
        let number = now_us / BUCKET_US;
        let bucket = &mut self.buckets[number as usize % BUCKETS];
        if bucket.0 != number {
            *bucket = (number, Tally::default());
        }
        bucket.1.add(tally);
        let kept = 0.5f64.powf(f64::from(tally.total()) / HALF_LIFE_OUTCOMES);
        self.decayed_normal = self.decayed_normal * kept + f64::from(tally.normal);
        self.decayed_abnormal = self.decayed_abnormal * kept + f64::from(tally.abnormal);
    }

    /// Counts since `since_us`, of the last two seconds at most.
    pub fn since(&self, now_us: u64, since_us: u64) -> Tally {
        let oldest = (now_us / BUCKET_US + 1).saturating_sub(BUCKETS as u64);
        let first = (since_us / BUCKET_US).max(oldest);
        let mut sum = Tally::default();
        for (number, tally) in &self.buckets {
            if *number >= first {
                sum.add(*tally);
            }
        }
        sum
    }

    /// Decayed counts as (abnormal, total).
    pub fn decayed(&self) -> (f64, f64) {
        (
            self.decayed_abnormal,
            self.decayed_abnormal + self.decayed_normal,
        )
    }
}
