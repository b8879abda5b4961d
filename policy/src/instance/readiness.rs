//! Readiness of a starting instance.
//!
//! An instance accepts requests once it has the latest note that it can learn of: from the
//! platform or, if the platform is unreachable, from one peer in every data centre that
//! has peers. Where a registry provides the configuration, it accepts them once its view of
//! the registry is complete.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::feed::RegistryView;
use crate::membership::Membership;

/// Note numbers received during start-up.
#[derive(Debug, Default)]
pub(super) struct Readiness {
    is_ready: bool,
    platform_number: Option<u64>,
    is_platform_unreachable: bool,
    peer_numbers: BTreeMap<Arc<str>, u64>,
}

impl Readiness {
    pub(super) fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Records that the platform's latest note is `number`.
    pub(super) fn record_platform_number(&mut self, number: u64) {
        self.platform_number = Some(number);
        self.is_platform_unreachable = false;
    }

    /// Records that the platform does not answer.
    pub(super) fn record_platform_unreachable(&mut self) {
        self.is_platform_unreachable = true;
    }

    /// Records the number of a peer's latest note.
    pub(super) fn record_peer_number(&mut self, peer: &Arc<str>, number: u64) {
        if !self.is_ready {
            self.peer_numbers.insert(peer.clone(), number);
        }
    }

    /// Re-evaluates readiness. Returns `true` only when the instance becomes ready.
    pub(super) fn update(&mut self, own_number: u64, membership: &Membership) -> bool {
        if self.is_ready {
            return false;
        }
        let highest = self.peer_numbers.values().max().copied().unwrap_or(0);
        let from_platform = self
            .platform_number
            .is_some_and(|number| own_number >= number);
        let from_peers = self.is_platform_unreachable
            && own_number > 0
            && self.covers_every_data_centre(membership);
        self.is_ready = own_number >= highest && (from_platform || from_peers);
        if self.is_ready {
            self.peer_numbers.clear();
        }
        self.is_ready
    }

    /// Re-evaluates readiness where a registry provides the configuration. Returns `true`
    /// only when the instance becomes ready.
    pub(super) fn update_by_registry(&mut self, view: &RegistryView) -> bool {
        let becomes_ready = !self.is_ready && view.is_complete();
        self.is_ready |= becomes_ready;
        becomes_ready
    }

    fn covers_every_data_centre(&self, membership: &Membership) -> bool {
        let own = &membership.own().id;
        let peers = || membership.present().filter(|member| member.id != *own);
        let expected: BTreeSet<_> = peers().map(|member| &member.data_centre).collect();
        let covered: BTreeSet<_> = peers()
            .filter(|member| self.peer_numbers.contains_key(&member.id))
            .map(|member| &member.data_centre)
            .collect();
        !expected.is_empty() && covered == expected
    }
}
