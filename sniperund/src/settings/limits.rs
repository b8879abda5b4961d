//! Bounds on what outsiders can make the instance hold.

use serde::Deserialize;

/// Bounds on what outsiders can make the instance hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Requests in work at once.
    pub in_flight: u32,
    /// Connections of callers at once.
    pub connections: usize,
    /// Connections of peers at once.
    pub peer_connections: usize,
    /// Bytes of a request's headers.
    pub header_bytes: usize,
    /// Bytes of a request's body that are kept so that it can be sent again.
    pub kept_body_bytes: usize,
    /// Tickets kept.
    pub tickets: usize,
    /// Claims of keys in the making at once.
    pub claims: u32,
    /// Calls to the platform a second.
    pub platform_calls_per_s: u64,
    /// Idle connections kept to one target.
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
            tickets: 100_000,
            claims: 64,
            platform_calls_per_s: 50,
            idle_connections: 4,
        }
    }
}
