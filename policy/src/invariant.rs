//! What must hold at all times, checked while the program runs.
//!
//! A violation is counted, and the caller of [`check`] takes the safe way. A
//! build with debug assertions stops at once.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// One thing that must hold at all times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A routing set holds the floor's share of a service's slots.
    Floor,
    /// An answer is passed on by the exchange that asked for it, once.
    OwnAnswer,
    /// What is reported as not run was never sent.
    NotRunIsTrue,
    /// A request that may not be repeated is sent once.
    AtMostOnce,
    /// A leaving target is in no routing set.
    NoWorkForLeaving,
    /// A stopping instance keeps the requests that it has.
    StopCutsNothing,
    /// The number of the note in force never falls.
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

/// How often an invariant was violated since the process started.
pub fn violations(invariant: Invariant) -> u64 {
    VIOLATIONS[invariant as usize].load(Ordering::Relaxed)
}
