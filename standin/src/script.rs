//! Scripts that set the behaviour and the faults of a fake.

use serde::Deserialize;
use serde::Serialize;

/// Behaviour of a backend server. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Script {
    /// Mean processing time of a request, which is exponentially distributed.
    pub work_ms: f64,
    /// Size of a response body, if the request has no body to echo.
    pub answer_bytes: usize,
    /// Fraction of requests that are answered with status 500.
    pub failing_share: f64,
    /// Whether requests are never answered.
    pub hung: bool,
    /// Whether the connection is closed on every request.
    pub dead: bool,
    /// Body bytes after which a response is cut off; `None` sends all of it.
    pub cut_after_bytes: Option<usize>,
    /// Whether all requests are rejected with status 503.
    pub shedding: bool,
    /// Pause between two 16 KiB chunks of a response body.
    pub chunk_pause_ms: u64,
    /// Requests processed concurrently; further ones are queued.
    pub slots: usize,
    /// Maximum number of queued requests; further ones are rejected with status 503.
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

/// Faults of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFault {
    /// Whether every call fails without a reply.
    pub away: bool,
    /// Delay before each call is processed, in milliseconds.
    pub slow_ms: u64,
    /// Whether writes take effect but are reported as failed, as if the reply
    /// had been lost.
    pub loses_answers: bool,
}
