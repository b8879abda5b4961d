//! The end of a target's process while it ran a request.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::Fingerprint;

/// A target's process that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedProcess {
    /// The target's name.
    pub target: Arc<str>,
    /// Incarnation of the process.
    pub incarnation: u64,
}

/// A target's process that ended while a request was sent to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The process.
    pub process: EndedProcess,
}
