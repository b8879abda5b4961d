//! State shared between the control plane and the request path.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;

use crate::limits::QuotaGate;
use crate::membership::Member;
use crate::quarantine::QuarantineView;
use crate::routing::RoutingTable;
use crate::routing::TableFreshness;

/// The routing table in force and related state, read without locks.
#[derive(Debug, Default)]
pub struct Shared {
    table: ArcSwap<RoutingTable>,
    directory: ArcSwap<BTreeMap<Arc<str>, Member>>,
    table_freshness: Arc<TableFreshness>,
    quarantine: Arc<QuarantineView>,
    watch_role: WatchRole,
    idle_limit_ms: AtomicU64,
    quota_gate: QuotaGate,
}

/// Role of an instance in watching a registry.
#[derive(Debug, Default)]
pub struct WatchRole {
    is_watcher: AtomicBool,
}

impl WatchRole {
    /// Whether the instance watches the registry and broadcasts the updates.
    pub fn is_watcher(&self) -> bool {
        self.is_watcher.load(Ordering::Relaxed)
    }

    /// Sets the role and returns the previous one.
    pub(super) fn replace(&self, is_watcher: bool) -> bool {
        self.is_watcher.swap(is_watcher, Ordering::Relaxed)
    }
}

impl Shared {
    /// The routing table in force.
    pub fn table(&self) -> Arc<RoutingTable> {
        self.table.load_full()
    }

    /// Tracker of whether the routing table is current.
    pub fn table_freshness(&self) -> &Arc<TableFreshness> {
        &self.table_freshness
    }

    /// The requests that crash targets.
    pub fn quarantine(&self) -> &Arc<QuarantineView> {
        &self.quarantine
    }

    /// The gate for requests of customers with quotas.
    pub fn quota_gate(&self) -> &QuotaGate {
        &self.quota_gate
    }

    /// Time for which callers keep idle connections open, in milliseconds; 0 if the
    /// configuration does not specify it.
    pub fn idle_limit_ms(&self) -> u64 {
        self.idle_limit_ms.load(Ordering::Relaxed)
    }

    pub(super) fn set_idle_limit_ms(&self, idle_limit_ms: u64) {
        self.idle_limit_ms.store(idle_limit_ms, Ordering::Relaxed);
    }

    /// Role of the instance in watching a registry.
    pub fn watch_role(&self) -> &WatchRole {
        &self.watch_role
    }

    /// The present instances by id.
    pub fn directory(&self) -> Arc<BTreeMap<Arc<str>, Member>> {
        self.directory.load_full()
    }

    /// Replaces the directory of present instances.
    pub(super) fn publish_directory(&self, directory: BTreeMap<Arc<str>, Member>) {
        self.directory.store(Arc::new(directory));
    }

    /// Puts a routing table in force.
    pub(super) fn publish(&self, table: RoutingTable) {
        self.table.store(Arc::new(table));
    }
}
