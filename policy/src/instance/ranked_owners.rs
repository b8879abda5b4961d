//! Which owners answer permit requests that state a priority.
//!
//! Older builds do not know the message and do not answer it. An owner is therefore sent a single
//! one at first; until it answers, all other requests go without a priority, so that they are not
//! delayed.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Time after which an owner that has not answered is asked again, in microseconds. The trial delays
/// one request by the time limit for an answer; an owner that answers is only missed if the message
/// was lost.
const TRIAL_PERIOD_US: u64 = 10_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnerState {
    Answers,
    /// It was asked, and has not answered since.
    AskedAt(u64),
}

/// What is known of the owners.
#[derive(Debug, Default)]
pub(super) struct RankedOwners {
    states: BTreeMap<Arc<str>, OwnerState>,
}

impl RankedOwners {
    /// Whether a request to the owner may state its priority; notes that it does.
    pub(super) fn may_ask(&mut self, now_us: u64, owner: &Arc<str>) -> bool {
        let may_ask = match self.states.get(owner) {
            Some(OwnerState::Answers) => return true,
            Some(OwnerState::AskedAt(at_us)) => now_us.saturating_sub(*at_us) >= TRIAL_PERIOD_US,
            None => true,
        };
        if may_ask {
            self.states
                .insert(owner.clone(), OwnerState::AskedAt(now_us));
        }
        may_ask
    }

    /// Whether the owner has answered a request with a priority.
    pub(super) fn answers(&self, owner: &str) -> bool {
        self.states.get(owner) == Some(&OwnerState::Answers)
    }

    /// Records that the owner has answered one.
    pub(super) fn record_answer(&mut self, owner: &Arc<str>) {
        self.states.insert(owner.clone(), OwnerState::Answers);
    }

    /// Forgets an owner that has left, or may run another build since.
    pub(super) fn forget(&mut self, owner: &str) {
        self.states.remove(owner);
    }
}
