//! Idempotency keys, claimed in the platform's store before a command is sent.

use std::sync::Arc;

use model::ResultCode;
use serde::Deserialize;
use serde::Serialize;

/// State of the command that holds a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// The command has begun; no result is recorded.
    Begun,
    /// The command has run.
    Ran,
    /// The command has not run and never will; the key may be claimed again.
    NotRun,
    /// It is unknown whether the command has run.
    Unknown,
}

/// The value stored under a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The attempt that holds the key.
    pub attempt: Arc<str>,
    /// State of that attempt.
    pub state: ClaimState,
}

/// Result of claiming a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The key belongs to this attempt.
    Won,
    /// The key belongs to another attempt in this state.
    Held(ClaimState),
    /// The platform did not answer, so the command must not be sent.
    Unavailable,
    /// Too many claims are in flight.
    TooMany,
}

impl ClaimState {
    /// Returns the result code of a repeated command; `None` if the key may be claimed again.
    pub fn code_for_repeat(self) -> Option<ResultCode> {
        match self {
            Self::Begun => Some(ResultCode::AlreadyBegun),
            Self::Ran => Some(ResultCode::AlreadyRan),
            Self::Unknown => Some(ResultCode::EarlierOutcomeUnknown),
            Self::NotRun => None,
        }
    }
}

impl Claim {
    /// Returns the result of a claim that found `existing`. If that contains the attempt's
    /// own id, an earlier write took effect although the platform's reply was lost.
    pub fn resolve(attempt: &str, existing: &Self) -> ClaimAnswer {
        if *existing.attempt == *attempt {
            ClaimAnswer::Won
        } else {
            ClaimAnswer::Held(existing.state)
        }
    }
}
