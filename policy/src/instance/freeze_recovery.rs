//! Finding out, after a freeze, what was missed.
//!
//! An instance that was frozen goes on with the note that it had. Before it
//! sends anything new it asks some others which note is in force, and waits
//! until it has it, or until nobody has answered for a while.

use std::sync::Arc;

use crate::membership::Membership;
use crate::routing::FREEZE_US;

const PATIENCE_US: u64 = 2_000_000;
const ASKED: usize = 3;
/// Numbers of these pings begin here, apart from all others.
const FIRST_SEQUENCE: u64 = 1 << 47;

/// What an instance waits for after a freeze.
#[derive(Debug, Default)]
pub(super) struct FreezeRecovery {
    last_tick_us: u64,
    asked: u64,
    until_us: Option<u64>,
    needed_note: Option<u64>,
}

impl FreezeRecovery {
    /// Whether the instance may send new work.
    pub(super) fn is_fresh(&self) -> bool {
        self.until_us.is_none()
    }

    /// Lets time pass; true if the instance was frozen and is to ask others.
    pub(super) fn tick(&mut self, now_us: u64, number: u64) -> bool {
        let frozen = self.last_tick_us > 0 && now_us.saturating_sub(self.last_tick_us) > FREEZE_US;
        self.last_tick_us = now_us;
        if frozen {
            self.asked += 1;
            self.until_us = Some(now_us + PATIENCE_US);
            self.needed_note = None;
        }
        self.decide(now_us, number);
        frozen
    }

    /// The number that pings carry, so that older answers are told apart.
    pub(super) fn sequence(&self) -> u64 {
        FIRST_SEQUENCE + self.asked
    }

    /// Takes in the answer to such a ping; false if it is another one.
    pub(super) fn answered(&mut self, sequence: u64, note: u64) -> bool {
        if sequence == self.sequence() && self.until_us.is_some() {
            self.needed_note = Some(note.max(self.needed_note.unwrap_or(0)));
        }
        sequence > FIRST_SEQUENCE && sequence < 2 * FIRST_SEQUENCE
    }

    /// Ends the waiting once the note is there or nobody answers.
    pub(super) fn decide(&mut self, now_us: u64, number: u64) {
        let has_note = self.needed_note.is_some_and(|needed| number >= needed);
        if has_note || self.until_us.is_some_and(|until_us| now_us >= until_us) {
            self.until_us = None;
        }
    }

    /// Some others, of different data centres if possible.
    pub(super) fn whom_to_ask(membership: &Membership) -> Vec<Arc<str>> {
        let own = membership.own();
        let others = membership.present().filter(|member| member.id != own.id);
        let (near, far): (Vec<_>, Vec<_>) =
            others.partition(|member| member.data_centre == own.data_centre);
        let chosen = near.iter().take(1).chain(far.iter().take(ASKED - 1));
        chosen.map(|member| member.id.clone()).collect()
    }
}
