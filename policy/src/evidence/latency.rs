//! Latency distribution of a service, and the threshold beyond which a response is slow.

/// Buckets per doubling of the latency.
const BUCKETS_PER_DOUBLING: f64 = 8.0;
const BUCKETS: usize = 256;
/// A response is slow if it exceeds the median by this multiple of the distance
/// between the lowest decile and the median. Of exponentially distributed latencies,
/// one in a hundred is slow, whatever constant latency the links add.
const SLOW_DISTANCE_FACTOR: f64 = 6.65;
/// A response below this multiple of the median is never slow.
const MIN_SLOW_MEDIAN_FACTOR: f64 = 2.0;
/// Responses below this latency are never slow, in microseconds.
const MIN_SLOW_US: u64 = 20_000;
/// Responses required before the estimates are used.
const MIN_RESPONSES: f32 = 30.0;
/// Responses after which a count has halved.
const HALF_LIFE_RESPONSES: f32 = 400.0;
const MAX_WEIGHT: f32 = 1e6;
const MEDIAN: f32 = 0.5;
const LOWEST_DECILE: f32 = 0.1;

/// Latency estimates of a service, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Latencies {
    /// Median latency; 0 while unknown.
    pub median_us: u64,
    /// Latency beyond which a response is slow; 0 while unknown.
    pub slow_us: u64,
}

impl Latencies {
    /// Whether enough responses have been counted for an estimate.
    pub fn is_known(self) -> bool {
        self.median_us > 0
    }
}

/// Histogram of the latencies of a service, with exponential decay.
///
/// Instead of reducing the counts, each response gets a larger weight than the last.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    counts: Box<[f32; BUCKETS]>,
    total: f32,
    weight: f32,
    latencies: Latencies,
    additions: u32,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self {
            counts: Box::new([0.0; BUCKETS]),
            total: 0.0,
            weight: 1.0,
            latencies: Latencies::default(),
            additions: 0,
        }
    }
}

impl LatencyHistogram {
    /// Adds the latency of a good response.
    pub fn add(&mut self, latency_us: u64) {
        let index = ((latency_us.max(1) as f64).log2() * BUCKETS_PER_DOUBLING) as usize;
        self.weight *= 2f32.powf(1.0 / HALF_LIFE_RESPONSES);
        self.counts[index.min(BUCKETS - 1)] += self.weight;
        self.total += self.weight;
        self.additions += 1;
        if self.weight > MAX_WEIGHT {
            self.rescale();
        }
        if self.additions.is_multiple_of(8) || self.additions < 64 {
            self.latencies = self.estimate();
        }
    }

    /// Returns the current estimates; unknown while there are too few responses.
    pub fn latencies(&self) -> Latencies {
        self.latencies
    }

    fn estimate(&self) -> Latencies {
        if self.total / self.weight < MIN_RESPONSES * 0.9 {
            return Latencies::default();
        }
        let median = self.quantile(MEDIAN);
        let distance = median - self.quantile(LOWEST_DECILE);
        let slow = (median + SLOW_DISTANCE_FACTOR * distance).max(median * MIN_SLOW_MEDIAN_FACTOR);
        Latencies {
            median_us: median as u64,
            slow_us: (slow as u64).max(MIN_SLOW_US),
        }
    }

    fn quantile(&self, quantile_level: f32) -> f64 {
        let mut sum = 0.0;
        for (index, count) in self.counts.iter().enumerate() {
            if sum + count >= self.total * quantile_level {
                let fraction =
                    f64::from((self.total * quantile_level - sum) / count.max(f32::MIN_POSITIVE));
                return 2f64.powf((index as f64 + fraction) / BUCKETS_PER_DOUBLING);
            }
            sum += count;
        }
        0.0
    }

    fn rescale(&mut self) {
        for count in self.counts.iter_mut() {
            *count /= self.weight;
        }
        self.total /= self.weight;
        self.weight = 1.0;
    }
}
