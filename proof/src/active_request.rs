//! A simulated request in progress.

use std::sync::Arc;

use policy::command::Ticket;
use policy::exchange::Exchange;

/// How a command is identified to detect repeated submissions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandIdentity {
    /// The command has no identity.
    None,
    /// An idempotency key.
    Key(Arc<str>),
    /// A ticket issued by an instance.
    Ticket(Ticket),
}

/// An attempt to serve a request at a target.
#[derive(Clone, Debug)]
pub(super) struct RequestAttempt {
    pub(super) target: Arc<str>,
    pub(super) sent_us: u64,
    pub(super) is_observed: bool,
    pub(super) is_closed: bool,
}

/// A request in progress.
#[derive(Debug)]
pub(super) struct ActiveRequest {
    pub(super) node: usize,
    pub(super) service: Arc<str>,
    pub(super) command: Option<Arc<str>>,
    pub(super) identity: CommandIdentity,
    pub(super) attempt_tag: Arc<str>,
    pub(super) exchange: Option<Exchange>,
    pub(super) attempts: Vec<RequestAttempt>,
    pub(super) began_us: u64,
    pub(super) deadline_us: u64,
    pub(super) forwarding: Option<usize>,
}
