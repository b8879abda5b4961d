//! What an attempt says of its target.

use std::sync::Arc;

/// How an attempt ended, as seen from the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The head of an answer came.
    Answered {
        /// Whether the status speaks for a healthy target.
        good: bool,
        /// Time from sending to the head, in microseconds.
        latency_us: u64,
    },
    /// The target sheds load.
    Shed,
    /// The target refused the connection, or it ended before a byte was sent.
    NotSent,
    /// No connection was opened in time, which may be the link's fault.
    Unreachable,
    /// The connection ended early or the answer was malformed.
    Cut,
    /// No answer came in the time in which nearly all others come.
    Overdue,
    /// The caller or a faster attempt made it needless.
    Cancelled,
}

/// An attempt's end, with its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The service's name.
    pub service: Arc<str>,
    /// The target's name.
    pub target: Arc<str>,
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// Whether the attempt was counted before, as overdue.
    pub counted: bool,
}
