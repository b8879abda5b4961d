//! Spreading a message to all instances by a tree.
//!
//! Each receiver is told the range of ids that it passes the message on to, so
//! that an instance sends a few messages however many there are. Views need
//! not agree: a range is cut by the receiver's own view.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Messages that one instance sends to spread one piece of news.
pub const FAN_OUT: usize = 12;

/// The ids that a receiver passes a message on to: after the first to the last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// The id before the first.
    pub after: Arc<str>,
    /// The last id.
    pub to: Arc<str>,
}

/// Splits sorted `ids` into the receivers of a message and what each passes on.
pub fn split(ids: &[Arc<str>]) -> Vec<(Arc<str>, Option<Span>)> {
    let size = ids.len().div_ceil(FAN_OUT).max(1);
    let part = |chunk: &[Arc<str>]| {
        let first = chunk[0].clone();
        let last = chunk[chunk.len() - 1].clone();
        let span = (chunk.len() > 1).then(|| Span {
            after: first.clone(),
            to: last,
        });
        (first, span)
    };
    ids.chunks(size).map(part).collect()
}

impl Span {
    /// The ids of a sorted view that lie in the span.
    pub fn cut(&self, ids: &[Arc<str>]) -> Vec<Arc<str>> {
        let inside = |id: &&Arc<str>| **id > self.after && **id <= self.to;
        ids.iter().filter(inside).cloned().collect()
    }
}
