//! State shared by all requests of an instance.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use border::ClaimStore;
use border::HeaderProtocol;
use parking_lot::Mutex;
use policy::command::TicketTable;
use policy::limits::Admission;
use policy::limits::BodyMemory;
use policy::limits::Customers;
use tokio::sync::Notify;
use tokio::sync::watch;

use super::BackgroundTasks;
use super::RequestQueues;
use crate::Clock;
use crate::control::ControlHandle;
use crate::control::PendingPermits;
use crate::control::PendingRetryLoans;
use crate::logs::Sampler;
use crate::metrics::Metrics;
use crate::settings::Limits;
use crate::targets::Pool;

/// State shared by all requests of an instance.
pub struct ProxyState {
    /// The instance's id.
    pub id: Arc<str>,
    /// Start time of the instance, in milliseconds since the Unix epoch (1970).
    pub started_ms: u64,
    /// Clock that measures deadlines and latencies.
    pub clock: Clock,
    /// Handle to the control loop and to the routing table that it publishes.
    pub control: ControlHandle,
    /// Pool of idle connections to targets.
    pub pool: Pool,
    /// Admission control by class.
    pub admission: Arc<Admission>,
    /// Memory that the bodies of requests and responses take.
    pub body_memory: Arc<BodyMemory>,
    /// Concurrency limits by customer.
    pub customers: Arc<Customers>,
    /// Queues of requests that wait for a target.
    pub request_queues: RequestQueues,
    /// Pending permit requests to overloaded services.
    pub permits: Arc<PendingPermits>,
    /// Requests that wait for a retry borrowed from a peer.
    pub retry_loans: Arc<PendingRetryLoans>,
    /// Signals answers of the owner of the quotas.
    pub quota_answers: Arc<Notify>,
    /// Time at which requests that still wait are answered, shortly before the instance exits, in
    /// microseconds; `None` while it does not shut down, or shuts down without a limit.
    pub last_answers_us: watch::Sender<Option<u64>>,
    /// Store of claimed idempotency keys; `None` if keys and tickets are not supported.
    pub claims: Option<Arc<ClaimStore>>,
    /// Maps the request and response headers of callers and targets.
    pub header_protocol: Arc<dyn HeaderProtocol>,
    /// Sampler of the requests to log.
    pub sampler: Sampler,
    /// Tickets issued since the instance started, and the state of their commands.
    pub tickets: Mutex<TicketTable>,
    /// Metrics that requests update.
    pub metrics: Arc<Metrics>,
    /// Resource limits.
    pub limits: Limits,
    /// Tasks that may outlive their requests.
    pub background: BackgroundTasks,
    /// Number of the next attempt tag.
    pub next_attempt_number: AtomicU64,
}

impl ProxyState {
    /// Whether callers may identify commands by keys or tickets.
    pub fn supports_command_ids(&self) -> bool {
        self.claims.is_some()
    }

    /// Returns an attempt tag that is unique across instances and restarts.
    pub fn next_attempt_tag(&self) -> Arc<str> {
        let number = self.next_attempt_number.fetch_add(1, Ordering::Relaxed);
        format!("{}~{}~{number}", self.id, self.started_ms).into()
    }
}
