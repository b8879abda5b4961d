//! A customer on whose behalf callers send requests.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::Named;

/// A customer and its limit on concurrent requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Name that callers send in the `sniperun-customer` header.
    pub name: Arc<str>,
    /// Maximum number of concurrent requests that each instance accepts for the customer.
    #[serde(default = "default_in_flight")]
    pub in_flight: u32,
}

const DEFAULT_IN_FLIGHT: u32 = 256;

fn default_in_flight() -> u32 {
    DEFAULT_IN_FLIGHT
}

impl Named for Customer {
    const KIND: &'static str = "customer";

    fn name(&self) -> &Arc<str> {
        &self.name
    }
}
