//! An instance as its peers see it.

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// The status of an instance; a later variant supersedes an earlier one of the same
/// incarnation.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Status {
    /// The instance answers pings.
    Alive,
    /// The instance answered neither a direct ping nor an indirect one.
    Suspect,
    /// The instance stayed suspect for longer than the suspicion time-out.
    Dead,
    /// The instance announced that it stops.
    Left,
}

/// An instance, its addresses and its status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Id of the instance.
    pub id: Arc<str>,
    /// Data centre in which the instance runs.
    pub data_centre: Arc<str>,
    /// Address at which the instance accepts requests of callers.
    pub caller_address: SocketAddr,
    /// Address at which the instance accepts messages of peers.
    pub peer_address: SocketAddr,
    /// Incarnation number, raised by the instance itself at each start and to refute a
    /// suspicion.
    pub incarnation: u64,
    /// Status in this incarnation.
    pub status: Status,
}

impl Member {
    /// Whether the instance counts as part of the fleet.
    pub fn is_present(&self) -> bool {
        matches!(self.status, Status::Alive | Status::Suspect)
    }

    /// Whether this view of the instance supersedes `other`.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.status) > (other.incarnation, other.status)
    }
}
