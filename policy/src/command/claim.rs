//! A caller's key, claimed in the platform before the command is sent.

use std::sync::Arc;

use model::ResultCode;
use serde::Deserialize;
use serde::Serialize;

/// What is known of the command that holds a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// It has begun and its end is not recorded.
    Begun,
    /// It has run.
    Ran,
    /// It was not run and never will be; the key may be claimed again.
    NotRun,
    /// Whether it has run is not known.
    Unknown,
}

/// The value stored under a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The attempt that holds the key.
    pub attempt: Arc<str>,
    /// What is known of it.
    pub state: ClaimState,
}

/// What came of claiming a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The key belongs to this attempt.
    Won,
    /// The key belongs to another attempt in this state.
    Held(ClaimState),
    /// The platform does not answer, so that nothing may be sent.
    Unavailable,
    /// Too many claims are in flight.
    TooMany,
}

impl ClaimState {
    /// The code that answers a repeated command; none if it may be claimed again.
    pub fn repeat_code(self) -> Option<ResultCode> {
        match self {
            Self::Begun => Some(ResultCode::AlreadyBegun),
            Self::Ran => Some(ResultCode::AlreadyRan),
            Self::Unknown => Some(ResultCode::EarlierUnknown),
            Self::NotRun => None,
        }
    }
}

impl Claim {
    /// What a claim that found `existing` came to; the attempt's own tag means
    /// that an earlier write took effect though its answer was lost.
    pub fn resolve(attempt: &str, existing: &Self) -> ClaimAnswer {
        if *existing.attempt == *attempt {
            ClaimAnswer::Won
        } else {
            ClaimAnswer::Held(existing.state)
        }
    }
}
