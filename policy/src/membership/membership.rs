//! Failure detection by pings with indirect probes, suspicion and incarnations, as in the
//! SWIM protocol.
//!
//! One member is pinged each period, in random order. If it does not answer, two other
//! members are asked to ping it, so that a link that fails in one direction does not make
//! the member look dead. Membership updates are piggybacked on every message, a few at a
//! time.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use rand::RngExt;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use super::Member;
use super::Status;

/// Maximum number of membership updates that one message carries.
pub const UPDATES_PER_MESSAGE: usize = 4;

const PING_PERIOD_US: u64 = 1_000_000;
const DIRECT_PING_TIMEOUT_US: u64 = 300_000;
const SUSPICION_TIMEOUT_US: u64 = 4_000_000;
const EXPIRY_CHECK_PERIOD_US: u64 = 500_000;
const TOMBSTONE_TTL_US: u64 = 120_000_000;
/// Time for which callers may still send to a dead instance, in microseconds: two health
/// checks of their load balancer, 2 s apart, and the duration of the requests that are then
/// in flight.
const RECENT_DEATH_US: u64 = 6_000_000;
/// Expected number of pings per second to each dead member from all instances together.
const DEAD_PINGS_PER_S: f64 = 2.0;
const INDIRECT_PROBES: usize = 2;

/// A ping to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Probe {
    /// Ping `to`.
    Direct {
        /// Member to ping.
        to: Arc<str>,
        /// Sequence number that the answer repeats.
        sequence: u64,
    },
    /// Ask `through` to ping `to`.
    Indirect {
        /// Member that relays the ping.
        through: Arc<str>,
        /// Member to ping.
        to: Arc<str>,
        /// Sequence number that the answer repeats.
        sequence: u64,
    },
}

/// A change in the set of present members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A member became present.
    Joined(Member),
    /// A member ceased to be present.
    Left(Member),
    /// A present member has a new incarnation: it has restarted, or refuted a suspicion.
    Renewed(Member),
}

#[derive(Clone, Debug)]
struct PendingPing {
    to: Arc<str>,
    sequence: u64,
    sent_us: u64,
    indirect: bool,
}

#[derive(Clone, Debug)]
struct Entry {
    member: Arc<Member>,
    since_us: u64,
}

impl Entry {
    fn is_dead(&self) -> bool {
        self.member.status == Status::Dead
    }
}

/// An instance's view of all instances.
#[derive(Debug)]
pub struct Membership {
    own: Member,
    entries: BTreeMap<Arc<str>, Entry>,
    probe_order: Vec<Arc<str>>,
    pending: Option<PendingPing>,
    sequence: u64,
    next_ping_us: u64,
    next_expiry_us: u64,
    updates: VecDeque<(Arc<str>, u32)>,
    changes: Vec<Change>,
}

impl Membership {
    /// Creates a view that contains only the instance itself.
    pub fn new(own: Member) -> Self {
        let id = own.id.clone();
        let mut membership = Self {
            own,
            entries: BTreeMap::new(),
            probe_order: Vec::new(),
            pending: None,
            sequence: 0,
            next_ping_us: 0,
            next_expiry_us: 0,
            updates: VecDeque::new(),
            changes: Vec::new(),
        };
        membership.enqueue_update(id);
        membership
    }

    /// The instance's own entry.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Takes the changes in the set of present members since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// The member with this id, which may be the instance itself.
    pub fn get(&self, id: &str) -> Option<&Member> {
        if *self.own.id == *id {
            return Some(&self.own);
        }
        self.entries.get(id).map(|entry| &*entry.member)
    }

    /// All present members, including the instance itself.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        let others = self.entries.values().map(|entry| &*entry.member);
        std::iter::once(&self.own).chain(others.filter(|member| member.is_present()))
    }

    /// Share of the instances that recently stopped answering without having announced that
    /// they leave.
    pub fn unresponsive_share(&self, now_us: u64) -> f64 {
        let is_unresponsive = |entry: &Entry| match entry.member.status {
            Status::Suspect => true,
            Status::Dead => now_us.saturating_sub(entry.since_us) < RECENT_DEATH_US,
            Status::Alive | Status::Left => false,
        };
        let unresponsive = self.entries.values().filter(|entry| is_unresponsive(entry));
        let unresponsive = unresponsive.count();
        let alive = self.entries.values();
        let alive = alive.filter(|entry| entry.member.status == Status::Alive);
        unresponsive as f64 / (1 + unresponsive + alive.count()) as f64
    }

    /// Share of the instances that are present, among these and those that died without having
    /// announced that they leave. The dead may form a fleet of their own behind a network
    /// partition.
    pub fn reachable_share(&self) -> f64 {
        self.present().count() as f64 / self.known_count() as f64
    }

    /// Number of the instances that are present or died without having announced that they leave.
    pub fn known_count(&self) -> usize {
        let dead = self.entries.values().filter(|entry| entry.is_dead());
        self.present().count() + dead.count()
    }

    /// Picks a dead member to ping at random, as it may have restarted; `None` if there is no
    /// dead member or none is drawn. The probability is such that a dead member rarely goes
    /// without a ping for a second.
    pub fn pick_dead(&self, rng: &mut ChaCha8Rng) -> Option<Arc<str>> {
        let dead: Vec<&Entry> = self
            .entries
            .values()
            .filter(|entry| entry.is_dead())
            .collect();
        let present = self.present().count();
        let chance = DEAD_PINGS_PER_S * dead.len() as f64 / present as f64;
        if dead.is_empty() || !rng.random_bool(chance.min(1.0)) {
            return None;
        }
        Some(dead[rng.random_range(0..dead.len())].member.id.clone())
    }

    /// Sorted ids of the present members; identical on instances with equal views.
    pub fn present_ids(&self) -> Vec<Arc<str>> {
        let mut ids: Vec<_> = self.present().map(|member| member.id.clone()).collect();
        ids.sort();
        ids
    }

    /// Marks the instance as leaving and announces it.
    pub fn leave(&mut self) {
        self.own.status = Status::Left;
        self.enqueue_update(self.own.id.clone());
    }

    /// Merges a member's entry from a peer or from the platform's list.
    pub fn merge(&mut self, now_us: u64, member: &Member) {
        if member.id == self.own.id {
            self.refute(member);
            return;
        }
        let known = self.entries.get(&member.id);
        if known.is_some_and(|entry| !member.is_newer_than(&entry.member)) {
            return;
        }
        if known.is_none() && !member.is_present() {
            return;
        }
        let was_present = known.is_some_and(|entry| entry.member.is_present());
        match (was_present, member.is_present()) {
            (false, true) => self.changes.push(Change::Joined(member.clone())),
            (true, false) => self.changes.push(Change::Left(member.clone())),
            (true, true)
                if known.is_some_and(|entry| entry.member.incarnation < member.incarnation) =>
            {
                self.changes.push(Change::Renewed(member.clone()));
            }
            _ => {}
        }
        self.entries.insert(
            member.id.clone(),
            Entry {
                member: Arc::new(member.clone()),
                since_us: now_us,
            },
        );
        self.enqueue_update(member.id.clone());
    }

    /// Records a message from a member, which proves that the member is alive and ends the
    /// suspicion of this incarnation.
    pub fn record_contact(&mut self, now_us: u64, id: &str, incarnation: u64) {
        let Some(entry) = self.entries.get(id) else {
            return;
        };
        if entry.member.status == Status::Alive || entry.member.incarnation > incarnation {
            return;
        }
        if entry.member.status == Status::Suspect && entry.member.incarnation == incarnation {
            let mut member = (*entry.member).clone();
            member.status = Status::Alive;
            let entry = Entry {
                member: Arc::new(member),
                since_us: now_us,
            };
            self.entries.insert(id.into(), entry);
        }
    }

    /// Whether a message comes from a newer process of a member than the known one.
    pub fn is_outdated(&self, id: &str, incarnation: u64) -> bool {
        let known = self.entries.get(id);
        known.is_some_and(|entry| entry.member.incarnation < incarnation)
    }

    /// Whether a member is marked dead.
    pub fn is_dead(&self, id: &str) -> bool {
        self.entries.get(id).is_some_and(Entry::is_dead)
    }

    /// Ids of the members that are marked dead.
    pub fn dead_ids(&self) -> impl Iterator<Item = &Arc<str>> {
        let dead = self.entries.iter().filter(|(_, entry)| entry.is_dead());
        dead.map(|(id, _)| id)
    }

    /// Processes the answer to a ping.
    pub fn record_ack(&mut self, sequence: u64) {
        if self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.sequence == sequence)
        {
            self.pending = None;
        }
    }

    /// Takes the membership updates for the next message.
    pub fn take_updates(&mut self) -> Vec<Member> {
        let mut batch = Vec::new();
        for _ in 0..UPDATES_PER_MESSAGE.min(self.updates.len()) {
            let Some((id, sends_left)) = self.updates.pop_front() else {
                break;
            };
            if let Some(member) = self.get(&id) {
                batch.push(member.clone());
            }
            if sends_left > 1 {
                self.updates.push_back((id, sends_left - 1));
            }
        }
        batch
    }

    /// Advances time: returns the probes that are due, suspects members that did not answer
    /// and declares suspects dead after the time-out.
    pub fn tick(&mut self, now_us: u64, rng: &mut ChaCha8Rng) -> Vec<Probe> {
        let mut probes = Vec::new();
        self.expire(now_us);
        self.request_indirect_probes(now_us, rng, &mut probes);
        if now_us >= self.next_ping_us {
            self.suspect_unanswered(now_us);
            self.ping_next(now_us, rng, &mut probes);
        }
        probes
    }

    fn refute(&mut self, view: &Member) {
        if self.own.status == Status::Left || view.status == Status::Alive {
            return;
        }
        if view.incarnation >= self.own.incarnation {
            self.own.incarnation = view.incarnation + 1;
            self.enqueue_update(self.own.id.clone());
        }
    }

    fn enqueue_update(&mut self, id: Arc<str>) {
        let members = self.entries.len() as u32 + 2;
        let sends = members.ilog2() + 3;
        self.updates.retain(|(other, _)| *other != id);
        self.updates.push_front((id, sends));
    }

    fn expire(&mut self, now_us: u64) {
        if now_us < self.next_expiry_us {
            return;
        }
        self.next_expiry_us = now_us + EXPIRY_CHECK_PERIOD_US;
        let overdue: Vec<Member> = self
            .entries
            .values()
            .filter(|entry| entry.member.status == Status::Suspect)
            .filter(|entry| now_us.saturating_sub(entry.since_us) >= SUSPICION_TIMEOUT_US)
            .map(|entry| (*entry.member).clone())
            .collect();
        for mut member in overdue {
            member.status = Status::Dead;
            self.merge(now_us, &member);
        }
        self.entries.retain(|_, entry| {
            entry.member.is_present() || now_us.saturating_sub(entry.since_us) < TOMBSTONE_TTL_US
        });
    }

    fn request_indirect_probes(
        &mut self,
        now_us: u64,
        rng: &mut ChaCha8Rng,
        probes: &mut Vec<Probe>,
    ) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        if pending.indirect || now_us < pending.sent_us + DIRECT_PING_TIMEOUT_US {
            return;
        }
        pending.indirect = true;
        let (to, sequence) = (pending.to.clone(), pending.sequence);
        let mut others: Vec<_> = self
            .entries
            .values()
            .filter(|entry| entry.member.is_present() && entry.member.id != to)
            .map(|entry| entry.member.id.clone())
            .collect();
        for _ in 0..INDIRECT_PROBES.min(others.len()) {
            let through = others.swap_remove(rng.random_range(0..others.len()));
            probes.push(Probe::Indirect {
                through,
                to: to.clone(),
                sequence,
            });
        }
    }

    fn suspect_unanswered(&mut self, now_us: u64) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let Some(entry) = self.entries.get(&pending.to) else {
            return;
        };
        if entry.member.status == Status::Alive {
            let mut member = (*entry.member).clone();
            member.status = Status::Suspect;
            self.merge(now_us, &member);
        }
    }

    fn ping_next(&mut self, now_us: u64, rng: &mut ChaCha8Rng, probes: &mut Vec<Probe>) {
        self.next_ping_us = now_us + PING_PERIOD_US;
        let Some(to) = self.next_probe_target(rng) else {
            return;
        };
        self.sequence += 1;
        self.pending = Some(PendingPing {
            to: to.clone(),
            sequence: self.sequence,
            sent_us: now_us,
            indirect: false,
        });
        probes.push(Probe::Direct {
            to,
            sequence: self.sequence,
        });
    }

    fn next_probe_target(&mut self, rng: &mut ChaCha8Rng) -> Option<Arc<str>> {
        loop {
            if self.probe_order.is_empty() {
                let present = self
                    .entries
                    .values()
                    .filter(|entry| entry.member.is_present());
                self.probe_order = present.map(|entry| entry.member.id.clone()).collect();
                self.probe_order.shuffle(rng);
            }
            let id = self.probe_order.pop()?;
            if self
                .entries
                .get(&id)
                .is_some_and(|entry| entry.member.is_present())
            {
                return Some(id);
            }
        }
    }
}
