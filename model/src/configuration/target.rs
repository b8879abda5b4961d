//! Targets: the backend servers of a service.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::Named;

/// A backend server of a service, with its address and capacity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Unique name of the target.
    pub name: Arc<str>,
    /// Name of the service that the target belongs to.
    pub service: Arc<str>,
    /// Data centre in which the target runs.
    pub data_centre: Arc<str>,
    /// Address on which the target accepts requests.
    pub address: SocketAddr,
    /// Maximum number of requests that the target processes concurrently.
    pub slots: u32,
    /// Maximum number of connections that the target accepts.
    pub connections: u32,
    /// Whether a 503 response means that the target did not run the request.
    #[serde(default)]
    pub refusal_is_not_run: bool,
    /// Whether the target is being drained: it receives no new requests.
    #[serde(default)]
    pub leaving: bool,
    /// Start time of the target's process in milliseconds since the Unix epoch;
    /// [`UNKNOWN_INCARNATION`] if unknown.
    #[serde(default)]
    pub incarnation: u64,
}

/// Incarnation of a process whose start time is unknown.
pub const UNKNOWN_INCARNATION: u64 = 0;

impl Target {
    /// Whether the target's process can be told from the next one under its name.
    pub fn has_known_incarnation(&self) -> bool {
        self.incarnation != UNKNOWN_INCARNATION
    }
}

impl Named for Target {
    const KIND: &'static str = "target";

    fn name(&self) -> &Arc<str> {
        &self.name
    }
}
