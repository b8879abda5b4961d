//! Applying releases and target changes of a registry, and distributing them to peers.

use std::sync::Arc;

use model::Configuration;
use model::Note;
use model::configuration::Target;

use super::Action;
use super::Instance;
use super::LogEvent;
use super::Message;
use super::RegistryPart;
use super::RegistryUpdate;
use super::messages::MICROS_PER_MILLI;
use super::settings::EvidenceSharing;
use super::table_builder::RetryReserve;
use crate::feed::ApplyResult;
use crate::feed::CatchUpStep;
use crate::feed::ChangeSource;
use crate::feed::EntryChanges;
use crate::feed::KnownVersions;
use crate::feed::Release;
use crate::feed::ReleaseDelta;
use crate::notes::IdRange;
use crate::routing::ChoiceStrategy;

/// Maximum routes of a release that is sent to peers as a whole. Each instance reads a larger
/// release from the registry itself, since a message of a megabyte would delay alerts. An instance
/// that cannot gets it from a peer in parts; one without any release gets it as a whole too.
const MAX_BROADCAST_ROUTES: usize = 100;
/// Maximum customers of such a release.
const MAX_BROADCAST_CUSTOMERS: usize = 500;

impl Instance {
    /// Applies an update read from the registry and broadcasts it if it is new.
    pub(super) fn handle_registry_update(&mut self, now_us: u64, update: RegistryUpdate) {
        match update {
            RegistryUpdate::Release(release) => {
                if self.registry_view.apply_release(release.clone()) {
                    let ids = self.other_ids();
                    self.broadcast_release(now_us, &release, &ids);
                }
            }
            RegistryUpdate::Targets { revision, targets } => {
                let is_first = !self.registry_view.is_listed();
                let after = self.registry_view.targets_changed();
                let complete_to = self.registry_view.targets_revision();
                let entries = self.registry_view.apply_list(
                    now_us,
                    revision,
                    targets,
                    ChangeSource::Registry,
                );
                self.log_retained_targets(now_us, None);
                if !is_first && !entries.is_empty() {
                    self.broadcast_new_entries(
                        now_us,
                        EntryChanges {
                            after,
                            revision,
                            complete_to,
                            entries,
                            retain_ms: 0,
                        },
                    );
                }
            }
            RegistryUpdate::Entries(changes) => {
                let after = self.registry_view.targets_changed();
                match self.registry_view.apply_changes(
                    now_us,
                    changes.clone(),
                    ChangeSource::Registry,
                ) {
                    ApplyResult::Taken => {
                        self.log_retained_targets(now_us, None);
                        self.broadcast_new_entries(now_us, EntryChanges { after, ..changes });
                    }
                    ApplyResult::Gap => self.actions.push(Action::Reread(RegistryPart::Targets)),
                    ApplyResult::Old | ApplyResult::Shortened => {}
                }
            }
            // Reachability does not affect the configuration.
            RegistryUpdate::Reachable(reachable) => {
                return self.record_registry_reachability(now_us, reachable);
            }
        }
        self.apply_registry_view();
        self.update_readiness();
    }

    pub(super) fn tick_registry(&mut self, now_us: u64) {
        self.update_watch_role(now_us);
        self.refresh_stale_view(now_us);
        self.broadcast_pending_answer(now_us);
        if let Some((peer, known_versions)) = self.peer_ahead.take() {
            self.catch_up_with_peer(now_us, &peer, known_versions);
        }
        self.update_isolation(now_us);
        self.fetch_release(now_us);
        self.registry_view.tick(now_us);
        if self.registry_view.take_reread(now_us) {
            self.actions.push(Action::Reread(RegistryPart::Targets));
        }
        self.apply_registry_view();
    }

    /// Catches up with a peer that is ahead, unless the watchers' broadcast arrives first.
    pub(super) fn catch_up_with_peer(&mut self, now_us: u64, from: &Arc<str>, peer: KnownVersions) {
        let own = self.known_versions();
        if !own.covers(peer) {
            self.peer_ahead = Some((from.clone(), peer));
        }
        self.newest_peer_release = self.newest_peer_release.max(peer.release);
        self.update_lack_of_release();
        let received_number = self.received_release_number();
        self.release_fetch
            .record_peer(now_us, from, peer.release, received_number);
        if self.must_read_release(peer.release)
            && self.lag.record_unsent_release(now_us, peer.release)
        {
            self.reread_release(peer.release);
        }
        let catch_up_step = self.lag.record_peer_versions(now_us, own, peer);
        self.apply_catch_up_step(now_us, from, catch_up_step);
    }

    /// Versions of the release and the targets that this instance has.
    pub(super) fn known_versions(&self) -> KnownVersions {
        KnownVersions {
            release: self.note_log.number(),
            targets: self.registry_view.targets_revision(),
        }
    }

    fn apply_catch_up_step(&mut self, now_us: u64, from: &Arc<str>, catch_up_step: CatchUpStep) {
        match catch_up_step {
            CatchUpStep::Wait => {}
            CatchUpStep::AskPeer => self.request_catch_up(now_us, from),
            CatchUpStep::Read { release, targets } => {
                // The registry may be unreachable from here, and the first peer's answer
                // may have been lost.
                self.request_catch_up(now_us, from);
                if let Some(number) = release
                    && !self.must_read_release(number)
                {
                    self.reread_release(number);
                }
                if targets {
                    self.actions.push(Action::Reread(RegistryPart::Targets));
                }
            }
        }
    }

    /// Whether release `number` has to be read from the registry at once: it is probably as large as
    /// the current one, so that peers do not send it, and this instance holds no watch.
    fn must_read_release(&self, number: u64) -> bool {
        let current = self.registry_view.release_after(0);
        let is_unsent =
            current.is_some_and(|current| current.number < number && !is_broadcast(current));
        is_unsent && !self.shared.watch_role().is_watcher()
    }

    fn reread_release(&mut self, number: u64) {
        let part = RegistryPart::NewerRelease(number);
        self.actions.push(Action::Reread(part));
    }

    fn request_catch_up(&mut self, now_us: u64, peer: &Arc<str>) {
        let targets = self.registry_view.is_listed();
        let message = Message::CatchUp {
            release: self.note_log.number(),
            targets: targets.then(|| self.registry_view.targets_revision()),
        };
        self.send(now_us, peer, message);
    }

    /// Sends a peer the updates that it is missing, as far as this instance has them.
    pub(super) fn send_missing_updates(
        &mut self,
        now_us: u64,
        to: &Arc<str>,
        release: u64,
        targets: Option<u64>,
    ) {
        let is_small = |found: &&Release| release == 0 || is_broadcast(found);
        let found = self.registry_view.release_after(release).filter(is_small);
        if let Some(release) = found.cloned() {
            self.send(now_us, to, release_message(release, None));
        }
        let revision = self.registry_view.targets_revision();
        let missed =
            targets.and_then(|after| Some((after, self.registry_view.changes_after(after)?)));
        if let Some((after, missed)) = missed {
            let retain_us = self
                .registry_view
                .longest_retention_us(now_us, &missed.entries);
            let changes = EntryChanges {
                after,
                revision,
                complete_to: missed.complete_to.min(revision),
                entries: missed.entries,
                retain_ms: retain_us / MICROS_PER_MILLI,
            };
            self.send(
                now_us,
                to,
                Message::Entries {
                    changes,
                    id_range: None,
                },
            );
        } else if let Some(targets) = self.registry_view.list() {
            self.send(now_us, to, Message::Targets { revision, targets });
        }
    }

    /// Applies a peer's list of all targets.
    pub(super) fn handle_targets(
        &mut self,
        now_us: u64,
        from: &Arc<str>,
        revision: u64,
        targets: Vec<Target>,
    ) {
        self.registry_view
            .apply_list(now_us, revision, targets, ChangeSource::PeerList);
        self.log_retained_targets(now_us, Some(from));
        self.apply_registry_view();
    }

    /// Applies and forwards a release that a watcher has broadcast.
    pub(super) fn handle_release(
        &mut self,
        now_us: u64,
        release: Release,
        id_range: Option<&IdRange>,
    ) {
        if let Some(id_range) = id_range {
            let ids = id_range.select_ids(&self.other_ids());
            self.broadcast_release(now_us, &release, &ids);
        }
        self.apply_peer_release(release);
    }

    /// Applies a release that a peer has sent. Returns `false` if it is refused, as it would admit
    /// every caller.
    pub(super) fn apply_peer_release(&mut self, release: Release) -> bool {
        let view = &self.registry_view;
        let is_newer = view
            .release_after(release.number.saturating_sub(1))
            .is_none();
        if is_newer && release.customers.is_none() && view.requires_keys() {
            // The release may have passed an instance of a former version, which ignores customers.
            // The registry's copy tells whether it has any.
            self.actions.push(Action::Reread(RegistryPart::Release));
            return false;
        }
        if self.registry_view.apply_release(release) {
            self.apply_registry_view();
        }
        true
    }

    /// Applies and forwards target changes that a watcher has broadcast.
    pub(super) fn handle_entries(
        &mut self,
        now_us: u64,
        from: &Arc<str>,
        changes: EntryChanges,
        id_range: Option<&IdRange>,
    ) {
        if let Some(id_range) = id_range {
            let ids = id_range.select_ids(&self.other_ids());
            self.broadcast_entries(now_us, &changes, &ids);
        }
        let source = ChangeSource::Peer {
            retain_us: changes.retain_ms.saturating_mul(MICROS_PER_MILLI),
        };
        let revision = changes.revision;
        match self.registry_view.apply_changes(now_us, changes, source) {
            ApplyResult::Taken => {
                self.log_retained_targets(now_us, Some(from));
                self.apply_registry_view();
            }
            ApplyResult::Shortened => self.apply_registry_view(),
            ApplyResult::Old => {}
            ApplyResult::Gap => {
                let own = self.known_versions();
                let peer = KnownVersions {
                    targets: revision,
                    ..own
                };
                let catch_up_step = self.lag.record_gap(now_us, own, peer);
                self.apply_catch_up_step(now_us, from, catch_up_step);
            }
        }
    }

    /// Broadcasts target changes. Their base is the revision of the last change, which the
    /// other instances have, not that of the last read.
    fn broadcast_new_entries(&mut self, now_us: u64, changes: EntryChanges) {
        let retain_us = self
            .registry_view
            .longest_retention_us(now_us, &changes.entries);
        let changes = EntryChanges {
            retain_ms: retain_us / MICROS_PER_MILLI,
            ..changes
        };
        let ids = self.other_ids();
        self.broadcast_entries(now_us, &changes, &ids);
    }

    /// Logs which targets are retained although their entries were removed, and which
    /// instance sent the change.
    fn log_retained_targets(&mut self, now_us: u64, from: Option<&Arc<str>>) {
        let by = from.unwrap_or(&self.membership.own().id).clone();
        for retained in self.registry_view.take_retained() {
            let for_us = retained.until_us.saturating_sub(now_us);
            self.actions.push(Action::Log(LogEvent::TargetsRetained {
                targets: retained.targets,
                for_ms: for_us / MICROS_PER_MILLI,
                reason: retained.reason,
                by: by.clone(),
            }));
        }
    }

    fn broadcast_release(&mut self, now_us: u64, release: &Release, ids: &[Arc<str>]) {
        if !is_broadcast(release) {
            return;
        }
        for (to, id_range) in crate::notes::partition_receivers(ids, &mut self.rng) {
            let release = release.clone();
            self.send(now_us, &to, release_message(release, id_range));
        }
    }

    fn broadcast_entries(&mut self, now_us: u64, changes: &EntryChanges, ids: &[Arc<str>]) {
        for (to, id_range) in crate::notes::partition_receivers(ids, &mut self.rng) {
            let changes = changes.clone();
            self.send(now_us, &to, Message::Entries { changes, id_range });
        }
    }

    /// Updates the configuration in force to match the registry view.
    pub(super) fn apply_registry_view(&mut self) {
        self.apply_view_changes();
        self.update_lack_of_release();
    }

    /// Records whether a release is in force at a peer, or was received and is invalid, that is newer
    /// than the own one.
    fn update_lack_of_release(&mut self) {
        let own_number = self.note_log.number();
        let newest_number = self.newest_peer_release.max(self.received_release_number());
        let is_superseded = newest_number > own_number;
        let table_freshness = self.shared.table_freshness();
        if table_freshness.set_lacks_release(is_superseded) != is_superseded {
            self.actions.push(Action::Log(LogEvent::ReleaseSuperseded {
                is_superseded,
                own_number,
                newest_number,
            }));
        }
    }

    /// Records whether this instance, which has had peers, hears neither from them nor from the
    /// registry: a newer release may be in force elsewhere.
    fn update_isolation(&mut self, now_us: u64) {
        let table_freshness = self.shared.table_freshness();
        let has_had_peers = self.last_message_us > 0;
        let is_isolated = has_had_peers
            && self.are_peers_silent(now_us)
            && !table_freshness.is_source_reachable();
        if table_freshness.set_isolated(is_isolated) != is_isolated {
            self.actions
                .push(Action::Log(LogEvent::Isolated(is_isolated)));
        }
    }

    fn apply_view_changes(&mut self) {
        let Some((mut number, mut change)) =
            self.registry_view.change(self.note_log.configuration())
        else {
            return;
        };
        self.prepare_tables();
        let base = self.note_log.configuration().clone();
        self.shared
            .set_idle_limit_ms(self.registry_view.idle_limit_ms().unwrap_or(0));
        if let Err(error) = self.note_log.apply_change(number, &change) {
            if std::mem::replace(&mut self.logged_invalid_release, number) != number {
                let reason = error.to_string();
                self.actions
                    .push(Action::Log(LogEvent::NoteVoid { number, reason }));
            }
            // Leaving targets are removed without waiting for a valid release.
            number = self.note_log.number();
            change = targets_only(&change, self.note_log.configuration());
            if change.targets.is_empty() || self.note_log.apply_change(number, &change).is_err() {
                return;
            }
        }
        self.record_release_change(&base, number, &change);
        let has_new_number = number > self.routing_table.configuration.number;
        let put = change.targets.add.iter().chain(&change.targets.change);
        let put: Vec<Arc<str>> = put.map(|target| target.name.clone()).collect();
        let withdrawn = change.targets.withdraw.clone();
        self.rebuild_for_change(&change);
        if has_new_number {
            self.actions
                .push(Action::Log(LogEvent::NoteInForce { number }));
        }
        if !put.is_empty() || !withdrawn.is_empty() {
            self.actions
                .push(Action::Log(LogEvent::TargetsInForce { put, withdrawn }));
        }
    }

    /// Stores the difference between two releases in force, for peers that have the earlier one.
    fn record_release_change(&mut self, base: &Configuration, number: u64, change: &Note) {
        let Some(release) = self.registry_view.release_after(0) else {
            return;
        };
        if base.number > 0 && number > base.number && number == release.number {
            let delta = ReleaseDelta::new(base, change, release);
            self.release_history.add(delta);
        } else if change.keys_required.is_some() {
            self.release_history.clear();
        }
    }

    /// Sets the parameters with which routing tables are built.
    fn prepare_tables(&mut self) {
        if self.evidence == EvidenceSharing::Alerts {
            self.table_builder.choice_strategy = ChoiceStrategy::FailureProbability;
        }
        self.table_builder.retry_reserve = match (self.shared_retry_reserve, self.is_first_start) {
            (None, _) => RetryReserve::Own,
            (Some(_), false) => RetryReserve::Shared,
            (Some(_), true) => RetryReserve::SharedUnspent,
        };
    }
}

/// Whether a release is small enough to be sent to the peers.
fn is_broadcast(release: &Release) -> bool {
    let customers = release.customers.as_ref().map_or(0, Vec::len);
    release.routes.len() <= MAX_BROADCAST_ROUTES && customers <= MAX_BROADCAST_CUSTOMERS
}

fn release_message(release: Release, id_range: Option<IdRange>) -> Message {
    match release.access() {
        None => Message::Release { release, id_range },
        Some(access) => Message::ReleaseWithAccess {
            release: Box::new(release),
            access: Box::new(access),
            id_range,
        },
    }
}

/// Reduces a change to the targets of services that `configuration` contains.
fn targets_only(change: &Note, configuration: &Configuration) -> Note {
    let mut targets = change.targets.clone();
    let is_served = |target: &Target| configuration.services.contains_key(&target.service);
    targets.add.retain(is_served);
    targets.change.retain(is_served);
    Note {
        title: change.title.clone(),
        targets,
        ..Note::default()
    }
}
