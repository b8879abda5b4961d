//! What callers and targets saw in a run.

use std::sync::Arc;

/// Kinds of requests that callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It may be repeated.
    Read,
    /// It runs once at most.
    Command,
    /// It may be repeated, and its route moves between services.
    Moved,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// An answer came whole.
    Answered {
        /// Its status.
        status: u16,
        /// The target that made it, as its body says; none if an instance made it.
        target: Option<Arc<str>>,
        /// Whether signature, id and body are those of the target for this request.
        proven: bool,
    },
    /// The connection ended first.
    Cut,
    /// No connection could be made, so that nothing was sent.
    NotSent,
    /// The caller's patience ended first.
    Unanswered,
}

/// A request as its caller saw it; times in milliseconds from the run's start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its id.
    pub id: Arc<str>,
    /// Its kind.
    pub kind: Kind,
    /// Number of the instance that it was sent to.
    pub instance: usize,
    /// When its last byte was sent.
    pub sent_ms: u64,
    /// When it ended.
    pub ended_ms: u64,
    /// How it ended.
    pub end: End,
}

/// A request as a target saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When it came.
    pub at_ms: u64,
    /// Its id.
    pub id: Arc<str>,
    /// The target's id.
    pub target: Arc<str>,
    /// The target's service.
    pub service: Arc<str>,
}

/// A change that the store has acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A target takes no new requests.
    Draining {
        /// Its id.
        target: Arc<str>,
    },
    /// The route that moves goes to a service.
    Moved {
        /// The service.
        service: Arc<str>,
    },
    /// An instance was asked to stop.
    Stopping {
        /// Its number.
        instance: usize,
    },
    /// An instance started.
    Started {
        /// Its number.
        instance: usize,
    },
}

/// What a fault befalls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// The store, and with it all instances.
    Store,
    /// An instance, by its number.
    Instance(usize),
    /// A target, by its id.
    Target(Arc<str>),
}

/// A fault, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trouble {
    /// When it began.
    pub from_ms: u64,
    /// When it was over.
    pub to_ms: u64,
    /// What it befell.
    pub place: Place,
}

/// All that was seen in a run.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// What callers saw.
    pub requests: Vec<Request>,
    /// What targets saw, by time.
    pub arrivals: Vec<Arrival>,
    /// The ids that targets ran, each with its target, once for each run.
    pub ran: Vec<(Arc<str>, Arc<str>)>,
    /// Acknowledged changes with their times, by time.
    pub changes: Vec<(u64, Change)>,
    /// The faults.
    pub troubles: Vec<Trouble>,
    /// Targets that were there all the while, each with its service.
    pub targets: Vec<(Arc<str>, Arc<str>)>,
    /// Instances that ended by themselves.
    pub ended_by_themselves: Vec<(u64, usize)>,
    /// When the run ended.
    pub end_ms: u64,
}

impl Record {
    /// Whether nothing befell a place for `before_ms` before a span, and in it.
    pub fn is_calm(&self, place: &Place, from_ms: u64, to_ms: u64, before_ms: u64) -> bool {
        let meets =
            |trouble: &&Trouble| trouble.from_ms <= to_ms && trouble.to_ms + before_ms >= from_ms;
        let mut met = self.troubles.iter().filter(meets);
        !met.any(|trouble| trouble.place == *place)
    }

    /// Whether an instance and the store had no trouble in a span and
    /// [`STABLE_MS`] before it.
    pub fn is_in_touch(&self, instance: usize, from_ms: u64, to_ms: u64) -> bool {
        self.is_calm(&Place::Instance(instance), from_ms, to_ms, STABLE_MS)
            && self.is_calm(&Place::Store, from_ms, to_ms, STABLE_MS)
    }
}

/// Time without trouble after which bounds hold: the users' `stableWindow`.
pub const STABLE_MS: u64 = 3_000;
