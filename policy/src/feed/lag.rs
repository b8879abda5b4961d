//! Catching up with peers that have newer versions from the registry.
//!
//! Limits the load on the registry, which would otherwise grow with the fleet. The few
//! instances that watch the registry broadcast each change, and every message between
//! instances carries the sender's versions. In a fleet of a hundred instances, the version
//! of a change often arrives before the change itself. An instance that stays behind asks
//! a peer that is ahead, and reads the registry only if that does not help.

/// Time within which the broadcast of a change arrives, in microseconds.
const BROADCAST_DELAY_US: u64 = 150_000;
/// Time within which a peer's answer arrives, in microseconds. Together with the
/// preceding delays it stays under half of the time in which a new configuration must be
/// in force.
const PEER_ANSWER_TIMEOUT_US: u64 = 250_000;
/// Minimum time between two reads of the registry, in microseconds.
const MIN_READ_INTERVAL_US: u64 = 700_000;

/// The versions of the release and of the targets that an instance has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KnownVersions {
    /// Number of the release.
    pub release: u64,
    /// Revision of the targets.
    pub targets: u64,
}

impl KnownVersions {
    /// Whether these versions are at least as new as `other`.
    pub fn covers(&self, other: Self) -> bool {
        self.release >= other.release && self.targets >= other.targets
    }
}

/// The next step of catching up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CatchUpStep {
    /// Do nothing, or wait for a broadcast or an answer.
    Wait,
    /// Ask the peer that has just reported its versions.
    AskPeer,
    /// Read the registry.
    Read {
        /// Number of the release to read; `None` if the own one is new enough.
        release: Option<u64>,
        /// Whether to read the targets.
        targets: bool,
    },
}

#[derive(Clone, Copy, Debug)]
struct PendingCatchUp {
    /// The highest versions that peers have reported.
    reported: KnownVersions,
    behind_since_us: u64,
    asked_us: Option<u64>,
}

/// Tracks how far an instance is behind its peers.
#[derive(Debug, Default)]
pub struct Lag {
    pending: Option<PendingCatchUp>,
    next_read_us: u64,
    unsent_release: UnsentRelease,
}

/// A release that peers do not send, and the last request to read it.
#[derive(Debug, Default)]
struct UnsentRelease {
    number: u64,
    requested_us: u64,
}

impl Lag {
    /// Records that changes before the received ones are missing, and returns the next step.
    /// They are requested at once, as their broadcast evidently did not arrive.
    pub fn record_gap(
        &mut self,
        now_us: u64,
        own: KnownVersions,
        peer: KnownVersions,
    ) -> CatchUpStep {
        let behind_since_us = now_us.saturating_sub(BROADCAST_DELAY_US);
        let pending = self.pending.get_or_insert(PendingCatchUp {
            reported: peer,
            behind_since_us,
            asked_us: None,
        });
        pending.behind_since_us = pending.behind_since_us.min(behind_since_us);
        self.record_peer_versions(now_us, own, peer)
    }

    /// Records the number of a release that peers do not send. Returns whether to read it now, as no
    /// broadcast or answer will bring it.
    pub fn record_unsent_release(&mut self, now_us: u64, number: u64) -> bool {
        let last = &self.unsent_release;
        let is_due = now_us >= last.requested_us + MIN_READ_INTERVAL_US;
        if number <= last.number && !is_due {
            return false;
        }
        self.unsent_release = UnsentRelease {
            number: number.max(last.number),
            requested_us: now_us,
        };
        true
    }

    /// Records the versions that a peer has, and returns the next step.
    pub fn record_peer_versions(
        &mut self,
        now_us: u64,
        own: KnownVersions,
        peer: KnownVersions,
    ) -> CatchUpStep {
        if self
            .pending
            .is_some_and(|pending| own.covers(pending.reported))
        {
            self.pending = None;
        }
        if own.covers(peer) {
            return CatchUpStep::Wait;
        }
        let pending = self.pending.get_or_insert(PendingCatchUp {
            reported: peer,
            behind_since_us: now_us,
            asked_us: None,
        });
        pending.reported.release = pending.reported.release.max(peer.release);
        pending.reported.targets = pending.reported.targets.max(peer.targets);
        if now_us < pending.behind_since_us + BROADCAST_DELAY_US {
            return CatchUpStep::Wait;
        }
        let Some(asked_us) = pending.asked_us else {
            pending.asked_us = Some(now_us);
            return CatchUpStep::AskPeer;
        };
        if now_us < asked_us + PEER_ANSWER_TIMEOUT_US || now_us < self.next_read_us {
            return CatchUpStep::Wait;
        }
        self.next_read_us = now_us + MIN_READ_INTERVAL_US;
        let reported = pending.reported;
        self.pending = None;
        CatchUpStep::Read {
            release: (reported.release > own.release).then_some(reported.release),
            targets: reported.targets > own.targets,
        }
    }
}
