//! The result of an attempt, as evidence of its target's health.

use std::sync::Arc;

/// How an attempt ended, as seen by the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The head of a response was received.
    Answered {
        /// Whether the status indicates a healthy target.
        good: bool,
        /// Time from sending the request to receiving the head, in microseconds.
        latency_us: u64,
    },
    /// The target refused the request to shed load.
    Shed,
    /// The target refused the connection, or the connection closed before a byte was sent.
    NotSent,
    /// No connection was opened in time; the cause may be the network link.
    Unreachable,
    /// The connection closed early, or the response stalled or was malformed.
    Cut,
    /// No response arrived within the time in which nearly all responses do.
    Overdue,
    /// The attempt was cancelled because the caller disconnected or another attempt was faster.
    Cancelled,
}

/// The end of an attempt, with its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The service's name.
    pub service: Arc<str>,
    /// The target's name.
    pub target: Arc<str>,
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// How often the attempt was reported as overdue before.
    pub overdue_reports: u8,
    /// Whether the attempt had the time that responses may take, so that its latency is a fair
    /// sample; those of attempts with less time are only the fast ones.
    pub has_full_time: bool,
}
