//! What a target says about itself in its responses, whatever they respond to.

use crate::routing::TargetProcess;

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
    /// Whether the target leaves; its process does not take that back.
    pub is_leaving: Notice<bool>,
    /// Time for which the target wants no requests from this instance, in milliseconds.
    pub pause_ms: Notice<u64>,
}

impl TargetNotices {
    /// Whether any of them cannot be read.
    pub fn has_unreadable(&self) -> bool {
        self.rate_limit_milli == Notice::Unreadable
            || self.is_leaving == Notice::Unreadable
            || self.pause_ms == Notice::Unreadable
    }
}

/// The notices of a target's response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoticedTarget {
    /// The process that responded.
    pub process: TargetProcess,
    /// When the request was sent, in microseconds.
    pub sent_us: u64,
    /// Its notices.
    pub notices: TargetNotices,
}
