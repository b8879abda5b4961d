//! What an instance is told.

use std::sync::Arc;

use model::world::Target;

use super::Envelope;
use super::PermitRequest;
use crate::exchange::Observation;
use crate::feed::EntryChanges;
use crate::feed::Release;
use crate::membership::Member;
use crate::notes::NumberedNote;

/// One thing that happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A peer's message came.
    Received(Envelope),
    /// An attempt of a request ended.
    Observed(Observation),
    /// A probe that the instance asked for ended.
    Probed {
        /// The service's name.
        service: Arc<str>,
        /// The target's name.
        target: Arc<str>,
        /// Whether the target answered well.
        good: bool,
    },
    /// The platform answered or did not.
    Platform(PlatformAnswer),
    /// The registry told something.
    Registry(RegistryUpdate),
    /// A request to a crowded service is to be sent.
    RequestPermit(PermitRequest),
    /// A request that asked for a permit has ended, or no longer waits for an answer.
    ReleasePermit {
        /// Number of its question.
        number: u64,
        /// Whether it waited for the answer as long as it may.
        is_unanswered: bool,
    },
    /// The bounds on retries have changed.
    Retries(RetryTerms),
    /// The instance is to stop.
    Drain,
}

/// Bounds on the retries to a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryTerms {
    /// Retries as a share of fresh requests.
    pub share: f64,
    /// Retries that all instances may make in ten seconds beside that share.
    pub reserve: f64,
}

/// What a registry told.
#[derive(Clone, Debug)]
pub enum RegistryUpdate {
    /// A configuration.
    Release(Release),
    /// All targets.
    Targets {
        /// Revision as of which.
        revision: u64,
        /// The targets.
        targets: Vec<Target>,
    },
    /// Changes of targets.
    Entries(EntryChanges),
    /// Whether it has just answered; told of each answer, and once of an outage.
    Reachable(bool),
}

/// What came of a call to the platform.
#[derive(Clone, Debug)]
pub enum PlatformAnswer {
    /// Notes after the number asked for; empty if there was none in time.
    Notes(Vec<NumberedNote>),
    /// The latest snapshot: its number and parts as JSON; number 0 if none.
    Snapshot {
        /// Number of the note that it holds.
        number: u64,
        /// Its parts.
        parts: Vec<Arc<str>>,
    },
    /// The instances that the platform lists.
    Instances(Vec<Member>),
    /// A snapshot was written, or somebody else's stands.
    SnapshotWritten {
        /// Its number.
        number: u64,
    },
    /// The platform did not answer the call for notes.
    NotesAway,
    /// The platform did not answer the call for a snapshot.
    SnapshotAway,
    /// The platform did not answer the call for instances.
    InstancesAway,
    /// The platform did not take the snapshot.
    SnapshotNotWritten,
}
