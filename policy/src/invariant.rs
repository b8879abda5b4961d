//! Invariants that are checked at run time.
//!
//! A violation is counted, and the caller of [`check`] falls back to a safe action. With
//! debug assertions, a violation panics.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// A condition that must hold at all times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A routing set contains at least the floor's share of a service's slots.
    Floor,
    /// A response is forwarded once, by the exchange that sent the request.
    OwnAnswer,
    /// No request that is reported as not run can have run.
    NotRunIsTrue,
    /// A request that may not be repeated is not sent again once a target may have run it.
    AtMostOnce,
    /// No routing set contains a leaving target.
    NoWorkForLeaving,
    /// A stopping instance completes its requests in progress.
    StopCutsNothing,
    /// The number of the note in force never decreases.
    NoRevert,
}

impl Invariant {
    /// All invariants, in the order of their counters.
    pub const ALL: [Self; 7] = [
        Self::Floor,
        Self::OwnAnswer,
        Self::NotRunIsTrue,
        Self::AtMostOnce,
        Self::NoWorkForLeaving,
        Self::StopCutsNothing,
        Self::NoRevert,
    ];

    /// The invariant's name in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Floor => "floor",
            Self::OwnAnswer => "own-answer",
            Self::NotRunIsTrue => "not-run-is-true",
            Self::AtMostOnce => "at-most-once",
            Self::NoWorkForLeaving => "no-work-for-leaving",
            Self::StopCutsNothing => "stop-cuts-nothing",
            Self::NoRevert => "no-revert",
        }
    }
}

static VIOLATIONS: [AtomicU64; 7] = [const { AtomicU64::new(0) }; 7];

/// Checks that an invariant holds and returns whether it does.
///
/// # Panics
///
/// Panics on a violation where debug assertions are on.
pub fn check(invariant: Invariant, holds: bool) -> bool {
    if !holds {
        VIOLATIONS[invariant as usize].fetch_add(1, Ordering::Relaxed);
        debug_assert!(holds, "invariant {} is violated", invariant.as_str());
    }
    holds
}

/// Number of violations of an invariant since the process started.
pub fn violations(invariant: Invariant) -> u64 {
    VIOLATIONS[invariant as usize].load(Ordering::Relaxed)
}
