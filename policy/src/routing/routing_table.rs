//! All that the request path reads, replaced as a whole.

use std::sync::Arc;

use imbl::HashMap;
use model::Configuration;

use super::ServiceTable;

/// The configuration in force and the targets in use.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    /// The configuration in force.
    pub configuration: Configuration,
    /// Tables of the services, by name.
    pub services: HashMap<Arc<str>, Arc<ServiceTable>>,
    /// Whether the instance takes requests.
    pub ready: bool,
    /// Whether the instance is stopping.
    pub draining: bool,
}
