//! Bounds on the resources that callers, peers and targets can make the instance use.

use policy::limits::DEFAULT_BODY_MEMORY_BYTES;
use serde::Deserialize;

/// Maximum use of resources by callers, peers and targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Requests in flight.
    pub in_flight: u32,
    /// Open connections from callers.
    pub connections: usize,
    /// Open connections from peers.
    pub peer_connections: usize,
    /// Size of a request's headers in bytes.
    pub header_bytes: usize,
    /// Bytes of a request body that are buffered so that the request can be retried.
    pub kept_body_bytes: usize,
    /// Bytes of the bodies of requests and responses that are held at a time.
    pub body_memory_bytes: u64,
    /// Tickets stored.
    pub tickets: usize,
    /// Concurrent claims of idempotency keys that are not yet recorded.
    pub claims: u32,
    /// Calls to the platform per second.
    pub platform_calls_per_s: u64,
    /// Idle connections per target.
    pub idle_connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            in_flight: 4_096,
            connections: 8_192,
            peer_connections: 1_024,
            header_bytes: 16_384,
            kept_body_bytes: 65_536,
            body_memory_bytes: DEFAULT_BODY_MEMORY_BYTES,
            tickets: 100_000,
            claims: 64,
            platform_calls_per_s: 50,
            idle_connections: 4,
        }
    }
}
