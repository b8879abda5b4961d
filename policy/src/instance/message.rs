//! Messages between instances.

use std::sync::Arc;

use model::configuration::Target;
use serde::Deserialize;
use serde::Serialize;

use super::LatencySamples;
use super::LoadReport;
use super::ServiceProfile;
use crate::evidence::HealthDecision;
use crate::evidence::Report;
use crate::evidence::Signal;
use crate::feed::EntryChanges;
use crate::feed::PartsRequest;
use crate::feed::Release;
use crate::feed::ReleaseAccess;
use crate::feed::ReleasePart;
use crate::limits::HeldPermit;
use crate::limits::PermitParams;
use crate::limits::QuotaLease;
use crate::limits::QuotaUse;
use crate::membership::Member;
use crate::notes::IdRange;
use crate::notes::NumberedNote;
use crate::quarantine::CaseReport;
use crate::quarantine::Crash;
use crate::quarantine::Fingerprint;
use crate::routing::TargetProcess;

/// A message with the metadata that every message carries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Id of the sender.
    pub from: Arc<str>,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Number of the note in force at the sender.
    pub note: u64,
    /// Last revision of the registry at which targets changed, in the sender's view;
    /// 0 without a registry.
    pub targets_changed: u64,
    /// Age of the sender's view of the registry, in milliseconds: time since the registry
    /// last answered an instance whose versions at that time the sender has reached.
    /// `None` without a registry.
    pub view_age_ms: Option<u64>,
    /// Membership updates, gossiped with each message.
    pub member_updates: Vec<Member>,
    /// The message itself.
    pub message: Message,
}

/// Latencies of a service as measured by an owner, in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLatencies {
    /// The service's name.
    pub service: Arc<str>,
    /// The median.
    pub median_us: u64,
    /// Latency above which a response counts as slow.
    pub slow_us: u64,
}

/// An outcome at a target that is broadcast to all instances immediately.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Alert {
    /// The target's name.
    pub target: Arc<str>,
    /// Incarnation of the target's process that was observed.
    pub incarnation: u64,
    /// The observed outcome.
    pub signal: Signal,
}

/// A target with a raised failure probability at the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectTarget {
    /// The target's name.
    pub target: Arc<str>,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Failure probability, in thousandths.
    pub failure_probability_milli: u32,
}

/// The rate limit of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRateLimit {
    /// The target's process.
    pub process: TargetProcess,
    /// Requests per second that it takes from all instances together, in thousandths; `None` if
    /// it sets no limit any more.
    pub limit_milli: Option<u32>,
}

/// A message.
///
/// Instances of former versions read the messages that they know, so that variants are only added
/// at the end and none of the existing ones changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for an [`Message::Ack`].
    Ping {
        /// Number echoed in the answer.
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
        /// Number echoed in the answer.
        sequence: u64,
    },
    /// Asks for the members; answered by [`Message::Members`].
    Join,
    /// All present members in the sender's view, split over several messages.
    Members(Vec<Member>),
    /// Outcomes of the sender's requests.
    Reports(Vec<Report>),
    /// Latencies of services, for a sender of reports that has too few samples itself.
    Latencies(Vec<ServiceLatencies>),
    /// Health decisions of an owner.
    HealthDecisions {
        /// Id of the owner.
        owner: Arc<str>,
        /// The decisions.
        decisions: Vec<HealthDecision>,
        /// Ids that the receiver forwards them to.
        id_range: Option<IdRange>,
    },
    /// A new note.
    NewNote {
        /// The note.
        note: NumberedNote,
        /// Ids that the receiver forwards it to.
        id_range: Option<IdRange>,
    },
    /// Asks for the notes after a number.
    PullNotes {
        /// The number.
        after: u64,
    },
    /// Notes in order.
    Notes(Vec<NumberedNote>),
    /// A part of a snapshot of the configuration.
    SnapshotPart {
        /// Number of the last note that the snapshot includes.
        number: u64,
        /// Index of the part, from 0.
        index: u32,
        /// Number of parts.
        count: u32,
        /// The part as JSON.
        text: Arc<str>,
    },
    /// A configuration that a watcher read from the registry.
    Release {
        /// The configuration.
        release: Release,
        /// Ids that the receiver forwards it to.
        id_range: Option<IdRange>,
    },
    /// Target changes that a watcher received from the registry.
    Entries {
        /// The changes.
        changes: EntryChanges,
        /// Ids that the receiver forwards them to.
        id_range: Option<IdRange>,
    },
    /// The registry has answered a watcher; [`Envelope::view_age_ms`] is the time since then.
    RegistryAnswers {
        /// Ids that the receiver forwards it to.
        id_range: Option<IdRange>,
    },
    /// Requests the updates that the sender is missing; answered by [`Message::Release`]
    /// and by [`Message::Entries`] or [`Message::Targets`].
    CatchUp {
        /// Number of the sender's release; 0 if it has none.
        release: u64,
        /// Revision of the sender's targets; `None` if it has none.
        targets: Option<u64>,
    },
    /// All targets as of a revision.
    Targets {
        /// The revision.
        revision: u64,
        /// The targets.
        targets: Vec<Target>,
    },
    /// Load of services, measured by the sender.
    Loads(Vec<LoadReport>),
    /// Requests the targets with raised failure probabilities; answered by
    /// [`Message::Suspects`].
    PullSuspects,
    /// Targets with a raised failure probability at the sender.
    Suspects(Vec<SuspectTarget>),
    /// Targets have said that they leave.
    Departures {
        /// Their processes.
        processes: Vec<TargetProcess>,
        /// Ids to which the receiver forwards the message.
        id_range: Option<IdRange>,
    },
    /// Rate limits that targets have named, changed or ended.
    RateLimits {
        /// The limits.
        limits: Vec<TargetRateLimit>,
        /// Ids that the receiver forwards them to.
        id_range: Option<IdRange>,
    },
    /// An instance has started or stops.
    MemberChanged {
        /// The instance.
        member: Box<Member>,
        /// Ids that the receiver forwards it to.
        id_range: Option<IdRange>,
    },
    /// Outcomes at targets, just observed by the instance that started the broadcast.
    Alerts {
        /// The outcomes.
        alerts: Vec<Alert>,
        /// Ids that the receiver forwards them to.
        id_range: Option<IdRange>,
    },
    /// Latencies of the sender's responses, for the owner of their service.
    LatencySamples(LatencySamples),
    /// Latency distributions of services, fitted by their owners.
    LatencyProfiles {
        /// The distributions.
        profiles: Vec<ServiceProfile>,
        /// Ids that the receiver forwards them to.
        id_range: Option<IdRange>,
    },
    /// Asks a peer to lend a retry; answered by [`Message::RetryAnswer`].
    BorrowRetry {
        /// The service's name.
        service: Arc<str>,
        /// Number echoed in the answer.
        number: u64,
    },
    /// Answers a request to borrow a retry.
    RetryAnswer {
        /// Number of the request.
        number: u64,
        /// Whether the retry was taken out of the sender's budget.
        is_lent: bool,
    },
    /// Asks the owner of a target whether a request may be sent to it; answered by
    /// [`Message::PermitAnswer`].
    RequestPermit {
        /// The target's name.
        target: Arc<str>,
        /// Number echoed in the answer.
        number: u64,
        /// Parameters of the request.
        params: PermitParams,
    },
    /// Answers a permit request.
    PermitAnswer {
        /// Number of the permit request.
        number: u64,
        /// Whether the request may be sent.
        is_permitted: bool,
        /// Requests in flight to the target before this one.
        in_flight: u32,
        /// Time after which the target's rate limit may allow a request, in milliseconds; 0 if
        /// it is not the reason for a denial.
        wait_ms: u32,
    },
    /// Registers permits that an earlier owner of a target granted to the sender.
    RegisterPermits {
        /// The target's name.
        target: Arc<str>,
        /// The permits.
        permits: Vec<HeldPermit>,
    },
    /// Releases the permit of a request that has ended.
    ReleasePermit {
        /// The target's name.
        target: Arc<str>,
        /// Number of the permit request.
        number: u64,
    },
    /// A target's process ended while a request was sent to it.
    TargetCrashed {
        /// The crash.
        crash: Crash,
        /// Ids that the receiver forwards it to.
        id_range: Option<IdRange>,
    },
    /// A target has responded to a request that was at crashes before.
    RequestCleared {
        /// The request.
        fingerprint: Fingerprint,
        /// Ids that the receiver forwards it to.
        id_range: Option<IdRange>,
    },
    /// Requests the requests that were at crashes; answered by [`Message::CrashCases`].
    PullCrashCases,
    /// Requests that were at crashes.
    CrashCases {
        /// What is known about them.
        reports: Vec<CaseReport>,
        /// Ids that the receiver forwards it to.
        id_range: Option<IdRange>,
    },
    /// A configuration with customers or priorities, read from the registry.
    ReleaseWithAccess {
        /// The configuration.
        release: Box<Release>,
        /// Its customers and priorities.
        access: Box<ReleaseAccess>,
        /// Ids that the receiver forwards it to.
        id_range: Option<IdRange>,
    },
    /// Use of customers' quotas by the sender; answered by [`Message::QuotaAnswer`].
    QuotaReport {
        /// Number echoed in the answer.
        number: u64,
        /// Random number of the sender's process.
        process: u32,
        /// Whether the sender reports to this owner alone, so that its part of the quotas is here.
        is_counted: bool,
        /// Use by customer.
        uses: Vec<QuotaUse>,
    },
    /// Answers a report on quotas, or announces restrictions.
    QuotaAnswer {
        /// Number of the report; 0 for an announcement.
        number: u64,
        /// Restricted customers, and what the sender of the report may use.
        leases: Vec<QuotaLease>,
    },
    /// Asks like [`Message::RequestPermit`], for a request to a service whose requests have several
    /// priorities. Builds that do not know it do not answer.
    RequestRankedPermit {
        /// The target's name.
        target: Arc<str>,
        /// Number echoed in the answer.
        number: u64,
        /// Parameters of the request.
        params: PermitParams,
        /// Priority of the request, 0 being the most urgent.
        priority: u8,
        /// Name of the customer, or the address of a caller without one.
        customer: Arc<str>,
    },
    /// Requests parts of a release that the registry does not deliver to the sender; answered by
    /// [`Message::ReleasePart`]. Builds that do not know it do not answer.
    PullRelease(PartsRequest),
    /// A part of a release.
    ReleasePart(Box<ReleasePart>),
}
