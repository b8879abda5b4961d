//! What a fake is told to do.

use serde::Deserialize;
use serde::Serialize;

/// How a backend server behaves. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Script {
    /// Mean time of a request; exponentially distributed.
    pub work_ms: f64,
    /// Bytes of an answer.
    pub answer_bytes: usize,
    /// Share of requests answered with status 500.
    pub failing_share: f64,
    /// Whether requests are never answered.
    pub hung: bool,
    /// Whether connections are closed at once.
    pub dead: bool,
    /// Bytes after which an answer is cut, if at all.
    pub cut_after_bytes: Option<usize>,
    /// Whether all requests are refused with status 503.
    pub shedding: bool,
    /// Pause between two chunks of 16 KiB of an answer.
    pub chunk_pause_ms: u64,
    /// Requests that it works on at once; more wait.
    pub slots: usize,
    /// Requests that may wait; more are refused with status 503.
    pub waiting: usize,
}

impl Default for Script {
    fn default() -> Self {
        Self {
            work_ms: 5.0,
            answer_bytes: 64,
            failing_share: 0.0,
            hung: false,
            dead: false,
            cut_after_bytes: None,
            shedding: false,
            chunk_pause_ms: 0,
            slots: 6,
            waiting: 300,
        }
    }
}

/// How the platform behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFault {
    /// Whether it does not answer at all.
    pub away: bool,
    /// Time before each answer, in milliseconds.
    pub slow_ms: u64,
    /// Whether writes take effect and their answers are lost.
    pub loses_answers: bool,
}
