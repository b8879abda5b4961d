//! What a quota allows, as the account and the gate use it.
//!
//! The users' bound on five seconds is `(5 x rate + burst) x 1.1 + 20`. Of the 0.5 s of the rate,
//! the tenth of the burst and the 20 requests above the quota, half of the rate's part extends the
//! account, so that a rate with a small burst can be used up although messages take time; the rest
//! covers requests on credit, fixed shares and changes of the owner.

use model::configuration::Quota;

/// Seconds of the rate by which the capacity of the account exceeds the burst.
const EXTRA_CAPACITY_S: f64 = 0.25;
/// Requests by which the capacity of the account exceeds the burst.
const EXTRA_CAPACITY: f64 = 5.0;
/// Share of the capacity that covers requests admitted on credit and not reported yet.
const RESERVE_SHARE: f64 = 0.5;

/// Rate and capacity of a quota.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaTerms {
    /// Requests per second.
    pub rate_per_s: f64,
    /// Requests that can accumulate.
    pub capacity: f64,
}

impl QuotaTerms {
    /// Returns the terms of a quota for all instances together. A rate of 0 allows nothing.
    pub fn of(quota: &Quota) -> Self {
        let rate_per_s = quota.rate_milli as f64 / 1e3;
        let capacity = match quota.rate_milli {
            0 => 0.0,
            _ => f64::from(quota.burst) + EXTRA_CAPACITY_S * rate_per_s + EXTRA_CAPACITY,
        };
        Self {
            rate_per_s,
            capacity,
        }
    }

    /// Returns the terms of a share of the fleet.
    pub fn scaled(self, share: f64) -> Self {
        Self {
            rate_per_s: self.rate_per_s * share,
            capacity: self.capacity * share,
        }
    }

    /// Balance below which the customer is restricted.
    pub fn reserve(&self) -> f64 {
        RESERVE_SHARE * self.capacity
    }

    /// Requests that one of `instances` admits before the owner has answered its report. All of
    /// them together stay within the reserve if it holds one for each instance.
    pub fn credit(&self, instances: f64) -> u64 {
        ((self.reserve() / instances.max(1.0)) as u64).max(1)
    }
}
