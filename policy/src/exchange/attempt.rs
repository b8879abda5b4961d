//! One attempt to send a request to a target.

use model::ResultCode;

use crate::routing::Slot;

/// Why an attempt produced no response that can be forwarded to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The attempt failed before a byte of the request was sent.
    NotSent,
    /// The target refused the request; by its contract a refused request has not run.
    Refused,
    /// The connection closed before the response was complete.
    Cut,
    /// The response was malformed.
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

impl From<Failure> for ResultCode {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::NotSent => Self::ConnectFailed,
            Failure::Refused => Self::TargetRefused,
            Failure::Cut => Self::TargetTruncated,
            Failure::Malformed => Self::TargetMalformed,
        }
    }
}

/// An attempt in progress or finished.
#[derive(Debug)]
pub(super) struct Attempt {
    /// The candidate's index in the table.
    pub(super) candidate: usize,
    /// Slot occupied at the target; `None` once the attempt has ended.
    pub(super) slot: Option<Slot>,
    /// When the request was sent, in microseconds.
    pub(super) sent_us: u64,
}
