//! When to read the registry, when to watch it, and how long to leave it alone.
//!
//! Answers its load: each call costs, also while dozens of entries change at
//! once, and a registry that comes back is not to meet all instances together.

use rand::Rng;
use rand::RngExt;

/// Time that a watch waits, in milliseconds. An instance whose watch was swallowed
/// hears from peers that it is behind.
pub const WATCH_MS: u64 = 8_000;
/// Pause after changes, so that those that come together are read together, in
/// microseconds: under a quarter of the bounds on new configurations and leaving targets.
const GATHER_US: u64 = 450_000;
/// First pause after a failure, in microseconds.
const FIRST_PAUSE_US: u64 = 80_000;
/// Longest pause after failures, in microseconds: a quarter of the bound on new
/// configurations, as the registry must not be back for long unnoticed.
const LONGEST_PAUSE_US: u64 = 600_000;

/// What came of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Everything was read as of a revision.
    Read(u64),
    /// Changes came, up to a revision.
    Changes(u64),
    /// Nothing changed, up to a revision.
    Nothing(u64),
    /// The registry has forgotten the changes asked for.
    HistoryLost,
    /// The call failed.
    Failed,
}

/// The next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Read everything.
    Read {
        /// When, in microseconds.
        at_us: u64,
    },
    /// Wait for changes.
    Watch {
        /// The revision after which.
        after: u64,
        /// When, in microseconds.
        at_us: u64,
    },
}

/// The pace of calls on one part of the registry.
#[derive(Debug, Default)]
pub struct Pace {
    revision: Option<u64>,
    pause_us: u64,
}

impl Pace {
    /// The call after one that ended as `outcome`.
    pub fn next(&mut self, now_us: u64, outcome: Outcome, rng: &mut impl Rng) -> Next {
        let mut at_us = now_us;
        match outcome {
            Outcome::Read(revision) | Outcome::Nothing(revision) => self.at(revision),
            Outcome::Changes(revision) => {
                self.at(revision);
                at_us += GATHER_US;
            }
            Outcome::HistoryLost => self.revision = None,
            Outcome::Failed => at_us += self.pause_us(rng),
        }
        match self.revision {
            Some(after) => Next::Watch { after, at_us },
            None => Next::Read { at_us },
        }
    }

    fn at(&mut self, revision: u64) {
        self.revision = Some(revision);
        self.pause_us = 0;
    }

    fn pause_us(&mut self, rng: &mut impl Rng) -> u64 {
        self.pause_us = (self.pause_us * 2).clamp(FIRST_PAUSE_US, LONGEST_PAUSE_US);
        rng.random_range(self.pause_us / 2..=self.pause_us)
    }
}
