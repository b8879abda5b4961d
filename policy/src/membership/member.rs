//! One instance as another one sees it.

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Whether an instance takes part.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Status {
    /// It answers.
    Alive,
    /// It did not answer directly or through others.
    Suspect,
    /// It stayed suspect for too long.
    Dead,
    /// It has announced that it stops.
    Left,
}

/// An instance, its addresses and its status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance's id.
    pub id: Arc<str>,
    /// Data centre that it runs in.
    pub data_centre: Arc<str>,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Raised by the instance itself at each start and to refute a suspicion.
    pub incarnation: u64,
    /// Status in that incarnation.
    pub status: Status,
}

impl Member {
    /// Whether the instance is to be counted on.
    pub fn is_present(&self) -> bool {
        matches!(self.status, Status::Alive | Status::Suspect)
    }

    /// Whether this view replaces `other`.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.status) > (other.incarnation, other.status)
    }
}
