//! Observations of callers and targets in a run, which the checks are evaluated on.

use std::sync::Arc;

/// Id in arrivals at the address that entries of other writers have.
pub const FOREIGN_TARGET: &str = "foreign";

/// Kind of a request that a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Idempotent request, which may be repeated.
    Read,
    /// Request that must run at most once.
    Command,
    /// Idempotent request on the route that moves between services.
    MovingRoute,
    /// Request below the moving route that must run at most once while some configurations are in
    /// force, and is idempotent in the others.
    Order,
    /// Idempotent request with a key that only some configurations contain.
    Guest,
    /// Idempotent request with a key that no configuration contains.
    Stranger,
}

/// Result of a request as its caller observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// A complete response was received.
    Answered {
        /// HTTP status code.
        status: u16,
        /// Target named in the body. `None` if an instance generated the response.
        target: Option<Arc<str>>,
        /// Whether signature, request id and body prove that a target sent the response for this request.
        proven: bool,
        /// Whether the response says that the target leaves.
        is_leaving: bool,
    },
    /// The connection ended before a complete response was received.
    Cut,
    /// The connection could not be opened, so nothing was sent.
    NotSent,
    /// The caller's timeout expired.
    Unanswered,
}

/// A request as its caller observed it. Times are in milliseconds from the start of the run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Request id.
    pub id: Arc<str>,
    /// Kind of request.
    pub kind: RequestKind,
    /// Customer that holds the key of the request; `None` if nobody does.
    pub customer: Option<Arc<str>>,
    /// Number of the instance that the caller sent it to.
    pub instance: usize,
    /// Time at which its last byte was sent.
    pub sent_ms: u64,
    /// Time at which the response was complete or the caller gave up.
    pub ended_ms: u64,
    /// Result for the caller.
    pub end: RequestEnd,
}

/// A request as a target received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time of receipt, in milliseconds from the start of the run.
    pub at_ms: u64,
    /// Request id.
    pub id: Arc<str>,
    /// Id of the target.
    pub target: Arc<str>,
    /// Service of the target.
    pub service: Arc<str>,
    /// Customer that the request names.
    pub customer: Option<Arc<str>>,
}

/// A change during the run: an update that the store acknowledged, or a start or stop of an
/// instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A target was marked as draining and must receive no new requests.
    Draining {
        /// Id of the target.
        target: Arc<str>,
    },
    /// The moving route was pointed to a service.
    RouteMoved {
        /// Name of the service.
        service: Arc<str>,
    },
    /// The stop signal was sent to an instance.
    Stopping {
        /// Number of the instance.
        instance: usize,
    },
    /// A process of an instance was started.
    Started {
        /// Number of the instance.
        instance: usize,
    },
    /// A process of an instance was resumed after it had been frozen.
    Resumed {
        /// Number of the instance.
        instance: usize,
    },
}

/// Component that a fault affects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Component {
    /// Store, which affects all instances.
    Store,
    /// Instance by number.
    Instance(usize),
    /// Link from other instances to an instance, by its number.
    Peers(usize),
    /// Target by id.
    Target(Arc<str>),
}

/// Period in which a fault affected a component, in milliseconds from the start of the run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultPeriod {
    /// Start of the fault.
    pub from_ms: u64,
    /// End of the fault.
    pub to_ms: u64,
    /// Affected component.
    pub component: Component,
}

/// All observations of a run. Times are in milliseconds from the start of the run.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Requests as callers observed them.
    pub requests: Vec<Request>,
    /// Requests with keys that not all configurations contain, apart from the others, as they may be
    /// refused at any time.
    pub guests: Vec<Request>,
    /// Requests as targets received them, ordered by time.
    pub arrivals: Vec<Arrival>,
    /// Pairs of request id and target, one per execution of a request.
    pub ran: Vec<(Arc<str>, Arc<str>)>,
    /// Changes with their times, ordered by time.
    pub changes: Vec<(u64, Change)>,
    /// Periods of faults.
    pub fault_periods: Vec<FaultPeriod>,
    /// Targets that were present throughout the run, each with its service.
    pub targets: Vec<(Arc<str>, Arc<str>)>,
    /// Exits without a planned stop, each with its time and the number of the instance.
    pub unexpected_exits: Vec<(u64, usize)>,
    /// Numbers of the instances that are not ready at the end.
    pub unready_instances: Vec<usize>,
    /// End of the run.
    pub end_ms: u64,
}

impl Record {
    /// Whether no fault affected a component from `before_ms` before a period until its end.
    pub fn is_fault_free(
        &self,
        component: &Component,
        from_ms: u64,
        to_ms: u64,
        before_ms: u64,
    ) -> bool {
        let overlaps =
            |period: &&FaultPeriod| period.from_ms <= to_ms && period.to_ms + before_ms >= from_ms;
        let mut overlapping = self.fault_periods.iter().filter(overlaps);
        !overlapping.any(|period| period.component == *component)
    }

    /// Whether no fault affected an instance or the store in a period and the
    /// [`STABLE_WINDOW_MS`] before it.
    pub fn is_instance_fault_free(&self, instance: usize, from_ms: u64, to_ms: u64) -> bool {
        self.is_fault_free(
            &Component::Instance(instance),
            from_ms,
            to_ms,
            STABLE_WINDOW_MS,
        ) && self.is_fault_free(&Component::Store, from_ms, to_ms, STABLE_WINDOW_MS)
    }
}

/// Time without faults after which bounds must hold: the users' `stableWindow`.
pub const STABLE_WINDOW_MS: u64 = 3_000;
