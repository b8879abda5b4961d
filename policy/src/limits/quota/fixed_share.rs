//! The share of a quota that an instance uses while no owner answers.

use super::QuotaTerms;

/// Instances of the fleet that may use one request as soon as their owner is silent, which is a part
/// of the 20 requests above the quota that the bound allows.
const WHOLE_REQUESTS: f64 = 8.0;
/// Share of the instances that may use one request when their process starts. If all of them start at
/// once, they have sent nothing while they were down, so that most of their requests fit the quota.
const FIRST_REQUEST_SHARE: f64 = 0.8;

/// Token bucket of one instance.
#[derive(Clone, Copy, Debug)]
pub struct FixedShare {
    tokens: f64,
    updated_us: u64,
    /// Uniform number from 0 to 1 that differs by instance and customer.
    draw: f64,
}

impl FixedShare {
    /// Creates an empty bucket: the share was at the owner until `since_us`. `draw` decides which
    /// instances can hold a whole request if their shares are smaller.
    pub fn new(since_us: u64, draw: f64) -> Self {
        Self {
            tokens: 0.0,
            updated_us: since_us,
            draw,
        }
    }

    /// Adds the request that a few of all instances may use at once.
    pub fn with_first_request(mut self, instances: f64) -> Self {
        if self.draw * instances < WHOLE_REQUESTS {
            self.tokens = 1.0;
        }
        self
    }

    /// Adds the request that most new processes may use before they know an owner.
    pub fn with_first_request_of_process(mut self) -> Self {
        if self.draw < FIRST_REQUEST_SHARE {
            self.tokens = 1.0;
        }
        self
    }

    /// Takes a request out of the share.
    ///
    /// # Errors
    ///
    /// Returns the time until the next one is due, in milliseconds; `None` if the share never holds
    /// a whole request.
    pub fn take(&mut self, now_us: u64, terms: QuotaTerms) -> Result<(), Option<u64>> {
        let elapsed_s = now_us.saturating_sub(self.updated_us) as f64 / 1e6;
        self.updated_us = self.updated_us.max(now_us);
        // As many instances hold a whole request as the capacity of the fleet allows.
        let capacity = match self.draw < terms.capacity {
            true => terms.capacity.max(1.0),
            false => terms.capacity,
        };
        let accrued = self.tokens + terms.rate_per_s * elapsed_s;
        self.tokens = accrued.min(capacity.max(self.tokens));
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        if capacity < 1.0 || terms.rate_per_s <= 0.0 {
            return Err(None);
        }
        Err(Some(
            ((1.0 - self.tokens) / terms.rate_per_s * 1e3) as u64 + 1,
        ))
    }
}
