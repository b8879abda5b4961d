//! What an instance wants done.

use std::net::SocketAddr;
use std::sync::Arc;

use model::world::Target;

use super::Envelope;
use super::PermitAnswer;
use crate::evidence::HealthState;
use crate::evidence::Signal;
use crate::feed::RetainReason;

/// One thing to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to a peer; it may get lost.
    Send {
        /// Id of the peer.
        to: Arc<str>,
        /// Address of the peer.
        address: SocketAddr,
        /// The message.
        envelope: Envelope,
    },
    /// Ask a target's health path and report the result.
    Probe {
        /// The target.
        target: Arc<Target>,
        /// The path.
        path: Arc<str>,
    },
    /// Call the platform and report its answer.
    Call(PlatformCall),
    /// Read a part of the registry again: a peer knows of something newer.
    Reread(RegistryPart),
    /// Tell a request whether it may be sent.
    Permit {
        /// Number of its question.
        number: u64,
        /// The answer.
        answer: PermitAnswer,
    },
    /// Log that something happened.
    Log(LogEvent),
}

/// A part of a registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistryPart {
    /// The configuration.
    Release,
    /// The targets' entries.
    Targets,
}

/// A call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformCall {
    /// Wait for notes after a number, for a limited time.
    WatchNotes {
        /// The number.
        after: u64,
        /// Whether to wait if there is none yet.
        wait: bool,
    },
    /// Read the latest snapshot.
    ReadSnapshot,
    /// List the instances.
    ListInstances,
    /// Write a snapshot unless a later one stands.
    WriteSnapshot {
        /// Number of the note that it holds.
        number: u64,
        /// Its parts as JSON.
        parts: Vec<Arc<str>>,
    },
}

/// Something worth a line in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// A note is in force.
    NoteInForce {
        /// Its number.
        number: u64,
    },
    /// A note has no effect.
    NoteVoid {
        /// Its number.
        number: u64,
        /// Why.
        reason: String,
    },
    /// The instance, as home, has changed its view of a target.
    HealthDecided {
        /// The service's name.
        service: Arc<str>,
        /// The target's name.
        target: Arc<str>,
        /// The new view.
        health: HealthState,
        /// Data centres that it holds for; all if empty.
        from: Vec<Arc<str>>,
    },
    /// The instance has changed the standing that it routes by.
    HealthChanged {
        /// The target's name.
        target: Arc<str>,
        /// The new standing.
        health: HealthState,
    },
    /// What is believed of a target has changed from good to bad or back.
    SuspicionChanged {
        /// The service's name.
        service: Arc<str>,
        /// The target's name.
        target: Arc<str>,
        /// What was seen last.
        signal: Signal,
        /// Id of the instance that saw it.
        by: Arc<str>,
        /// Probability before, in thousandths.
        before_milli: u32,
        /// Probability now, in thousandths.
        after_milli: u32,
    },
    /// A change of targets is in force.
    TargetsInForce {
        /// Targets that came or changed.
        put: Vec<Arc<str>>,
        /// Targets that went.
        withdrawn: Vec<Arc<str>>,
    },
    /// Targets stay in use though their entries went.
    TargetsRetained {
        /// Their names.
        targets: Vec<Arc<str>>,
        /// How long, in milliseconds.
        for_ms: u64,
        /// Why.
        stay: RetainReason,
        /// Id of the instance that told of the change; its own where the registry did.
        by: Arc<str>,
    },
    /// A service's sound targets are too few for its load, or are enough again.
    Overloaded {
        /// The service's name.
        service: Arc<str>,
        /// Whether they are too few.
        is_overloaded: bool,
        /// Slots of the targets that nothing speaks against.
        slots: u32,
        /// Requests a second on all instances, in thousandths; none while unknown.
        fleet_milli: Option<u64>,
        /// Time of a request at a target that nothing waits at, in milliseconds.
        work_ms: u64,
    },
    /// The reserve of retries is shared with as many instances, this one included.
    RetryReserve {
        /// The number of instances.
        instances: u32,
    },
    /// The instance reads the registry in place of those that watch it.
    StandsIn {
        /// Age of its view of the registry, in milliseconds.
        view_age_ms: u64,
    },
    /// The registry answers again, or no longer.
    RegistryReachable(bool),
    /// An instance has joined.
    Joined {
        /// Its id.
        instance: Arc<str>,
    },
    /// An instance has left or died.
    Gone {
        /// Its id.
        instance: Arc<str>,
    },
    /// The instance takes requests.
    Ready,
    /// The instance stops.
    Draining,
}
