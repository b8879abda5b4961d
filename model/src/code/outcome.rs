//! The outcome of a request: whether a target ran it.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Whether a target ran a request, as far as can be determined.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No target ran the request, and none will.
    #[display("not-run")]
    NotRun,
    /// A target ran the request and its complete response was forwarded.
    #[display("ran")]
    Ran,
    /// A target may have run the request.
    #[display("unknown")]
    Unknown,
}
