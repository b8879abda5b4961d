//! Keeping the view of a registry young on all instances.
//!
//! A few instances watch for all. They tell the others that the registry answers;
//! where that is not heard, others read it in their place.

use std::sync::Arc;

use rand::RngExt;
use rand::seq::IndexedRandom;

use super::Action;
use super::Instance;
use super::LogEvent;
use super::Message;
use super::RegistryPart;
use super::members::NEWS_PING;
use super::messages::MICROS_PER_MILLI;
use crate::feed::KnownVersions;
use crate::notes::IdRange;

/// Time between two tellings to all that the registry answers, in microseconds: with a
/// probe each second by each watcher, views of all instances are less than 1 s old.
const ANSWERS_PERIOD_US: u64 = 400_000;
/// Time without news of an answer from which others than the watchers read the
/// registry, in microseconds: with a tick, the call and the way to all instances under
/// the bounds on leaving targets and new configurations.
const SILENT_US: u64 = 900_000;
/// Instances that do so in one tick of all: one at least in 98 of 100 ticks, however
/// large the fleet, and few calls while the registry is away.
const STAND_INS: f64 = 4.0;
/// Others that an instance asks in a tick of such a time.
const ASKED_IN_SILENCE: usize = 2;
/// Readings of the instances after which all that started together are known.
const LOOKS_TO_KNOW: u32 = 2;
/// Time after a start from which an instance that could not read them watches all
/// the same, in microseconds.
const ALONE_US: u64 = 5_000_000;

impl Instance {
    /// Takes in whether the registry answers this instance.
    pub(super) fn registry_reachable(&mut self, now_us: u64, reachable: bool) {
        if self.shared.table_freshness().is_certain() != reachable {
            self.shared.table_freshness().source_reachable(reachable);
            self.actions
                .push(Action::Log(LogEvent::RegistryReachable(reachable)));
        }
        if !reachable {
            return;
        }
        self.feed.answered(now_us);
        self.has_answer_to_tell = true;
    }

    /// Tells all others that the registry answers, unless they have just heard so, and
    /// only once what it answered is known here.
    pub(super) fn tell_answer(&mut self, now_us: u64) {
        if std::mem::take(&mut self.has_answer_to_tell) && now_us >= self.next_answers_us {
            let ids = self.other_ids();
            self.spread_answers(now_us, &ids);
        }
    }

    /// Takes in how old a peer's view is, if this instance knows all that the peer does.
    pub(super) fn take_view_age(&mut self, now_us: u64, peer: KnownVersions, age_ms: Option<u64>) {
        if let Some(age_ms) = age_ms
            && self.known_versions().covers(peer)
        {
            let age_us = age_ms.saturating_mul(MICROS_PER_MILLI);
            self.feed.answered(now_us.saturating_sub(age_us));
        }
    }

    /// Takes in that the registry has answered another instance.
    pub(super) fn answers_spread(&mut self, now_us: u64, span: Option<&IdRange>) {
        self.next_answers_us = now_us + ANSWERS_PERIOD_US;
        if let Some(span) = span {
            let ids = span.cut(&self.other_ids());
            self.spread_answers(now_us, &ids);
        }
    }

    fn spread_answers(&mut self, now_us: u64, ids: &[Arc<str>]) {
        self.next_answers_us = now_us + ANSWERS_PERIOD_US;
        for (to, span) in crate::notes::split(ids, &mut self.rng) {
            self.send(now_us, &to, Message::RegistryAnswers { span });
        }
    }

    /// Shows the follower of the registry what it is to do. Instances that start
    /// together know each other at their second look; until then none of them
    /// can tell that it falls to it to watch.
    pub(super) fn show_watching(&mut self, now_us: u64) {
        let watches = self.is_watcher && self.are_members_known(now_us);
        if self.shared.watching().show(watches) != watches && watches {
            self.reread_all();
        }
    }

    fn are_members_known(&self, now_us: u64) -> bool {
        self.member_lists >= LOOKS_TO_KNOW || now_us >= ALONE_US
    }

    fn reread_all(&mut self) {
        self.actions.push(Action::Reread(RegistryPart::Release));
        self.actions.push(Action::Reread(RegistryPart::Targets));
    }

    /// Asks others, and in a few instances the registry, where no answer was heard of
    /// for a while: all that watch may be dead or cut off from it, or one of those that
    /// pass their news on. Their death shows only later.
    pub(super) fn stand_in_for_watchers(&mut self, now_us: u64) {
        let Some(age_us) = self.feed.view_age_us(now_us) else {
            return;
        };
        let is_needed = age_us > SILENT_US && self.are_members_known(now_us);
        if !is_needed || self.shared.watching().is_watcher() {
            return;
        }
        let others = self.own_ids.sample(&mut self.rng, ASKED_IN_SILENCE);
        let others: Vec<Arc<str>> = others.cloned().collect();
        for id in others {
            let sequence = NEWS_PING;
            self.send(now_us, &id, Message::Ping { sequence });
        }
        let chance = STAND_INS / (self.own_ids.len() + 1) as f64;
        if self.rng.random_bool(chance.min(1.0)) {
            let view_age_ms = age_us / MICROS_PER_MILLI;
            self.actions
                .push(Action::Log(LogEvent::StandsIn { view_age_ms }));
            self.reread_all();
        }
    }
}
