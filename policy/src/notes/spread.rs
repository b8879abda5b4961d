//! Spreading a message to all instances by a tree.
//!
//! Each receiver is told the range of ids that it passes the message on to, so
//! that an instance sends a few messages however many there are. Views need
//! not agree: a range is cut by the receiver's own view.

use std::sync::Arc;

use rand::Rng;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;

/// Messages that one instance sends to spread one piece of news.
pub const FAN_OUT: usize = 12;

/// The ids that a receiver passes a message on to: after the first to the last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdRange {
    /// The id before the first.
    pub after: Arc<str>,
    /// The last id.
    pub to: Arc<str>,
}

/// Splits sorted `ids` into the receivers of a message and what each passes on.
///
/// Where the parts begin is drawn, so that the same news told by several instances does
/// not pass the same ones, one of which may be dead.
pub fn split(ids: &[Arc<str>], rng: &mut impl Rng) -> Vec<(Arc<str>, Option<IdRange>)> {
    let size = ids.len().div_ceil(FAN_OUT).max(1);
    let (first, others) = ids.split_at(rng.random_range(0..size).min(ids.len()));
    let part = |chunk: &[Arc<str>]| {
        let first = chunk[0].clone();
        let last = chunk[chunk.len() - 1].clone();
        let span = (chunk.len() > 1).then(|| IdRange {
            after: first.clone(),
            to: last,
        });
        (first, span)
    };
    first
        .chunks(size)
        .chain(others.chunks(size))
        .map(part)
        .collect()
}

impl IdRange {
    /// The ids of a sorted view that lie in the span.
    pub fn cut(&self, ids: &[Arc<str>]) -> Vec<Arc<str>> {
        let inside = |id: &&Arc<str>| **id > self.after && **id <= self.to;
        ids.iter().filter(inside).cloned().collect()
    }
}
