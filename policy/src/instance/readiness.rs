//! When a new instance may take requests.
//!
//! It must hold the highest note that it could hear of: from the platform or,
//! with the platform away, from a peer in every data centre that has one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::feed::RegistryView;
use crate::membership::Membership;

/// What an instance has heard while it starts.
#[derive(Debug, Default)]
pub(super) struct Readiness {
    ready: bool,
    platform_says: Option<u64>,
    platform_away: bool,
    heard: BTreeMap<Arc<str>, u64>,
}

impl Readiness {
    pub(super) fn is_ready(&self) -> bool {
        self.ready
    }

    /// The platform holds notes up to `number`.
    pub(super) fn platform_at(&mut self, number: u64) {
        self.platform_says = Some(number);
        self.platform_away = false;
    }

    /// The platform does not answer.
    pub(super) fn platform_away(&mut self) {
        self.platform_away = true;
    }

    /// A peer holds note `number`.
    pub(super) fn heard(&mut self, peer: &Arc<str>, number: u64) {
        if !self.ready {
            self.heard.insert(peer.clone(), number);
        }
    }

    /// Decides; true at the moment at which the instance becomes ready.
    pub(super) fn decide(&mut self, own_number: u64, membership: &Membership) -> bool {
        if self.ready {
            return false;
        }
        let highest = self.heard.values().max().copied().unwrap_or(0);
        let from_platform = self
            .platform_says
            .is_some_and(|number| own_number >= number);
        let from_peers = self.platform_away && own_number > 0 && self.heard_everywhere(membership);
        self.ready = own_number >= highest && (from_platform || from_peers);
        if self.ready {
            self.heard.clear();
        }
        self.ready
    }

    /// Decides by what a registry has told; true as above.
    pub(super) fn decide_by_feed(&mut self, feed: &RegistryView) -> bool {
        let becomes_ready = !self.ready && feed.is_complete();
        self.ready |= becomes_ready;
        becomes_ready
    }

    fn heard_everywhere(&self, membership: &Membership) -> bool {
        let own = &membership.own().id;
        let peers = || membership.present().filter(|member| member.id != *own);
        let wanted: BTreeSet<_> = peers().map(|member| &member.data_centre).collect();
        let covered: BTreeSet<_> = peers()
            .filter(|member| self.heard.contains_key(&member.id))
            .map(|member| &member.data_centre)
            .collect();
        !wanted.is_empty() && covered == wanted
    }
}
