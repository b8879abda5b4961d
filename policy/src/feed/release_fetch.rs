//! Getting a release from a peer, part by part.
//!
//! Releases that are too large for one message are read from the registry by each instance. The
//! registry may turn single instances away. Such an instance asks a peer that has the release for
//! its parts, a few at a time, and another peer if one does not answer. Usually the difference to
//! its own release is enough.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::Rng;
use rand::seq::IteratorRandom;

use super::Release;
use super::release_part::AddressedRequest;
use super::release_part::IncomingRelease;
use super::release_part::PartsRequest;
use super::release_part::ReleasePart;

/// Parts that a peer sends for one request.
pub const PARTS_PER_REQUEST: u32 = 2;
/// Time within which the registry, if it is reachable, is expected to deliver a release before
/// peers are asked for it, in microseconds.
const REGISTRY_TIME_US: u64 = 500_000;
/// Time after which the complete release is requested although the registry is reachable, in
/// microseconds: over a small link, the registry's answer takes over a second.
const COMPLETE_AFTER_US: u64 = 3_000_000;
/// Time without a part after which another peer is asked, in microseconds.
const PART_TIMEOUT_US: u64 = 500_000;

/// Whether and how the release can be read elsewhere.
#[derive(Clone, Copy, Debug)]
pub struct FetchTerms {
    /// Number of the release that was received last.
    pub own_number: u64,
    /// Whether the registry is reachable from this instance.
    pub is_registry_reachable: bool,
}

/// What follows a part.
#[derive(Debug, PartialEq)]
pub enum FetchStep {
    /// Nothing, or wait for further parts.
    Wait,
    /// Ask for the next parts.
    Request(AddressedRequest),
    /// The release is complete.
    Fetched {
        /// The release.
        release: Release,
        /// Number of parts that it took.
        parts: usize,
    },
    /// The parts do not fit the own release.
    Unusable,
}

#[derive(Debug)]
struct PendingFetch {
    from: Arc<str>,
    request: PartsRequest,
    /// When the fetch began or the last part was received.
    progress_us: u64,
    incoming: Option<IncomingRelease>,
}

/// Progress of getting a release from a peer.
#[derive(Debug, Default)]
pub struct ReleaseFetch {
    /// Peers that have a newer release, and its number.
    peers: BTreeMap<Arc<str>, u64>,
    behind_since_us: Option<u64>,
    pending: Option<PendingFetch>,
    /// Peer that was asked last and has not answered.
    unresponsive: Option<Arc<str>>,
    /// Whether a difference did not fit the own release.
    needs_complete: bool,
    /// Peers whose release was fetched and refused, and its number.
    refused: BTreeMap<Arc<str>, u64>,
}

impl ReleaseFetch {
    /// Records the number of the release in force at a peer.
    pub fn record_peer(&mut self, now_us: u64, peer: &Arc<str>, number: u64, own_number: u64) {
        let refused_number = self.refused.get(peer).copied().unwrap_or(0);
        if number > own_number.max(refused_number) {
            self.peers.insert(peer.clone(), number);
            self.behind_since_us.get_or_insert(now_us);
        }
    }

    /// Returns a request if it is time to ask a peer, or another one.
    pub fn next_request(
        &mut self,
        now_us: u64,
        terms: FetchTerms,
        is_present: impl Fn(&Arc<str>) -> bool,
        rng: &mut impl Rng,
    ) -> Option<AddressedRequest> {
        self.refused
            .retain(|peer, number| *number > terms.own_number && is_present(peer));
        self.peers
            .retain(|peer, number| *number > terms.own_number && is_present(peer));
        if self.peers.is_empty() {
            *self = Self {
                refused: std::mem::take(&mut self.refused),
                ..Self::default()
            };
            return None;
        }
        let behind_us = now_us.saturating_sub(*self.behind_since_us.get_or_insert(now_us));
        if terms.is_registry_reachable && behind_us < REGISTRY_TIME_US {
            return None;
        }
        if let Some(pending) = &self.pending {
            if now_us < pending.progress_us + PART_TIMEOUT_US {
                return None;
            }
            self.unresponsive = Some(pending.from.clone());
        }
        let newest = self.peers.values().max().copied()?;
        let others = self.peers.iter().filter(|(peer, number)| {
            **number == newest && Some(*peer) != self.unresponsive.as_ref()
        });
        let chosen = others.map(|(peer, _)| peer).choose(rng);
        let from = chosen.or_else(|| self.peers.keys().next())?.clone();
        let request = PartsRequest {
            base: match self.needs_complete {
                true => 0,
                false => terms.own_number,
            },
            number: 0,
            index: 0,
            accepts_complete: !terms.is_registry_reachable || behind_us >= COMPLETE_AFTER_US,
        };
        self.pending = Some(PendingFetch {
            from: from.clone(),
            request: request.clone(),
            progress_us: now_us,
            incoming: None,
        });
        Some(AddressedRequest { to: from, request })
    }

    /// Records a part and returns what follows; `own` is the release that was received last.
    pub fn record_part(
        &mut self,
        now_us: u64,
        from: &Arc<str>,
        part: ReleasePart,
        own: Option<&Release>,
    ) -> FetchStep {
        let Some(pending) = self
            .pending
            .as_mut()
            .filter(|pending| pending.from == *from)
        else {
            return FetchStep::Wait;
        };
        if part.number() <= own.map_or(0, |own| own.number) {
            return FetchStep::Wait;
        }
        pending.progress_us = now_us;
        let is_added = match &mut pending.incoming {
            Some(incoming) => incoming.add(part.clone()),
            None => false,
        };
        if !is_added {
            // The first part, or the peer has a newer release in the meantime.
            pending.incoming = IncomingRelease::new(part);
            pending.request.index = 0;
        }
        let Some(incoming) = &pending.incoming else {
            return FetchStep::Wait;
        };
        let Some(first_missing) = incoming.first_missing() else {
            return self.finish(own);
        };
        pending.request.number = incoming.number();
        if first_missing < pending.request.index + PARTS_PER_REQUEST {
            return FetchStep::Wait;
        }
        pending.request.index = first_missing;
        FetchStep::Request(AddressedRequest {
            to: from.clone(),
            request: pending.request.clone(),
        })
    }

    /// Records that the release of a peer was fetched and not applied, so that this peer is not asked
    /// for it again.
    pub fn record_refused(&mut self, peer: &Arc<str>, number: u64) {
        self.peers.remove(peer);
        self.refused.insert(peer.clone(), number);
    }

    fn finish(&mut self, own: Option<&Release>) -> FetchStep {
        let Some(incoming) = self.pending.take().and_then(|pending| pending.incoming) else {
            return FetchStep::Wait;
        };
        let parts = incoming.part_count();
        match incoming.finish(own) {
            Some(release) => FetchStep::Fetched { release, parts },
            None => {
                self.needs_complete = true;
                FetchStep::Unusable
            }
        }
    }
}
