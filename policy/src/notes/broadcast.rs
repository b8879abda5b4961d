//! Broadcast of a message to all instances along a tree.
//!
//! Each receiver gets the range of ids to which it forwards the message, so that an
//! instance sends only a few messages, whatever the size of the fleet. The instances'
//! views of the membership need not agree, as each receiver resolves its range against its
//! own view.

use std::sync::Arc;

use rand::Rng;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;

/// Approximate number of messages that one instance sends for a broadcast.
pub const FAN_OUT: usize = 12;

/// The ids to which a receiver forwards a message: above `after`, up to `to` inclusive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdRange {
    /// Exclusive lower bound.
    pub after: Arc<str>,
    /// Inclusive upper bound.
    pub to: Arc<str>,
}

/// Divides sorted `ids` into receivers, each with the range to which it forwards; `None` if
/// it forwards to no other instance.
///
/// The boundaries are random, so that broadcasts of the same message by several instances
/// pass through different receivers, one of which may be dead.
pub fn partition_receivers(
    ids: &[Arc<str>],
    rng: &mut impl Rng,
) -> Vec<(Arc<str>, Option<IdRange>)> {
    let size = ids.len().div_ceil(FAN_OUT).max(1);
    let (first, others) = ids.split_at(rng.random_range(0..size).min(ids.len()));
    let part = |chunk: &[Arc<str>]| {
        let first = chunk[0].clone();
        let last = chunk[chunk.len() - 1].clone();
        let range = (chunk.len() > 1).then(|| IdRange {
            after: first.clone(),
            to: last,
        });
        (first, range)
    };
    first
        .chunks(size)
        .chain(others.chunks(size))
        .map(part)
        .collect()
}

impl IdRange {
    /// The ids of a sorted view that lie in the range.
    pub fn select_ids(&self, ids: &[Arc<str>]) -> Vec<Arc<str>> {
        let is_inside = |id: &&Arc<str>| **id > self.after && **id <= self.to;
        ids.iter().filter(is_inside).cloned().collect()
    }
}
