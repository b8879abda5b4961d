//! What peers know of a registry that this instance does not.
//!
//! Answers a load that grows with the fleet: watchers spread each change, and on a
//! hundred instances its number is often heard before the change itself. One that
//! stays behind asks the peer that is ahead, and reads the registry only if that
//! brings nothing either.

/// Time in which what a watcher spreads arrives, in microseconds.
const SPREAD_US: u64 = 150_000;
/// Time in which a peer's answer arrives, in microseconds: together with the pauses
/// before, under half of the bound on new configurations.
const ANSWER_US: u64 = 250_000;
/// Time between two readings of the registry, in microseconds.
const READ_PERIOD_US: u64 = 700_000;

/// How far a release and the targets are known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KnownVersions {
    /// Number of the release.
    pub release: u64,
    /// Revision of the targets.
    pub targets: u64,
}

impl KnownVersions {
    /// Whether all that another extent covers is known.
    pub fn covers(&self, other: Self) -> bool {
        self.release >= other.release && self.targets >= other.targets
    }
}

/// What to do about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CatchUpStep {
    /// Nothing, or nothing yet.
    Wait,
    /// Ask the peer that was just heard.
    AskPeer,
    /// Read the registry.
    Read {
        /// The release.
        release: bool,
        /// The targets.
        targets: bool,
    },
}

#[derive(Clone, Copy, Debug)]
struct Behind {
    /// The most that was heard of.
    heard: KnownVersions,
    since_us: u64,
    asked_us: Option<u64>,
}

/// How far an instance is behind its peers.
#[derive(Debug, Default)]
pub struct Lag {
    behind: Option<Behind>,
    next_read_us: u64,
}

impl Lag {
    /// Takes in that changes before those that came are missing: they are asked for at
    /// once, as it is known that they did not arrive.
    pub fn missed(&mut self, now_us: u64, own: KnownVersions, peer: KnownVersions) -> CatchUpStep {
        let since_us = now_us.saturating_sub(SPREAD_US);
        let behind = self.behind.get_or_insert(Behind {
            heard: peer,
            since_us,
            asked_us: None,
        });
        behind.since_us = behind.since_us.min(since_us);
        self.heard(now_us, own, peer)
    }

    /// Takes in how far a peer is.
    pub fn heard(&mut self, now_us: u64, own: KnownVersions, peer: KnownVersions) -> CatchUpStep {
        if self.behind.is_some_and(|behind| own.covers(behind.heard)) {
            self.behind = None;
        }
        if own.covers(peer) {
            return CatchUpStep::Wait;
        }
        let behind = self.behind.get_or_insert(Behind {
            heard: peer,
            since_us: now_us,
            asked_us: None,
        });
        behind.heard.release = behind.heard.release.max(peer.release);
        behind.heard.targets = behind.heard.targets.max(peer.targets);
        if now_us < behind.since_us + SPREAD_US {
            return CatchUpStep::Wait;
        }
        let Some(asked_us) = behind.asked_us else {
            behind.asked_us = Some(now_us);
            return CatchUpStep::AskPeer;
        };
        if now_us < asked_us + ANSWER_US || now_us < self.next_read_us {
            return CatchUpStep::Wait;
        }
        self.next_read_us = now_us + READ_PERIOD_US;
        let heard = behind.heard;
        self.behind = None;
        CatchUpStep::Read {
            release: heard.release > own.release,
            targets: heard.targets > own.targets,
        }
    }
}
