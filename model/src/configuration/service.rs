//! Services: the settings that all targets of a service share.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::Named;

/// Priority class of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Interactive: a person is waiting for the response.
    Live,
    /// A command that changes state.
    Command,
    /// A long download that tolerates delay.
    Export,
}

impl Class {
    /// Returns the name of the class in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Command => "command",
            Self::Export => "export",
        }
    }
}

/// Whether a request may be sent more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Requests are idempotent and may be sent again.
    Idempotent,
    /// A request must run at most once.
    Never,
}

/// A service and the settings for its requests and targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name of the service.
    pub name: Arc<str>,
    /// Priority class of its requests.
    pub class: Class,
    /// Whether a request may be sent more than once.
    pub repeat: Repeat,
    /// Time limit of a request whose caller sets none, in milliseconds.
    pub time_limit_ms: u64,
    /// Minimum share of the service's slots that stays in use despite ejections, 0 to 1.
    pub floor_share: f64,
    /// Accepted probability that a sequential test ejects a healthy target, above 0 and below
    /// 0.5.
    pub false_ejection_rate: f64,
    /// Accepted probability that a sequential test misses a failing target, above 0 and below
    /// 0.5.
    pub missed_detection_rate: f64,
    /// Retry budget as a share of first attempts, 0 to 1.
    #[serde(default = "default_retry_share")]
    pub retry_share: f64,
    /// Maximum number of requests queued in each instance.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Path requested by health probes.
    #[serde(default = "default_probe_path")]
    pub probe_path: Arc<str>,
}

const DEFAULT_RETRY_SHARE: f64 = 0.1;
const DEFAULT_QUEUE: u32 = 200;
const DEFAULT_PROBE_PATH: &str = "/health";

fn default_retry_share() -> f64 {
    DEFAULT_RETRY_SHARE
}

fn default_queue() -> u32 {
    DEFAULT_QUEUE
}

fn default_probe_path() -> Arc<str> {
    Arc::from(DEFAULT_PROBE_PATH)
}

impl Named for Service {
    const KIND: &'static str = "service";

    fn name(&self) -> &Arc<str> {
        &self.name
    }
}
