//! A service: what its targets have in common.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::Named;

/// How urgent the requests of a service are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Somebody waits for the answer.
    Live,
    /// A command that changes something.
    Command,
    /// A long download that can wait.
    Export,
}

impl Class {
    /// The class's name in metrics and logs.
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
    /// Requests are idempotent.
    Idempotent,
    /// A request runs at most once.
    Never,
}

/// A service and its contract.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name.
    pub name: Arc<str>,
    /// How urgent its requests are.
    pub class: Class,
    /// Whether its requests may be repeated.
    pub repeat: Repeat,
    /// Time limit of a request whose caller gives none, in milliseconds.
    pub time_limit_ms: u64,
    /// Share of the service's slots that ejections leave in use, 0 to 1.
    pub floor_share: f64,
    /// Probability of ejecting a healthy target by a test, above 0 and below 0.5.
    pub false_ejection_rate: f64,
    /// Probability of missing a failing target by a test, above 0 and below 0.5.
    pub missed_detection_rate: f64,
    /// Retries as a share of fresh requests, 0 to 1.
    #[serde(default = "default_retry_share")]
    pub retry_share: f64,
    /// Requests that wait in one instance at most.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Path that probes ask for.
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
