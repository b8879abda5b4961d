//! Counters of normal and abnormal outcomes.

use serde::Deserialize;
use serde::Serialize;

/// Probability below which a number of abnormal outcomes is unusual: that of one
/// among five outcomes, at the lowest baseline error rate assumed.
const MAX_UNUSUAL_PROBABILITY: f64 = 0.1;

/// Outcomes counted by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Successful responses that were not slow.
    pub normal: u32,
    /// Failures and slow responses.
    pub abnormal: u32,
}

impl Tally {
    /// Returns the number of all outcomes.
    pub fn total(self) -> u32 {
        self.normal + self.abnormal
    }

    /// Whether at least this many abnormal outcomes have a probability below
    /// `MAX_UNUSUAL_PROBABILITY` if each outcome is abnormal with probability `rate`
    /// (Poisson approximation).
    pub fn is_unusual(self, rate: f64) -> bool {
        let mean = f64::from(self.total()) * rate;
        let mut count_probability = (-mean).exp();
        let mut tail_probability = 1.0;
        for count in 0..self.abnormal {
            tail_probability -= count_probability;
            count_probability *= mean / f64::from(count + 1);
        }
        tail_probability < MAX_UNUSUAL_PROBABILITY
    }

    /// Adds another tally.
    pub fn add(&mut self, other: Self) {
        self.normal = self.normal.saturating_add(other.normal);
        self.abnormal = self.abnormal.saturating_add(other.abnormal);
    }
}

/// Number of sampling shifts; shift `n` counts one in 2ⁿ normal outcomes.
pub(super) const SAMPLING_SHIFTS: usize = 8;

const BUCKET_US: u64 = 100_000;
const BUCKETS: usize = 20;
/// Outcomes after which a decayed count has halved.
const HALF_LIFE_OUTCOMES: f64 = 40.0;

/// Counts of the last two seconds, and counts with exponential decay for targets whose
/// outcomes are rare.
#[derive(Clone, Debug, Default)]
pub struct RecentTally {
    buckets: [(u64, Tally); BUCKETS],
    decayed_normal: f64,
    decayed_abnormal: f64,
}

impl RecentTally {
    /// Counts outcomes whose normal ones were sampled with `sampling_shift`.
    pub fn add(&mut self, now_us: u64, sampling_shift: usize, tally: Tally) {
        let tally = Tally {
            normal: tally.normal << sampling_shift,
            abnormal: tally.abnormal,
        };
        let index = now_us / BUCKET_US;
        let bucket = &mut self.buckets[index as usize % BUCKETS];
        if bucket.0 != index {
            *bucket = (index, Tally::default());
        }
        bucket.1.add(tally);
        let decay = 0.5f64.powf(f64::from(tally.total()) / HALF_LIFE_OUTCOMES);
        self.decayed_normal = self.decayed_normal * decay + f64::from(tally.normal);
        self.decayed_abnormal = self.decayed_abnormal * decay + f64::from(tally.abnormal);
    }

    /// Returns the counts since `since_us`, limited to the last two seconds.
    pub fn since(&self, now_us: u64, since_us: u64) -> Tally {
        let oldest = (now_us / BUCKET_US + 1).saturating_sub(BUCKETS as u64);
        let first = (since_us / BUCKET_US).max(oldest);
        let mut sum = Tally::default();
        for (index, tally) in &self.buckets {
            if *index >= first {
                sum.add(*tally);
            }
        }
        sum
    }

    /// Returns the decayed counts as (abnormal, total).
    pub fn decayed(&self) -> (f64, f64) {
        (
            self.decayed_abnormal,
            self.decayed_abnormal + self.decayed_normal,
        )
    }
}
