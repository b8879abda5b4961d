//! What a target says about itself in its responses, whatever they respond to.

use std::sync::Arc;

/// A value that a target may state in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Notice<T> {
    /// The response does not state it.
    #[default]
    Absent,
    /// The stated value.
    Stated(T),
    /// It is stated, but cannot be read.
    Unreadable,
}

/// The notices of one response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetNotices {
    /// Requests per second that the target takes from all instances together, in thousandths;
    /// absent if it sets no limit.
    pub rate_limit_milli: Notice<u32>,
}

/// The notices of a target's response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoticedTarget {
    /// The target's name.
    pub target: Arc<str>,
    /// Incarnation of the process that responded.
    pub incarnation: u64,
    /// When the request was sent, in microseconds.
    pub sent_us: u64,
    /// Its notices.
    pub notices: TargetNotices,
}
