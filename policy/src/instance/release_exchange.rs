//! Exchange of releases between peers, in parts, for instances that the registry turns away.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Action;
use super::Instance;
use super::LogEvent;
use super::Message;
use crate::feed::AddressedRequest;
use crate::feed::FetchStep;
use crate::feed::FetchTerms;
use crate::feed::PARTS_PER_REQUEST;
use crate::feed::PartsRequest;
use crate::feed::ReleasePart;

/// Maximum number of peers that get a release of several parts at the same time.
const MAX_TRANSFERS: usize = 2;
/// Time after the last request from which a transfer counts as ended, in microseconds.
const TRANSFER_TIMEOUT_US: u64 = 500_000;

/// The peers that are getting a release of several parts, and when they asked last.
#[derive(Debug, Default)]
pub(super) struct Transfers {
    asked_us: BTreeMap<Arc<str>, u64>,
}

impl Transfers {
    /// Begins or continues a transfer; returns `false` if there are too many others.
    fn take(&mut self, now_us: u64, peer: &Arc<str>) -> bool {
        self.asked_us
            .retain(|_, asked_us| now_us < *asked_us + TRANSFER_TIMEOUT_US);
        let may_take = self.asked_us.contains_key(peer) || self.asked_us.len() < MAX_TRANSFERS;
        if may_take {
            self.asked_us.insert(peer.clone(), now_us);
        }
        may_take
    }
}

impl Instance {
    /// Number of the last release that was received, which may be invalid; 0 if there is none.
    pub(super) fn received_release_number(&self) -> u64 {
        let received = self.registry_view.release_after(0);
        received.map_or(0, |release| release.number)
    }

    /// Asks a peer for a release that this instance lacks, if it is time to.
    pub(super) fn fetch_release(&mut self, now_us: u64) {
        let terms = FetchTerms {
            own_number: self.received_release_number(),
            is_registry_reachable: self.shared.table_freshness().is_source_reachable(),
        };
        let membership = &self.membership;
        let is_present = |peer: &Arc<str>| {
            let member = membership.get(peer);
            member.is_some_and(|member| member.is_present())
        };
        let request = self
            .release_fetch
            .next_request(now_us, terms, is_present, &mut self.rng);
        if let Some(request) = request {
            self.send_parts_request(now_us, request);
        }
    }

    fn send_parts_request(&mut self, now_us: u64, request: AddressedRequest) {
        let AddressedRequest { to, request } = request;
        self.send(now_us, &to, Message::PullRelease(request));
    }

    /// Sends a peer the requested parts of the release in force.
    pub(super) fn send_release_parts(
        &mut self,
        now_us: u64,
        to: &Arc<str>,
        request: &PartsRequest,
    ) {
        let in_force = self.note_log.number();
        let newer = self.registry_view.release_after(request.base);
        let Some(release) = newer.filter(|release| release.number == in_force) else {
            return;
        };
        let delta = match request.base {
            0 => None,
            base => self.release_history.since(base),
        };
        if delta.is_none() && !request.accepts_complete {
            return;
        }
        let first = match request.number == release.number {
            true => request.index,
            false => 0,
        };
        let part = |index: u32| match &delta {
            Some(delta) => ReleasePart::of_delta(delta, release, index),
            None => ReleasePart::of_release(release, index),
        };
        let is_single = part(1).is_none();
        let parts: Vec<ReleasePart> = (first..first.saturating_add(PARTS_PER_REQUEST))
            .filter_map(part)
            .collect();
        if !is_single && !self.transfers.take(now_us, to) {
            return;
        }
        for part in parts {
            self.send(now_us, to, Message::ReleasePart(Box::new(part)));
        }
    }

    /// Records a part of a release, and applies the release if it is complete.
    pub(super) fn handle_release_part(&mut self, now_us: u64, from: &Arc<str>, part: ReleasePart) {
        let own = self.registry_view.release_after(0);
        match self.release_fetch.record_part(now_us, from, part, own) {
            FetchStep::Wait => {}
            FetchStep::Request(request) => self.send_parts_request(now_us, request),
            FetchStep::Fetched { release, parts } => {
                self.actions.push(Action::Log(LogEvent::ReleaseFetched {
                    number: release.number,
                    own_number: self.received_release_number(),
                    from: from.clone(),
                    parts,
                }));
                let number = release.number;
                if !self.apply_peer_release(release) {
                    self.release_fetch.record_refused(from, number);
                }
            }
            FetchStep::Unusable => self.fetch_release(now_us),
        }
    }
}
