//! Network latency between data centres.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// The network link between two data centres; it applies in both directions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Data centre at one end.
    pub from: Arc<str>,
    /// Data centre at the other end.
    pub to: Arc<str>,
    /// One-way latency in microseconds.
    pub one_way_us: u64,
}
