//! Following a registry's releases and targets.

use std::sync::Arc;

use super::Action;
use super::Happening;
use super::Instance;
use super::RegistryNews;
use super::settings::EvidenceSharing;
use crate::routing::Placement;

/// Time between two readings that peers' newer numbers cause, in microseconds.
const REREAD_PERIOD_US: u64 = 700_000;

/// Retries saved up until the number of instances is known.
const FIRST_RETRY_RESERVE: f64 = 1.0;

impl Instance {
    /// Takes in what the registry tells.
    pub(super) fn registry_told(&mut self, now_us: u64, news: RegistryNews) {
        match news {
            RegistryNews::Release(release) => {
                self.feed.released(release);
            }
            RegistryNews::Targets(targets) => self.feed.listed(now_us, targets),
            RegistryNews::Entries(entries) => self.feed.changed(now_us, entries),
            RegistryNews::Reachable(reachable) => {
                self.feed.reachable(now_us, reachable);
                self.shared.currency().source_reachable(reachable);
                self.actions
                    .push(Action::Log(Happening::RegistryReachable(reachable)));
            }
        }
        self.follow_registry();
        self.decide_readiness();
    }

    pub(super) fn tick_registry(&mut self, now_us: u64) {
        self.feed.tick(now_us);
        self.follow_registry();
    }

    /// Reads the release again if a peer holds a newer one.
    pub(super) fn reread_if_behind(&mut self, now_us: u64, number: u64) {
        if number > self.log.number() && now_us >= self.next_reread_us {
            self.next_reread_us = now_us + REREAD_PERIOD_US;
            self.actions.push(Action::Reread);
        }
    }

    /// Puts in force what differs between the registry and the world.
    fn follow_registry(&mut self) {
        let Some((number, change)) = self.feed.change(self.log.world()) else {
            return;
        };
        self.prepare_tables();
        let renumbered = number > self.log.number();
        if let Err(error) = self.log.adjust(number, &change) {
            let reason = error.to_string();
            self.actions
                .push(Action::Log(Happening::NoteVoid { number, reason }));
            return;
        }
        let put = change.targets.add.iter().chain(&change.targets.change);
        let put: Vec<Arc<str>> = put.map(|target| target.name.clone()).collect();
        let withdrawn = change.targets.withdraw.clone();
        self.note_applied(&change);
        if renumbered {
            self.actions
                .push(Action::Log(Happening::NoteInForce { number }));
        }
        if !put.is_empty() || !withdrawn.is_empty() {
            self.actions
                .push(Action::Log(Happening::TargetsInForce { put, withdrawn }));
        }
    }

    /// Sets what tables are built with.
    fn prepare_tables(&mut self) {
        if self.evidence == EvidenceSharing::Alerts {
            self.tables.placement = Placement::Doubt;
        }
        self.tables.retry_reserve = self.shared_retry_reserve.map(|_| FIRST_RETRY_RESERVE);
    }
}
