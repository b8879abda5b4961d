//! Whether a target has run a request.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// What is known of the effect of a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No target has run it, and none will.
    #[display("not-run")]
    NotRun,
    /// A target has run it and its whole answer was passed on.
    #[display("ran")]
    Ran,
    /// A target may have run it.
    #[display("unknown")]
    Unknown,
}
