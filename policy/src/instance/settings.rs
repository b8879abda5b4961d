//! What an instance is told about itself.

use std::net::SocketAddr;

use model::world::Target;

use crate::membership::Member;

/// An instance's own identity.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Id, data centre, addresses and incarnation.
    pub own: Member,
    /// Seed of the instance's generator.
    pub seed: u64,
    /// Addresses of peers to ask while the platform's list is not known.
    pub seeds: Vec<SocketAddr>,
    /// Whether outcomes are reported to homes.
    pub shares_evidence: bool,
}

impl Settings {
    /// Settings of an instance that shares its evidence.
    pub fn new(own: Member, seed: u64) -> Self {
        Self {
            own,
            seed,
            seeds: Vec::new(),
            shares_evidence: true,
        }
    }
}

/// Whether two versions of a target can share their counters.
pub(super) fn same_load(a: &Target, b: &Target) -> bool {
    a.slots == b.slots && a.address == b.address
}
