//! Recovery after the process was frozen.
//!
//! An instance whose process was frozen resumes with the note that it had before, which may
//! no longer be in force. Before it sends new work, it pings some peers to learn which note
//! is in force, and waits until it has that note or a time limit passes.

use std::sync::Arc;

use crate::membership::Membership;
use crate::routing::FREEZE_THRESHOLD_US;

/// Time after which new work is sent even without the latest note, in microseconds.
const RECOVERY_TIMEOUT_US: u64 = 2_000_000;
const PINGED_PEERS: usize = 3;
/// Base of the sequence numbers of these pings, separate from those of all other pings.
const SEQUENCE_BASE: u64 = 1 << 47;

/// Progress of the recovery from a freeze.
#[derive(Debug, Default)]
pub(super) struct FreezeRecovery {
    last_tick_us: u64,
    freezes: u64,
    until_us: Option<u64>,
    needed_note: Option<u64>,
}

impl FreezeRecovery {
    /// Whether no recovery is in progress, so that new work may be sent.
    pub(super) fn is_recovered(&self) -> bool {
        self.until_us.is_none()
    }

    /// Detects a freeze by the time since the last tick. Returns `true` if the instance was
    /// frozen and has to ping peers.
    pub(super) fn tick(&mut self, now_us: u64, number: u64) -> bool {
        let frozen =
            self.last_tick_us > 0 && now_us.saturating_sub(self.last_tick_us) > FREEZE_THRESHOLD_US;
        self.last_tick_us = now_us;
        if frozen {
            self.freezes += 1;
            self.until_us = Some(now_us + RECOVERY_TIMEOUT_US);
            self.needed_note = None;
        }
        self.end_if_recovered(now_us, number);
        frozen
    }

    /// Sequence number of the current pings; differs for each freeze, so that late answers
    /// to earlier pings are not counted.
    pub(super) fn sequence(&self) -> u64 {
        SEQUENCE_BASE + self.freezes
    }

    /// Records the answer to a recovery ping; returns `false` if the sequence number belongs
    /// to another kind of ping.
    pub(super) fn record_ack(&mut self, sequence: u64, note: u64) -> bool {
        if sequence == self.sequence() && self.until_us.is_some() {
            self.needed_note = Some(note.max(self.needed_note.unwrap_or(0)));
        }
        sequence > SEQUENCE_BASE && sequence < 2 * SEQUENCE_BASE
    }

    /// Ends the recovery once the instance has the needed note or the time limit has passed.
    pub(super) fn end_if_recovered(&mut self, now_us: u64, number: u64) {
        let has_note = self.needed_note.is_some_and(|needed| number >= needed);
        if has_note || self.until_us.is_some_and(|until_us| now_us >= until_us) {
            self.until_us = None;
        }
    }

    /// Peers to ping, in different data centres if possible.
    pub(super) fn peers_to_ping(membership: &Membership) -> Vec<Arc<str>> {
        let own = membership.own();
        let others = membership.present().filter(|member| member.id != own.id);
        let (near, far): (Vec<_>, Vec<_>) =
            others.partition(|member| member.data_centre == own.data_centre);
        let chosen = near.iter().take(1).chain(far.iter().take(PINGED_PEERS - 1));
        chosen.map(|member| member.id.clone()).collect()
    }
}
