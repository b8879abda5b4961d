//! Limits the age of every instance's view of a registry.
//!
//! A few instances, the watchers, watch the registry for all and broadcast that it answers.
//! If an instance receives no such broadcast for too long, it may read the registry itself.

use std::sync::Arc;

use rand::RngExt;
use rand::seq::IndexedRandom;

use super::Action;
use super::Instance;
use super::LogEvent;
use super::Message;
use super::RegistryPart;
use super::members::GOSSIP_PING_SEQUENCE;
use super::messages::MICROS_PER_MILLI;
use crate::feed::KnownVersions;
use crate::notes::IdRange;

/// Minimum time between two broadcasts that the registry answers, in microseconds: with
/// each watcher probing the registry once a second, views of all instances are less than
/// 1 s old.
const ANSWER_BROADCAST_PERIOD_US: u64 = 400_000;
/// View age above which instances other than the watchers read the registry, in
/// microseconds: together with a tick, the call and the broadcast it stays under the
/// bounds on leaving targets and new configurations.
const STALE_VIEW_AGE_US: u64 = 900_000;
/// Expected number of instances that do so per tick. It gives at least one in 98 of 100
/// ticks for any fleet size, and few calls while the registry is unreachable.
const FALLBACK_READS_PER_TICK: f64 = 4.0;
/// Peers that an instance with a stale view pings per tick.
const PEERS_PINGED_PER_TICK: usize = 2;
/// Member lists that have to be read before they are expected to include all instances that
/// started together.
const MEMBER_LISTS_REQUIRED: u32 = 2;
/// Time after the start from which an instance that could not read these lists may watch the
/// registry anyway, in microseconds.
const MEMBER_LISTS_TIMEOUT_US: u64 = 5_000_000;

impl Instance {
    /// Records whether the registry answers this instance.
    pub(super) fn record_registry_reachability(&mut self, now_us: u64, reachable: bool) {
        if self.shared.table_freshness().is_source_reachable() != reachable {
            self.shared
                .table_freshness()
                .set_source_reachable(reachable);
            self.actions
                .push(Action::Log(LogEvent::RegistryReachable(reachable)));
        }
        if !reachable {
            return;
        }
        self.registry_view.record_answer(now_us);
        self.has_unsent_registry_answer = true;
    }

    /// Broadcasts that the registry answers, unless there was such a broadcast recently.
    /// Called on ticks, so that the contents of the answer have been applied here first.
    pub(super) fn broadcast_pending_answer(&mut self, now_us: u64) {
        if std::mem::take(&mut self.has_unsent_registry_answer)
            && now_us >= self.next_answer_broadcast_us
        {
            let ids = self.other_ids();
            self.broadcast_answers(now_us, &ids);
        }
    }

    /// Records the age of a peer's view, if this instance has reached the peer's versions.
    pub(super) fn record_view_age(
        &mut self,
        now_us: u64,
        peer: KnownVersions,
        age_ms: Option<u64>,
    ) {
        if let Some(age_ms) = age_ms
            && self.known_versions().covers(peer)
        {
            let age_us = age_ms.saturating_mul(MICROS_PER_MILLI);
            self.registry_view
                .record_answer(now_us.saturating_sub(age_us));
        }
    }

    /// Forwards the broadcast that the registry has answered another instance.
    pub(super) fn handle_registry_answers(&mut self, now_us: u64, id_range: Option<&IdRange>) {
        self.next_answer_broadcast_us = now_us + ANSWER_BROADCAST_PERIOD_US;
        if let Some(id_range) = id_range {
            let ids = id_range.select_ids(&self.other_ids());
            self.broadcast_answers(now_us, &ids);
        }
    }

    fn broadcast_answers(&mut self, now_us: u64, ids: &[Arc<str>]) {
        self.next_answer_broadcast_us = now_us + ANSWER_BROADCAST_PERIOD_US;
        for (to, id_range) in crate::notes::partition_receivers(ids, &mut self.rng) {
            self.send(now_us, &to, Message::RegistryAnswers { id_range });
        }
    }

    /// Sets the role of the task that follows the registry. Instances that start together
    /// find each other in the second member list; until then none of them can determine
    /// whether it is a watcher.
    pub(super) fn update_watch_role(&mut self, now_us: u64) {
        let must_watch = self.is_watcher && self.is_membership_known(now_us);
        if self.shared.watch_role().replace(must_watch) != must_watch && must_watch {
            self.reread_all();
        }
    }

    fn is_membership_known(&self, now_us: u64) -> bool {
        self.member_lists_received >= MEMBER_LISTS_REQUIRED || now_us >= MEMBER_LISTS_TIMEOUT_US
    }

    fn reread_all(&mut self) {
        self.actions.push(Action::Reread(RegistryPart::Release));
        self.actions.push(Action::Reread(RegistryPart::Targets));
    }

    /// Pings peers and, on a few instances, reads the registry if the view is too old: all
    /// watchers may be dead or cut off from the registry, or an instance that forwards their
    /// broadcasts may be dead. Failure detection of instances takes longer to notice this.
    pub(super) fn refresh_stale_view(&mut self, now_us: u64) {
        let Some(age_us) = self.registry_view.view_age_us(now_us) else {
            return;
        };
        let is_needed = age_us > STALE_VIEW_AGE_US && self.is_membership_known(now_us);
        if !is_needed || self.shared.watch_role().is_watcher() {
            return;
        }
        let others = self.peer_ids.sample(&mut self.rng, PEERS_PINGED_PER_TICK);
        let others: Vec<Arc<str>> = others.cloned().collect();
        for id in others {
            let sequence = GOSSIP_PING_SEQUENCE;
            self.send(now_us, &id, Message::Ping { sequence });
        }
        let probability = FALLBACK_READS_PER_TICK / (self.peer_ids.len() + 1) as f64;
        if self.rng.random_bool(probability.min(1.0)) {
            let view_age_ms = age_us / MICROS_PER_MILLI;
            self.actions
                .push(Action::Log(LogEvent::WatchTakenOver { view_age_ms }));
            self.reread_all();
        }
    }
}
