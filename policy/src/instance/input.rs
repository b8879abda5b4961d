//! Inputs of an instance: everything that its driver passes to it.

use std::sync::Arc;

use model::configuration::Target;

use super::Envelope;
use super::PermitRequest;
use crate::exchange::NoticedTarget;
use crate::exchange::Observation;
use crate::feed::EntryChanges;
use crate::feed::Release;
use crate::membership::Member;
use crate::notes::NumberedNote;
use crate::quarantine::Crash;
use crate::quarantine::Fingerprint;
use crate::routing::TargetProcess;

/// An event that the instance handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message from a peer was received.
    Received(Envelope),
    /// An attempt of a request ended.
    Observed(Observation),
    /// A target's process ended while a request was sent to it.
    Crashed(Crash),
    /// A target has responded to a request that was at crashes before.
    RequestCleared(Fingerprint),
    /// A target has responded, with or without notices about itself.
    Noticed(NoticedTarget),
    /// A probe that the instance requested has ended.
    Probed {
        /// The service's name.
        service: Arc<str>,
        /// The target's name.
        target: Arc<str>,
        /// Whether the response was good.
        good: bool,
    },
    /// A status check that the instance requested has ended.
    DepartureChecked {
        /// The process that was checked.
        process: TargetProcess,
        /// Whether it says that it leaves; `None` without a response of the target.
        is_leaving: Option<bool>,
    },
    /// A call to the platform was answered or has failed.
    Platform(PlatformAnswer),
    /// The registry sent an update, or its reachability has changed.
    Registry(RegistryUpdate),
    /// A request to an overloaded service needs a permit before it is sent.
    RequestPermit(PermitRequest),
    /// A request for which a permit was requested has ended, or no longer waits for the answer.
    ReleasePermit {
        /// Number of the permit request.
        number: u64,
        /// Whether the request stopped waiting because the answer did not arrive in time.
        is_timed_out: bool,
    },
    /// A request needs a retry, and the instance's own budget has none left.
    BorrowRetry {
        /// Number that identifies the request in the answer.
        number: u64,
        /// The service's name.
        service: Arc<str>,
    },
    /// Requests of customers with quotas are to be reported to the owner of the quotas at once.
    QuotaAsked,
    /// The limits on retries have changed.
    Retries(RetryLimits),
    /// The instance must drain and stop.
    Drain,
}

/// Limits on the retries to a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries as a share of first attempts.
    pub share: f64,
    /// Retries that all instances together may make in ten seconds in addition to that share.
    pub reserve: f64,
}

/// An update from the registry.
#[derive(Clone, Debug)]
pub enum RegistryUpdate {
    /// A configuration.
    Release(Release),
    /// All targets.
    Targets {
        /// Revision of the list.
        revision: u64,
        /// The targets.
        targets: Vec<Target>,
    },
    /// Changes of targets.
    Entries(EntryChanges),
    /// Whether the registry answers: `true` after each answer, `false` once per outage.
    Reachable(bool),
}

/// Result of a call to the platform.
#[derive(Clone, Debug)]
pub enum PlatformAnswer {
    /// Notes after the requested number; empty if none arrived within the wait time.
    Notes(Vec<NumberedNote>),
    /// The latest snapshot; its number is 0 if there is none.
    Snapshot {
        /// Number of the last note that it includes.
        number: u64,
        /// Parts of the snapshot as JSON.
        parts: Vec<Arc<str>>,
    },
    /// The instances that the platform lists.
    Instances(Vec<Member>),
    /// The snapshot was written, or another instance's snapshot is already stored.
    SnapshotWritten {
        /// Number of the stored snapshot.
        number: u64,
    },
    /// The platform did not answer the call for notes.
    NotesUnavailable,
    /// The platform did not answer the call for a snapshot.
    SnapshotUnavailable,
    /// The platform did not answer the call for instances.
    InstancesUnavailable,
    /// The platform did not store the snapshot.
    SnapshotNotWritten,
}
