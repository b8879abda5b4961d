//! Effects that an instance requests from its driver.
//!
//! The decision code does no I/O: it returns actions, and the driver carries them out.

use std::net::SocketAddr;
use std::sync::Arc;

use model::configuration::Target;

use super::Envelope;
use super::PermitAnswer;
use crate::evidence::HealthState;
use crate::evidence::Signal;
use crate::feed::RetainReason;
use crate::quarantine::Crash;
use crate::quarantine::Fingerprint;
use crate::routing::TargetProcess;

/// An effect to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to a peer; delivery is not guaranteed.
    Send {
        /// Id of the peer.
        to: Arc<str>,
        /// Address of the peer.
        address: SocketAddr,
        /// The message.
        envelope: Envelope,
    },
    /// Request a target's health path and report the result.
    Probe {
        /// The target.
        target: Arc<Target>,
        /// Health path of the target's service.
        path: Arc<str>,
    },
    /// Request a target's health path and report whether the response says that the target leaves.
    CheckDeparture {
        /// The target.
        target: Arc<Target>,
        /// Health path of the target's service.
        path: Arc<str>,
    },
    /// Call the platform and report its answer.
    Call(PlatformCall),
    /// Read a part of the registry again, because this instance may have an old version.
    Reread(RegistryPart),
    /// Pass an answer to the request that waits for a permit.
    Permit {
        /// Number of the permit request.
        number: u64,
        /// The answer.
        answer: PermitAnswer,
    },
    /// Pass an answer to the request that waits for a borrowed retry.
    RetryAnswer {
        /// Number of the request to borrow.
        number: u64,
        /// Whether a peer lends a retry.
        is_lent: bool,
    },
    /// Let the requests that wait for tokens of their customers' quotas decide again.
    QuotaAnswered,
    /// Write an event to the log.
    Log(LogEvent),
}

/// A part of a registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistryPart {
    /// The configuration.
    Release,
    /// The configuration, unless one with at least this number has been read in the meantime.
    NewerRelease(u64),
    /// The entries of the targets.
    Targets,
}

/// A call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformCall {
    /// Read the notes after a number; if there are none, optionally wait a limited time for one.
    WatchNotes {
        /// Number of the last note that the instance has.
        after: u64,
        /// Whether to wait if there is no such note yet.
        wait: bool,
    },
    /// Read the latest snapshot.
    ReadSnapshot,
    /// List the instances.
    ListInstances,
    /// Write a snapshot unless a later one is stored.
    WriteSnapshot {
        /// Number of the last note that it includes.
        number: u64,
        /// Parts of the snapshot as JSON.
        parts: Vec<Arc<str>>,
    },
}

/// An event for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// A note is in force.
    NoteInForce {
        /// Its number.
        number: u64,
    },
    /// A note is invalid and has no effect.
    NoteVoid {
        /// Its number.
        number: u64,
        /// Why it is invalid.
        reason: String,
    },
    /// The instance, as an owner of the service, has changed a target's health state.
    HealthDecided {
        /// The service's name.
        service: Arc<str>,
        /// The target's name.
        target: Arc<str>,
        /// The new health state.
        health: HealthState,
        /// Data centres that the state applies to; all if empty.
        from: Vec<Arc<str>>,
    },
    /// The health state by which the instance routes to a target has changed.
    HealthChanged {
        /// The target's name.
        target: Arc<str>,
        /// The new health state.
        health: HealthState,
    },
    /// A target's failure probability has crossed one half: the target is now more likely to be
    /// failing than healthy, or the reverse.
    SuspicionChanged {
        /// The service's name.
        service: Arc<str>,
        /// The target's name.
        target: Arc<str>,
        /// The signal that caused the change.
        signal: Signal,
        /// Id of the instance that sent the alert: the observer, or one that forwards its
        /// broadcast.
        by: Arc<str>,
        /// Failure probability before, in thousandths.
        before_milli: u32,
        /// Failure probability after, in thousandths.
        after_milli: u32,
    },
    /// A target's process ended while a request was sent to it.
    TargetCrashed(Crash),
    /// A request is not sent any more, as it was at the end of several processes.
    RequestQuarantined {
        /// The request.
        fingerprint: Fingerprint,
        /// Targets whose processes ended.
        targets: Vec<Arc<str>>,
        /// Time until it may be sent again, in milliseconds.
        for_ms: u64,
    },
    /// A quarantined request may be sent again, as a target has responded to it.
    QuarantineLifted {
        /// The request.
        fingerprint: Fingerprint,
    },
    /// A change of targets is in force.
    TargetsInForce {
        /// Targets that were added or changed.
        put: Vec<Arc<str>>,
        /// Targets that were removed.
        withdrawn: Vec<Arc<str>>,
    },
    /// Targets stay in use although their entries were removed.
    TargetsRetained {
        /// Their names.
        targets: Vec<Arc<str>>,
        /// Time for which they stay in use, in milliseconds.
        for_ms: u64,
        /// Why they stay in use.
        reason: RetainReason,
        /// Id of the instance that sent the change; the own id if it came from the registry.
        by: Arc<str>,
    },
    /// A service has become overloaded, or is no longer overloaded.
    Overloaded {
        /// The service's name.
        service: Arc<str>,
        /// Whether the load exceeds the capacity of the healthy targets.
        is_overloaded: bool,
        /// Slots of the healthy targets.
        slots: u32,
        /// Requests per second on all instances, in thousandths; `None` while unknown.
        fleet_milli: Option<u64>,
        /// Service time of a request at a target without a queue, in milliseconds.
        work_ms: u64,
    },
    /// A target has named a rate limit, changed it or ended it.
    RateLimitChanged {
        /// The target's name.
        target: Arc<str>,
        /// Requests per second that it takes from all instances together, in thousandths; `None`
        /// if it sets no limit any more.
        limit_milli: Option<u32>,
    },
    /// A target has said for the first time that it leaves, to this instance or to another.
    DepartureStated {
        /// The target's process.
        process: TargetProcess,
        /// Id of the instance that it has said so to, or that forwards its broadcast.
        by: Arc<str>,
    },
    /// A process that counted as leaving, since a process under its name had said so, does not leave.
    DepartureRefuted {
        /// The target's process.
        process: TargetProcess,
    },
    /// A target has refused a request and wants no others from this instance for a time.
    PauseRequested {
        /// The target's process.
        process: TargetProcess,
        /// Length of the pause, in milliseconds.
        pause_ms: u64,
    },
    /// A target states something about itself that cannot be read; logged once per process.
    NoticeUnreadable {
        /// The target's name.
        target: Arc<str>,
    },
    /// An owner has not answered a permit request that states a priority.
    RankedPermitUnanswered {
        /// The owner.
        owner: Arc<str>,
    },
    /// This instance has become the owner of a target of an overloaded service and begins its
    /// ledger of permits.
    LedgerStarted {
        /// The target's name.
        target: Arc<str>,
    },
    /// Another instance now owns a target for which this instance holds permits.
    OwnerChanged {
        /// The target's name.
        target: Arc<str>,
        /// Id of the new owner.
        owner: Arc<str>,
        /// Permits that the earlier owner has granted to this instance.
        permits: usize,
    },
    /// The number of instances that share the retry reserve has changed.
    RetryReserve {
        /// Instances that share the reserve, this one included.
        instances: u32,
    },
    /// The owner of the quotas has restricted a customer, whose requests need tokens, or has ended
    /// the restriction.
    QuotaRestricted {
        /// Name of the customer.
        customer: Arc<str>,
        /// Whether its requests need tokens now.
        is_restricted: bool,
        /// Requests that its account allows, in thousandths.
        balance_milli: i64,
        /// Rate at which the account accrues, in thousandths of a request per second.
        rate_milli: u64,
        /// Requests that can accumulate, in thousandths.
        capacity_milli: u64,
    },
    /// The instance has begun to keep the accounts of quotas.
    QuotaAccountsStarted {
        /// Number of customers with quotas.
        customers: usize,
        /// Instances that share the quotas.
        instances: u32,
        /// Whether the quotas count as unused.
        is_unspent: bool,
    },
    /// The instance reports the use of quotas to another owner.
    QuotaOwnerChanged {
        /// Id of the owner.
        owner: Arc<str>,
    },
    /// The owner of the quotas does not answer; the instance uses its fixed shares.
    QuotaOwnerSilent {
        /// Id of the owner; `None` if there was none.
        owner: Option<Arc<str>>,
        /// Time since the last report that was answered, in milliseconds.
        silent_ms: u64,
        /// Instances that share the quotas.
        instances: u32,
    },
    /// The instance reads the registry itself because the watchers' updates are overdue.
    WatchTakenOver {
        /// Age of the instance's view of the registry, in milliseconds.
        view_age_ms: u64,
    },
    /// A release was received from a peer in parts.
    ReleaseFetched {
        /// Number of the release.
        number: u64,
        /// Number of the release that the instance had before.
        own_number: u64,
        /// Id of the peer.
        from: Arc<str>,
        /// Number of parts.
        parts: usize,
    },
    /// The instance knows of a release that is newer than its own (`true`), or has the newest
    /// that it knows of (`false`).
    ReleaseSuperseded {
        /// Whether there is a newer one.
        is_superseded: bool,
        /// Number of the release in force.
        own_number: u64,
        /// Highest number of a release that is known to exist.
        newest_number: u64,
    },
    /// The instance hears neither from its peers nor from the registry (`true`), or does again
    /// (`false`).
    Isolated(bool),
    /// The registry has become reachable (`true`) or unreachable (`false`).
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
    /// The instance accepts requests.
    Ready,
    /// The instance has begun to drain.
    Draining,
}
