//! State shared by all requests of an instance.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use border::ClaimStore;
use border::HeaderProtocol;
use parking_lot::Mutex;
use policy::command::TicketTable;
use policy::limits::Admission;
use policy::limits::Customers;

use super::BackgroundTasks;
use super::RequestQueues;
use crate::Clock;
use crate::control::ControlHandle;
use crate::control::PendingPermits;
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
    /// Clock of deadlines and latencies.
    pub clock: Clock,
    /// Handle to the control loop and to the routing table.
    pub control: ControlHandle,
    /// Pool of idle connections to targets.
    pub pool: Pool,
    /// Admission control by class.
    pub admission: Arc<Admission>,
    /// Concurrency limits by customer.
    pub customers: Arc<Customers>,
    /// Queues of requests that wait for a target.
    pub request_queues: RequestQueues,
    /// Pending permit requests to overloaded services.
    pub permits: Arc<PendingPermits>,
    /// Store of claimed idempotency keys; `None` if keys and tickets are not supported.
    pub claims: Option<Arc<ClaimStore>>,
    /// Headers by which callers and targets mark requests and answers.
    pub header_protocol: Arc<dyn HeaderProtocol>,
    /// Sampler of the requests to log.
    pub sampler: Sampler,
    /// Tickets issued since the instance started.
    pub tickets: Mutex<TicketTable>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Resource limits.
    pub limits: Limits,
    /// Tasks that outlive their requests.
    pub background: BackgroundTasks,
    /// Number of attempt tags generated so far.
    pub attempts: AtomicU64,
}

impl ProxyState {
    /// Whether callers may identify commands by keys and tickets.
    pub fn supports_named_commands(&self) -> bool {
        self.claims.is_some()
    }

    /// Returns an attempt tag that is unique across instances and restarts.
    pub fn next_attempt_tag(&self) -> Arc<str> {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        format!("{}~{}~{number}", self.id, self.started_ms).into()
    }
}
