//! What all requests of an instance share.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use border::ClaimStore;
use border::HeaderProtocol;
use parking_lot::Mutex;
use policy::command::TicketTable;
use policy::limits::Admission;
use policy::limits::Customers;

use super::Background;
use super::WaitingRoom;
use crate::Clock;
use crate::control::ControlHandle;
use crate::control::Permits;
use crate::logs::Sampler;
use crate::metrics::Metrics;
use crate::settings::Limits;
use crate::targets::Pool;

/// What all requests of an instance share.
pub struct Entry {
    /// The instance's id.
    pub id: Arc<str>,
    /// The instance's start, in milliseconds since 1970.
    pub started_ms: u64,
    /// The clock.
    pub clock: Clock,
    /// The way to the control loop, and the routing table.
    pub control: ControlHandle,
    /// Connections to targets.
    pub pool: Pool,
    /// Requests in work, by class.
    pub admission: Arc<Admission>,
    /// Requests in work, by customer.
    pub customers: Arc<Customers>,
    /// Requests that wait.
    pub waiting: WaitingRoom,
    /// Questions of requests to crowded services.
    pub permits: Arc<Permits>,
    /// Claims of keys; none where commands have no names.
    pub claims: Option<Arc<ClaimStore>>,
    /// How callers and targets mark requests and answers.
    pub header_protocol: Arc<dyn HeaderProtocol>,
    /// Which requests are logged.
    pub sampler: Sampler,
    /// Tickets of this start.
    pub tickets: Mutex<TicketTable>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Bounds.
    pub limits: Limits,
    /// Work that outlives its request.
    pub background: Background,
    /// Attempts begun, for their tags.
    pub attempts: AtomicU64,
}

impl Entry {
    /// Whether callers may name commands by keys and tickets.
    pub fn names_commands(&self) -> bool {
        self.claims.is_some()
    }

    /// A tag that no other attempt has, here or elsewhere.
    pub fn attempt_tag(&self) -> Arc<str> {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        format!("{}~{}~{number}", self.id, self.started_ms).into()
    }
}
