//! Heartbeats with indirect probes, suspicion and incarnations.
//!
//! One random member is pinged each period. If it is silent, two others are
//! asked to ping it, so that a link cut in one direction does not make a
//! member look dead. News travel with every message, a few at a time.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use rand::RngExt;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use super::Member;
use super::Status;

/// News that one message carries.
pub const UPDATES_PER_MESSAGE: usize = 4;

const PERIOD_US: u64 = 1_000_000;
const DIRECT_TIMEOUT_US: u64 = 300_000;
const SUSPICION_US: u64 = 4_000_000;
const EXPIRY_PERIOD_US: u64 = 500_000;
const TOMBSTONE_US: u64 = 120_000_000;
/// Time for which callers may still reach an instance that is dead, in microseconds:
/// two status checks of a balancer, 2 s apart, and the requests that it then holds.
const LATELY_US: u64 = 6_000_000;
/// Pings that a dead member gets from all others together in a second.
const DEAD_PINGS: f64 = 2.0;
const INDIRECT_PROBES: usize = 2;

/// A heartbeat to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Probe {
    /// Ping `to`.
    Direct {
        /// Member to ping.
        to: Arc<str>,
        /// Number that the answer repeats.
        sequence: u64,
    },
    /// Ask `through` to ping `to`.
    Indirect {
        /// Member that is asked.
        through: Arc<str>,
        /// Member to ping.
        to: Arc<str>,
        /// Number that the answer repeats.
        sequence: u64,
    },
}

/// A change of who is present.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A member is present from now on.
    Joined(Member),
    /// A member is no longer present.
    Left(Member),
}

#[derive(Clone, Debug)]
struct Pending {
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
    ring: Vec<Arc<str>>,
    pending: Option<Pending>,
    sequence: u64,
    next_ping_us: u64,
    next_expiry_us: u64,
    news: VecDeque<(Arc<str>, u32)>,
    changes: Vec<Change>,
}

impl Membership {
    /// A view that holds only the instance itself.
    pub fn new(own: Member) -> Self {
        let id = own.id.clone();
        let mut membership = Self {
            own,
            entries: BTreeMap::new(),
            ring: Vec::new(),
            pending: None,
            sequence: 0,
            next_ping_us: 0,
            next_expiry_us: 0,
            news: VecDeque::new(),
            changes: Vec::new(),
        };
        membership.tell(id);
        membership
    }

    /// The instance itself.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Takes the changes of who is present since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// A member by id, the instance itself included.
    pub fn get(&self, id: &str) -> Option<&Member> {
        if *self.own.id == *id {
            return Some(&self.own);
        }
        self.entries.get(id).map(|entry| &*entry.member)
    }

    /// All members that are present, the instance itself included.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        let others = self.entries.values().map(|entry| &*entry.member);
        std::iter::once(&self.own).chain(others.filter(|member| member.is_present()))
    }

    /// Share of the instances that have lately stopped answering, without having
    /// announced that they stop.
    pub fn silent_share(&self, now_us: u64) -> f64 {
        let is_silent = |entry: &Entry| match entry.member.status {
            Status::Suspect => true,
            Status::Dead => now_us.saturating_sub(entry.since_us) < LATELY_US,
            Status::Alive | Status::Left => false,
        };
        let silent = self.entries.values().filter(|entry| is_silent(entry));
        let silent = silent.count();
        let alive = self.entries.values();
        let alive = alive.filter(|entry| entry.member.status == Status::Alive);
        silent as f64 / (1 + silent + alive.count()) as f64
    }

    /// A dead member that may have started again, to be pinged; seldom none of the
    /// instances draws it within a second.
    pub fn draw_dead(&self, rng: &mut ChaCha8Rng) -> Option<Arc<str>> {
        let dead: Vec<&Entry> = self
            .entries
            .values()
            .filter(|entry| entry.is_dead())
            .collect();
        let present = self.present().count();
        let chance = DEAD_PINGS * dead.len() as f64 / present as f64;
        if dead.is_empty() || !rng.random_bool(chance.min(1.0)) {
            return None;
        }
        Some(dead[rng.random_range(0..dead.len())].member.id.clone())
    }

    /// Ids of the members present, in order; the same on equal views.
    pub fn present_ids(&self) -> Vec<Arc<str>> {
        let mut ids: Vec<_> = self.present().map(|member| member.id.clone()).collect();
        ids.sort();
        ids
    }

    /// Announces that the instance stops.
    pub fn leave(&mut self) {
        self.own.status = Status::Left;
        self.tell(self.own.id.clone());
    }

    /// Takes in what another instance or the platform's list says of a member.
    pub fn learn(&mut self, now_us: u64, member: &Member) {
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
            _ => {}
        }
        self.entries.insert(
            member.id.clone(),
            Entry {
                member: Arc::new(member.clone()),
                since_us: now_us,
            },
        );
        self.tell(member.id.clone());
    }

    /// Notes that a message came from a member, which proves that it lives.
    pub fn heard_from(&mut self, now_us: u64, id: &str, incarnation: u64) {
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

    /// Takes in the answer to a ping.
    pub fn acknowledged(&mut self, sequence: u64) {
        if self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.sequence == sequence)
        {
            self.pending = None;
        }
    }

    /// The news that the next message is to carry.
    pub fn take_news(&mut self) -> Vec<Member> {
        let mut batch = Vec::new();
        for _ in 0..UPDATES_PER_MESSAGE.min(self.news.len()) {
            let Some((id, left)) = self.news.pop_front() else {
                break;
            };
            if let Some(member) = self.get(&id) {
                batch.push(member.clone());
            }
            if left > 1 {
                self.news.push_back((id, left - 1));
            }
        }
        batch
    }

    /// Lets time pass: pings, indirect probes, suspicion, death.
    pub fn tick(&mut self, now_us: u64, rng: &mut ChaCha8Rng) -> Vec<Probe> {
        let mut probes = Vec::new();
        self.expire(now_us);
        self.ask_others(now_us, rng, &mut probes);
        if now_us >= self.next_ping_us {
            self.suspect_silent(now_us);
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
            self.tell(self.own.id.clone());
        }
    }

    fn tell(&mut self, id: Arc<str>) {
        let members = self.entries.len() as u32 + 2;
        let times = members.ilog2() + 3;
        self.news.retain(|(other, _)| *other != id);
        self.news.push_front((id, times));
    }

    fn expire(&mut self, now_us: u64) {
        if now_us < self.next_expiry_us {
            return;
        }
        self.next_expiry_us = now_us + EXPIRY_PERIOD_US;
        let overdue: Vec<Member> = self
            .entries
            .values()
            .filter(|entry| entry.member.status == Status::Suspect)
            .filter(|entry| now_us.saturating_sub(entry.since_us) >= SUSPICION_US)
            .map(|entry| (*entry.member).clone())
            .collect();
        for mut member in overdue {
            member.status = Status::Dead;
            self.learn(now_us, &member);
        }
        self.entries.retain(|_, entry| {
            entry.member.is_present() || now_us.saturating_sub(entry.since_us) < TOMBSTONE_US
        });
    }

    fn ask_others(&mut self, now_us: u64, rng: &mut ChaCha8Rng, probes: &mut Vec<Probe>) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        if pending.indirect || now_us < pending.sent_us + DIRECT_TIMEOUT_US {
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

    fn suspect_silent(&mut self, now_us: u64) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let Some(entry) = self.entries.get(&pending.to) else {
            return;
        };
        if entry.member.status == Status::Alive {
            let mut member = (*entry.member).clone();
            member.status = Status::Suspect;
            self.learn(now_us, &member);
        }
    }

    fn ping_next(&mut self, now_us: u64, rng: &mut ChaCha8Rng, probes: &mut Vec<Probe>) {
        self.next_ping_us = now_us + PERIOD_US;
        let Some(to) = self.next_in_ring(rng) else {
            return;
        };
        self.sequence += 1;
        self.pending = Some(Pending {
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

    fn next_in_ring(&mut self, rng: &mut ChaCha8Rng) -> Option<Arc<str>> {
        loop {
            if self.ring.is_empty() {
                let present = self
                    .entries
                    .values()
                    .filter(|entry| entry.member.is_present());
                self.ring = present.map(|entry| entry.member.id.clone()).collect();
                self.ring.shuffle(rng);
            }
            let id = self.ring.pop()?;
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
