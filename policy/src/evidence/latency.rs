//! The scale by which an answer counts as slow.

/// Buckets per doubling of the latency.
const BUCKETS_PER_DOUBLING: f64 = 8.0;
const BUCKETS: usize = 256;
/// An answer is slow beyond the median by this multiple of the distance between
/// the median and the lowest tenth: one in a hundred exponential ones, whatever
/// constant part the links add.
const SLOW_SPREADS: f64 = 6.65;
/// An answer below this multiple of the median is never slow.
const MIN_SLOW_MEDIANS: f64 = 2.0;
/// Answers below this are never slow, in microseconds.
const MIN_SLOW_US: u64 = 20_000;
/// Answers before a scale is trusted.
const MIN_ANSWERS: f32 = 30.0;
/// Answers after which a count forgets half.
const HALF_LIFE_ANSWERS: f32 = 400.0;
const MAX_UNIT: f32 = 1e6;
const MEDIAN: f32 = 0.5;
const LOWEST_TENTH: f32 = 0.1;

/// What is known of the latencies of a service, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Latencies {
    /// The median; 0 while unknown.
    pub median_us: u64,
    /// The latency beyond which an answer is slow; 0 while unknown.
    pub slow_us: u64,
}

impl Latencies {
    /// Whether anything is known.
    pub fn is_known(self) -> bool {
        self.median_us > 0
    }
}

/// A decayed histogram of the latencies of a service.
#[derive(Clone, Debug)]
pub struct LatencyScale {
    counts: Box<[f32; BUCKETS]>,
    total: f32,
    unit: f32,
    known: Latencies,
    additions: u32,
}

impl Default for LatencyScale {
    fn default() -> Self {
        Self {
            counts: Box::new([0.0; BUCKETS]),
            total: 0.0,
            unit: 1.0,
            known: Latencies::default(),
            additions: 0,
        }
    }
}

impl LatencyScale {
    /// Adds the latency of a good answer.
    pub fn add(&mut self, latency_us: u64) {
        let at = ((latency_us.max(1) as f64).log2() * BUCKETS_PER_DOUBLING) as usize;
        self.unit *= 2f32.powf(1.0 / HALF_LIFE_ANSWERS);
        self.counts[at.min(BUCKETS - 1)] += self.unit;
        self.total += self.unit;
        self.additions += 1;
        if self.unit > MAX_UNIT {
            self.rescale();
        }
        if self.additions.is_multiple_of(8) || self.additions < 64 {
            self.known = self.find();
        }
    }

    /// What is known.
    pub fn known(&self) -> Latencies {
        self.known
    }

    fn find(&self) -> Latencies {
        if self.total / self.unit < MIN_ANSWERS * 0.9 {
            return Latencies::default();
        }
        let median = self.quantile(MEDIAN);
        let spread = median - self.quantile(LOWEST_TENTH);
        let slow = (median + SLOW_SPREADS * spread).max(median * MIN_SLOW_MEDIANS);
        Latencies {
            median_us: median as u64,
            slow_us: (slow as u64).max(MIN_SLOW_US),
        }
    }

    fn quantile(&self, share: f32) -> f64 {
        let mut sum = 0.0;
        for (at, count) in self.counts.iter().enumerate() {
            if sum + count >= self.total * share {
                let inside = f64::from((self.total * share - sum) / count.max(f32::MIN_POSITIVE));
                return 2f64.powf((at as f64 + inside) / BUCKETS_PER_DOUBLING);
            }
            sum += count;
        }
        0.0
    }

    fn rescale(&mut self) {
        for count in self.counts.iter_mut() {
            *count /= self.unit;
        }
        self.total /= self.unit;
        self.unit = 1.0;
    }
}
