//! Scheduling of reads and watches of the registry, with back-off after failures.
//!
//! Limits the load on the registry. Changes are batched, as each call has a cost and dozens
//! of entries may change at once. The back-off is random, so that a registry that recovers
//! does not receive the calls of all instances at the same time.

use rand::Rng;
use rand::RngExt;

/// Time for which a watch waits for changes, in milliseconds. An instance whose watch was
/// lost without an error learns from its peers that it is behind.
pub const WATCH_TIMEOUT_MS: u64 = 8_000;
/// Delay after changes, in microseconds, so that changes close together are read in one
/// call. It is under a quarter of the time in which a new configuration must be in force,
/// and of the time in which a leaving target may still receive requests.
const BATCH_DELAY_US: u64 = 450_000;
/// Back-off after the first failure, in microseconds.
const INITIAL_BACKOFF_US: u64 = 80_000;
/// Maximum back-off after failures, in microseconds: a quarter of the time in which a new
/// configuration must be in force, so that the registry's recovery is noticed soon.
const MAX_BACKOFF_US: u64 = 600_000;

/// The result of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Everything was read, as of a revision.
    Read(u64),
    /// Changes were received, up to a revision.
    Changes(u64),
    /// Nothing changed, up to a revision.
    Nothing(u64),
    /// The registry no longer stores the changes after the requested revision.
    HistoryLost,
    /// The call failed.
    Failed,
}

/// The next call to the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextCall {
    /// Read everything.
    Read {
        /// Time of the call, in microseconds.
        at_us: u64,
    },
    /// Wait for changes.
    Watch {
        /// Revision after which changes are requested.
        after: u64,
        /// Time of the call, in microseconds.
        at_us: u64,
    },
}

/// The schedule of calls for one part of the registry, such as the targets' entries.
#[derive(Debug, Default)]
pub struct CallSchedule {
    revision: Option<u64>,
    backoff_us: u64,
}

impl CallSchedule {
    /// Returns the call that follows one that ended with `outcome`.
    pub fn next(&mut self, now_us: u64, outcome: CallOutcome, rng: &mut impl Rng) -> NextCall {
        let mut at_us = now_us;
        match outcome {
            CallOutcome::Read(revision) | CallOutcome::Nothing(revision) => {
                self.set_revision(revision)
            }
            CallOutcome::Changes(revision) => {
                self.set_revision(revision);
                at_us += BATCH_DELAY_US;
            }
            CallOutcome::HistoryLost => self.revision = None,
            CallOutcome::Failed => at_us += self.backoff_us(rng),
        }
        match self.revision {
            Some(after) => NextCall::Watch { after, at_us },
            None => NextCall::Read { at_us },
        }
    }

    fn set_revision(&mut self, revision: u64) {
        self.revision = Some(revision);
        self.backoff_us = 0;
    }

    fn backoff_us(&mut self, rng: &mut impl Rng) -> u64 {
        self.backoff_us = (self.backoff_us * 2).clamp(INITIAL_BACKOFF_US, MAX_BACKOFF_US);
        rng.random_range(self.backoff_us / 2..=self.backoff_us)
    }
}
