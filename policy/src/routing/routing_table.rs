//! Immutable snapshot of the data that the request path reads; each change publishes a new one.

use std::sync::Arc;

use imbl::HashMap;
use model::Configuration;

use super::ServiceTable;

/// The configuration in force and the targets in use.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    /// The configuration in force.
    pub configuration: Configuration,
    /// Service tables, by service name.
    pub services: HashMap<Arc<str>, Arc<ServiceTable>>,
    /// Whether the instance accepts requests.
    pub ready: bool,
    /// Whether the instance is stopping.
    pub draining: bool,
}
