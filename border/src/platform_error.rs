//! Errors of calls to the platform.

use derive_more::Display;
use derive_more::Error;
use model::ResultCode;

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, PlatformError>;

/// Error of a call to the platform. Except for [`PlatformError::OverBudget`], a write may
/// have taken effect nevertheless.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum PlatformError {
    /// The platform cannot be reached, or the connection failed before the reply was read.
    #[display("{}: {reason}", ResultCode::PlatformUnavailable)]
    Unreachable {
        /// Description of the failure.
        reason: String,
    },
    /// The platform did not answer within the time limit.
    #[display("{}: no answer within {limit_ms} ms", ResultCode::PlatformUnavailable)]
    TimedOut {
        /// The time limit in milliseconds.
        limit_ms: u64,
    },
    /// The platform replied with an HTTP status that the interface does not define.
    #[display("{}: unexpected HTTP status {status}", ResultCode::PlatformUnavailable)]
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// The platform's reply cannot be parsed.
    #[display("{}: malformed answer: {reason}", ResultCode::PlatformUnavailable)]
    Malformed {
        /// Description of the parse error.
        reason: String,
    },
    /// The platform's reply is larger than any that it may send.
    #[display(
        "{}: answer of over {limit_bytes} bytes",
        ResultCode::PlatformUnavailable
    )]
    TooLarge {
        /// The limit in bytes.
        limit_bytes: usize,
    },
    /// The instance has exhausted its call budget; no request was sent.
    #[display(
        "{}: call budget exhausted; no request sent",
        ResultCode::PlatformUnavailable
    )]
    OverBudget,
}
