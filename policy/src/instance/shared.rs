//! What the request path shares with the control decisions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;

use crate::membership::Member;
use crate::routing::RoutingTable;
use crate::routing::TableFreshness;

/// The routing table in force, read without locks.
#[derive(Debug, Default)]
pub struct Shared {
    table: ArcSwap<RoutingTable>,
    directory: ArcSwap<BTreeMap<Arc<str>, Member>>,
    table_freshness: Arc<TableFreshness>,
    watching: Watching,
    idle_limit_ms: AtomicU64,
}

/// Which part an instance takes in following a registry.
#[derive(Debug, Default)]
pub struct Watching {
    is_watcher: AtomicBool,
}

impl Watching {
    /// Whether the instance holds watches and spreads what they tell.
    pub fn is_watcher(&self) -> bool {
        self.is_watcher.load(Ordering::Relaxed)
    }

    /// Shows the part; gives the one that it had before.
    pub(super) fn show(&self, is_watcher: bool) -> bool {
        self.is_watcher.swap(is_watcher, Ordering::Relaxed)
    }
}

impl Shared {
    /// The table in force.
    pub fn table(&self) -> Arc<RoutingTable> {
        self.table.load_full()
    }

    /// Whether the table can be relied on.
    pub fn table_freshness(&self) -> &Arc<TableFreshness> {
        &self.table_freshness
    }

    /// Time for which callers keep connections without a request, in milliseconds;
    /// 0 where the configuration does not say.
    pub fn idle_limit_ms(&self) -> u64 {
        self.idle_limit_ms.load(Ordering::Relaxed)
    }

    /// Notes how long callers keep connections.
    pub(super) fn set_idle_limit_ms(&self, idle_limit_ms: u64) {
        self.idle_limit_ms.store(idle_limit_ms, Ordering::Relaxed);
    }

    /// Which part the instance takes in following a registry.
    pub fn watching(&self) -> &Watching {
        &self.watching
    }

    /// The instances that are present, by id.
    pub fn directory(&self) -> Arc<BTreeMap<Arc<str>, Member>> {
        self.directory.load_full()
    }

    /// Replaces the instances that are present.
    pub(super) fn publish_directory(&self, directory: BTreeMap<Arc<str>, Member>) {
        self.directory.store(Arc::new(directory));
    }

    /// Puts a table in force.
    pub(super) fn publish(&self, table: RoutingTable) {
        self.table.store(Arc::new(table));
    }
}
