//! What the request path shares with the control decisions.

use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::routing::RoutingTable;

/// The routing table in force, read without locks.
#[derive(Debug, Default)]
pub struct Shared {
    table: ArcSwap<RoutingTable>,
}

impl Shared {
    /// The table in force.
    pub fn table(&self) -> Arc<RoutingTable> {
        self.table.load_full()
    }

    /// Puts a table in force.
    pub(super) fn publish(&self, table: RoutingTable) {
        self.table.store(Arc::new(table));
    }
}
