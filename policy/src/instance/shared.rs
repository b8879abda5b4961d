//! What the request path shares with the control decisions.

use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::membership::Member;
use crate::routing::Currency;
use crate::routing::RoutingTable;

/// The routing table in force, read without locks.
#[derive(Debug, Default)]
pub struct Shared {
    table: ArcSwap<RoutingTable>,
    directory: ArcSwap<BTreeMap<Arc<str>, Member>>,
    currency: Arc<Currency>,
}

impl Shared {
    /// The table in force.
    pub fn table(&self) -> Arc<RoutingTable> {
        self.table.load_full()
    }

    /// Whether the table can be relied on.
    pub fn currency(&self) -> &Arc<Currency> {
        &self.currency
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
