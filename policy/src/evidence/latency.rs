//! The scale by which an answer counts as slow.

/// Buckets per doubling of the latency.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
const BUCKETS: usize = 128;
/// An answer is slow beyond this multiple of the median.
const SLOW_FACTOR: f64 = 7.0;
/// Answers below this are never slow, in microseconds.
const MIN_SLOW_US: u64 = 20_000;
/// Answers before a median is trusted.
const MIN_ANSWERS: f64 = 30.0;
/// Answers after which a count forgets half.
const HALF_LIFE_ANSWERS: f64 = 400.0;

/// A decayed histogram of the latencies of a service.
#[derive(Clone, Debug)]
pub struct LatencyScale {
    counts: [f64; BUCKETS],
    total: f64,
    unit: f64,
    median_us: u64,
    additions: u32,
}

impl Default for LatencyScale {
    fn default() -> Self {
        Self {
            counts: [0.0; BUCKETS],
            total: 0.0,
            unit: 1.0,
            median_us: 0,
            additions: 0,
        }
    }
}

impl LatencyScale {
    /// Adds the latency of a good answer.
    pub fn add(&mut self, latency_us: u64) {
        let at = ((latency_us.max(1) as f64).log2() * BUCKETS_PER_DOUBLING) as usize;
        self.unit *= 2f64.powf(1.0 / HALF_LIFE_ANSWERS);
        self.counts[at.min(BUCKETS - 1)] += self.unit;
        self.total += self.unit;
        self.additions += 1;
        if self.unit > 1e9 {
            self.rescale();
        }
        if self.additions.is_multiple_of(8) || self.additions < 64 {
            self.median_us = self.find_median();
        }
    }

    /// The median in microseconds; 0 while too few answers are known.
    pub fn median_us(&self) -> u64 {
        self.median_us
    }

    /// The latency beyond which an answer is slow, if known.
    pub fn slow_us(&self) -> Option<u64> {
        if self.median_us == 0 {
            return None;
        }
        let slow_us = (self.median_us as f64 * SLOW_FACTOR) as u64;
        Some(slow_us.max(MIN_SLOW_US))
    }

    fn find_median(&self) -> u64 {
        if self.total / self.unit < MIN_ANSWERS * 0.9 {
            return 0;
        }
        let mut sum = 0.0;
        for (at, count) in self.counts.iter().enumerate() {
            sum += count;
            if sum * 2.0 >= self.total {
                return 2f64.powf((at as f64 + 0.5) / BUCKETS_PER_DOUBLING) as u64;
            }
        }
        0
    }

    fn rescale(&mut self) {
        for count in &mut self.counts {
            *count /= self.unit;
        }
        self.total /= self.unit;
        self.unit = 1.0;
    }
}
