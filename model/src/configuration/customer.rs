//! A customer on whose behalf callers send requests.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::KeyDigest;
use super::Named;

/// Requests that a customer may send to all instances together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Requests per second, in thousandths.
    pub rate_milli: u64,
    /// Requests that may be sent at once after a pause.
    pub burst: u32,
}

/// A customer, how its callers identify themselves, and its limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Name of the customer.
    pub name: Arc<str>,
    /// Maximum number of concurrent requests that each instance accepts for the customer.
    #[serde(default = "default_in_flight")]
    pub in_flight: u32,
    /// Digests of the keys by which callers identify themselves. With `None`, callers send the
    /// customer's name in the `sniperun-customer` header. If any customer has keys, all callers
    /// need one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub keys: Option<Vec<KeyDigest>>,
    /// Limit of the customer's requests to all instances together; `None` for no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<Quota>,
    /// Priority of the customer's requests, 0 being the most urgent; `None` uses the route's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
}

const DEFAULT_IN_FLIGHT: u32 = 256;

fn default_in_flight() -> u32 {
    DEFAULT_IN_FLIGHT
}

impl Customer {
    /// Creates a customer without keys, quota and priority.
    pub fn new(name: Arc<str>, in_flight: u32) -> Self {
        Self {
            name,
            in_flight,
            keys: None,
            quota: None,
            priority: None,
        }
    }
}

impl Named for Customer {
    const KIND: &'static str = "customer";

    fn name(&self) -> &Arc<str> {
        &self.name
    }
}
