//! What instances say to each other.

use std::sync::Arc;

use model::world::Target;
use serde::Deserialize;
use serde::Serialize;

use super::LoadReport;
use crate::evidence::HealthDecision;
use crate::evidence::Report;
use crate::evidence::Signal;
use crate::feed::EntryChanges;
use crate::feed::Release;
use crate::limits::PermitParams;
use crate::membership::Member;
use crate::notes::IdRange;
use crate::notes::NumberedNote;

/// A message and what travels with each one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Id of the sender.
    pub from: Arc<str>,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Number of the note in force at the sender.
    pub note: u64,
    /// Revision of the registry at which targets changed last, as the sender
    /// knows; 0 without a registry.
    pub targets_changed: u64,
    /// Age of the sender's view of the registry, in milliseconds: time since the
    /// registry answered an instance of which the sender knows all that it knew then;
    /// none without a registry.
    pub view_age_ms: Option<u64>,
    /// News of members.
    pub news: Vec<Member>,
    /// The message itself.
    pub message: Message,
}

/// What a home tells of the latencies of a service, in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLatencies {
    /// The service's name.
    pub service: Arc<str>,
    /// The median.
    pub median_us: u64,
    /// The latency beyond which an answer is slow.
    pub slow_us: u64,
}

/// What one instance has seen of a target that the others should know at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Alert {
    /// The target's name.
    pub target: Arc<str>,
    /// Start of the target's process that was seen.
    pub incarnation: u64,
    /// What was seen.
    pub signal: Signal,
}

/// What an instance believes of a target that it doubts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectTarget {
    /// The target's name.
    pub target: Arc<str>,
    /// Start of its process.
    pub incarnation: u64,
    /// Probability that it fails, in thousandths.
    pub level_milli: u32,
}

/// A message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for an [`Message::Ack`].
    Ping {
        /// Number that the answer repeats.
        sequence: u64,
    },
    /// Answers a ping.
    Ack {
        /// The ping's number.
        sequence: u64,
    },
    /// Asks the receiver to ping a third instance.
    PingFor {
        /// Id of the instance to ping.
        to: Arc<str>,
        /// Number that the answer repeats.
        sequence: u64,
    },
    /// Asks for members; answered by [`Message::Members`].
    Join,
    /// All members that the sender knows, in parts.
    Members(Vec<Member>),
    /// Outcomes of the sender's requests.
    Reports(Vec<Report>),
    /// Answers reports whose sender knows too few latencies.
    Latencies(Vec<ServiceLatencies>),
    /// A home's views of targets.
    HealthDecisions {
        /// Id of the home.
        owner: Arc<str>,
        /// The views.
        decisions: Vec<HealthDecision>,
        /// Whom the receiver passes them on to.
        span: Option<IdRange>,
    },
    /// A new note.
    NewNote {
        /// The note.
        note: NumberedNote,
        /// Whom the receiver passes it on to.
        span: Option<IdRange>,
    },
    /// Asks for the notes after a number.
    PullNotes {
        /// The number.
        after: u64,
    },
    /// Notes in order.
    Notes(Vec<NumberedNote>),
    /// A part of the whole configuration.
    SnapshotPart {
        /// Number of the note that it holds.
        number: u64,
        /// Index of the part, from 0.
        index: u32,
        /// Number of parts.
        count: u32,
        /// The part as JSON.
        text: Arc<str>,
    },
    /// A configuration that a watcher has read.
    Release {
        /// The configuration.
        release: Release,
        /// Whom the receiver passes it on to.
        span: Option<IdRange>,
    },
    /// Changes of targets that a watcher has heard of.
    Entries {
        /// The changes.
        changes: EntryChanges,
        /// Whom the receiver passes them on to.
        span: Option<IdRange>,
    },
    /// The registry has answered a watcher; how long ago, the envelope says.
    RegistryAnswers {
        /// Whom the receiver passes it on to.
        span: Option<IdRange>,
    },
    /// Asks for what the sender lacks; answered by [`Message::Release`], and by
    /// [`Message::Entries`] or [`Message::Targets`].
    CatchUp {
        /// Number of the release that it has; 0 if none.
        release: u64,
        /// Revision up to which it knows the targets; none if it knows none.
        targets: Option<u64>,
    },
    /// All targets as of a revision.
    Targets {
        /// The revision.
        revision: u64,
        /// The targets.
        targets: Vec<Target>,
    },
    /// The load of services as the sender sees it.
    Loads(Vec<LoadReport>),
    /// Asks for what is doubted; answered by [`Message::Suspects`].
    PullSuspects,
    /// The targets that the sender doubts.
    Suspects(Vec<SuspectTarget>),
    /// What the sender, or one before it, has just seen of targets.
    Alerts {
        /// What was seen.
        alerts: Vec<Alert>,
        /// Whom the receiver passes them on to.
        span: Option<IdRange>,
    },
    /// Asks the home of a target whether a request may be sent there; answered by
    /// [`Message::PermitAnswer`].
    RequestPermit {
        /// The target's name.
        target: Arc<str>,
        /// Number that the answer repeats.
        number: u64,
        /// What the request needs.
        need: PermitParams,
    },
    /// Whether a request may be sent.
    PermitAnswer {
        /// Number of the question.
        number: u64,
        /// Whether it may.
        is_permitted: bool,
        /// Requests that were in flight to the target.
        in_flight: u32,
    },
    /// A request that asked has ended.
    ReleasePermit {
        /// The target's name.
        target: Arc<str>,
        /// Number of the question.
        number: u64,
    },
}
