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
    /// How instances learn which targets fail.
    pub evidence: EvidenceSharing,
    /// Where the configuration and the targets come from.
    pub source: WorldSource,
    /// Retries to a service that all instances together may make at once,
    /// beside the share of fresh requests; each has its own reserve if absent.
    pub shared_retry_reserve: Option<f64>,
}

/// How instances learn which targets fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvidenceSharing {
    /// Each by its own requests.
    Alone,
    /// Homes weigh the counted outcomes of all.
    Owners,
    /// Each tells all others at once what speaks for or against a target.
    Alerts,
}

/// Where the configuration and the targets come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorldSource {
    /// Release notes in the platform's key-value service.
    Notes,
    /// A registry that holds a whole configuration and each target's entry.
    Registry,
}

impl Settings {
    /// Settings of an instance that shares its evidence.
    pub fn new(own: Member, seed: u64) -> Self {
        Self {
            own,
            seed,
            seeds: Vec::new(),
            evidence: EvidenceSharing::Owners,
            source: WorldSource::Notes,
            shared_retry_reserve: None,
        }
    }
}

/// Whether two versions of a target can share their counters.
pub(super) fn same_load(a: &Target, b: &Target) -> bool {
    a.slots == b.slots && a.address == b.address && a.incarnation == b.incarnation
}
