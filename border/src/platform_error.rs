//! Why a call to the platform came to nothing.

use derive_more::Display;
use derive_more::Error;
use model::ResultCode;

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, PlatformError>;

/// Why a call to the platform came to nothing; a write may have taken effect.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum PlatformError {
    /// It cannot be reached, or its answer was lost.
    #[display("{}: {reason}", ResultCode::PlatformUnavailable)]
    Away {
        /// What happened.
        reason: String,
    },
    /// It did not answer within the time limit.
    #[display("{}: no answer within {limit_ms} ms", ResultCode::PlatformUnavailable)]
    Slow {
        /// The time limit in milliseconds.
        limit_ms: u64,
    },
    /// It answered with a status that the interface does not have.
    #[display("{}: status {status}", ResultCode::PlatformUnavailable)]
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// It answered with what cannot be read.
    #[display("{}: malformed answer: {reason}", ResultCode::PlatformUnavailable)]
    Malformed {
        /// What does not fit.
        reason: String,
    },
    /// The instance has used up its budget of calls; nothing was sent.
    #[display("{}: budget of calls used up", ResultCode::PlatformUnavailable)]
    OverBudget,
}
