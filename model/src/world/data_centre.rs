//! The distance between data centres.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// The link between two data centres, in both directions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// One end.
    pub from: Arc<str>,
    /// The other end.
    pub to: Arc<str>,
    /// Time that a packet takes, in microseconds.
    pub one_way_us: u64,
}
