//! Settings of an instance.

use std::net::SocketAddr;

use model::configuration::Target;

use crate::membership::Member;
use crate::routing::DEFAULT_DEPARTURE_LIMIT_US;

/// Identity and modes of an instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Id, data centre, addresses and incarnation.
    pub own: Member,
    /// Seed of the instance's random number generator.
    pub seed: u64,
    /// Addresses of peers to contact while the platform's member list is not available.
    pub seeds: Vec<SocketAddr>,
    /// How instances learn which targets fail.
    pub evidence: EvidenceSharing,
    /// Where the configuration and the targets come from.
    pub source: ConfigurationSource,
    /// Retries to a service that all instances together may make in ten seconds in addition
    /// to the share of first attempts; if `None`, each instance has its own reserve.
    pub shared_retry_reserve: Option<f64>,
    /// Whether the fleet starts for the first time, so that no instance had a process before.
    pub is_first_start: bool,
    /// Time for which a target takes requests after it has said that it leaves, in microseconds.
    pub departure_limit_us: u64,
}

/// How instances learn which targets fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvidenceSharing {
    /// Each instance uses the outcomes of its own requests only.
    Alone,
    /// Owners evaluate the outcome counts reported by all instances.
    Owners,
    /// Each instance immediately broadcasts outcomes that change a target's failure
    /// probability.
    Alerts,
}

/// Where the configuration and the targets come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigurationSource {
    /// Release notes in the platform's key-value service.
    Notes,
    /// A registry that stores the complete configuration and one entry per target.
    Registry,
}

impl Settings {
    /// Returns settings with evidence evaluated by owners and notes as the source.
    pub fn new(own: Member, seed: u64) -> Self {
        Self {
            own,
            seed,
            seeds: Vec::new(),
            evidence: EvidenceSharing::Owners,
            source: ConfigurationSource::Notes,
            shared_retry_reserve: None,
            is_first_start: false,
            departure_limit_us: DEFAULT_DEPARTURE_LIMIT_US,
        }
    }
}

/// Whether two versions of a target can share their load counters.
pub(super) fn can_share_load(a: &Target, b: &Target) -> bool {
    a.slots == b.slots && a.address == b.address && a.incarnation == b.incarnation
}
