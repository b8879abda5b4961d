//! One sending of a request to one target.

use crate::routing::Slot;

/// Why an attempt gave no answer that can be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request has left.
    NotSent,
    /// The target refused, and its contract says that it has not run the request.
    Refused,
    /// The connection ended early.
    Cut,
    /// The answer was malformed.
    Malformed,
}

impl Failure {
    /// Whether the target may have run the request.
    pub fn may_have_run(self) -> bool {
        match self {
            Self::NotSent | Self::Refused => false,
            Self::Cut | Self::Malformed => true,
        }
    }
}

/// A sending in progress or past.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) candidate: usize,
    pub(super) slot: Option<Slot>,
}
