//! The end of a target's process while it ran a request.

use serde::Deserialize;
use serde::Serialize;

use super::Fingerprint;
use crate::routing::TargetProcess;

/// A target's process that ended while a request was sent to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The process.
    pub process: TargetProcess,
}
