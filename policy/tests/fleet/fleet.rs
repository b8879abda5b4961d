//! Instances, a network between them and a registry, without sockets.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use model::world::Target;
use policy::Action;
use policy::Input;
use policy::Instance;
use policy::exchange::Observation;
use policy::feed::EntryChanges;
use policy::feed::Release;
use policy::feed::TargetEntry;
use policy::instance::Envelope;
use policy::instance::EvidenceSharing;
use policy::instance::PermitAnswer;
use policy::instance::PermitRequest;
use policy::instance::PlatformAnswer;
use policy::instance::RegistryPart;
use policy::instance::RegistryUpdate;
use policy::instance::WorldSource;
use policy::membership::Member;
use policy::membership::Status;
use policy::routing::RoutingTable;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::support::service;

pub(crate) const SECOND_US: u64 = 1_000_000;
pub(crate) const INSTANCES: usize = 18;
pub(crate) const TARGETS: usize = 12;

const MS_US: u64 = 1_000;
const TICK_US: u64 = 250 * MS_US;
const POLL_US: u64 = 10 * MS_US;
/// Pause of the follower after changes.
const GATHER_US: u64 = 450 * MS_US;
const PROBE_US: u64 = SECOND_US;
/// Pause of the follower after a call that failed.
const FAILED_US: u64 = 300 * MS_US;
/// Failures in a row after which the follower tells that the registry is away.
const AWAY_FAILURES: u32 = 2;
/// The users' bound on leaving targets, less the way of a request that was placed.
const BOUND_US: u64 = 1_900 * MS_US;

/// A placing that is possible after the bound: instance, target and time after the
/// acknowledgement in milliseconds.
pub(crate) type LatePlacing = (usize, Arc<str>, u64);

#[derive(Default)]
struct Registry {
    revision: u64,
    standing: BTreeMap<Arc<str>, Target>,
    changes: Vec<(u64, TargetEntry)>,
    /// Targets that leave, and when that was acknowledged.
    leaving: Vec<(Arc<str>, u64)>,
}

impl Registry {
    fn put(&mut self, entry: TargetEntry) {
        self.revision += 1;
        match &entry {
            TargetEntry::Stands(target) => {
                self.standing.insert(target.name.clone(), target.clone());
            }
            TargetEntry::Removed(name) => {
                self.standing.remove(name);
            }
        }
        self.changes.push((self.revision, entry));
    }
}

/// What `sniperund` does to follow a registry.
#[derive(Default)]
struct Follower {
    known_to: Option<u64>,
    next_us: u64,
    next_probe_us: u64,
    failures: u32,
    asked: bool,
}

struct Node {
    instance: Instance,
    follower: Follower,
    away: Vec<(u64, u64)>,
    is_dead: bool,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    Poll(usize),
    Deliver(usize),
    Leave,
    Lapse,
    Return,
}

/// A fleet and what surrounds it.
pub(crate) struct Fleet {
    now_us: u64,
    nodes: Vec<Node>,
    registry: Registry,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    on_the_way: BTreeMap<u64, Envelope>,
    sequence: u64,
    rng: ChaCha8Rng,
    late: Vec<LatePlacing>,
    fewest_in_use: usize,
    names: u64,
    targets: usize,
    seed: u64,
    answers: VecDeque<(u64, PermitAnswer)>,
}

fn member(number: usize) -> Member {
    Member {
        id: format!("i{number:02}").into(),
        data_centre: format!("dc-{}", number % 3).into(),
        caller_address: address(number),
        peer_address: address(number),
        incarnation: 1,
        status: Status::Alive,
    }
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16))
}

fn target(number: u64, leaving: bool) -> Target {
    Target {
        name: format!("t{number:03}").into(),
        service: "gates".into(),
        data_centre: format!("dc-{}", number % 3).into(),
        address: address(number as usize),
        slots: 6,
        connections: 330,
        refusal_is_not_run: false,
        leaving,
        incarnation: number,
    }
}

fn release() -> Release {
    let service = service("gates");
    Release {
        number: 1,
        services: vec![service],
        routes: Vec::new(),
        idle_limit_ms: None,
    }
}

impl Fleet {
    /// A fleet whose instances know each other and the first targets.
    pub(crate) fn new(seed: u64) -> Self {
        Self::with_targets(seed, TARGETS)
    }

    /// The same with another number of targets.
    pub(crate) fn with_targets(seed: u64, targets: usize) -> Self {
        let mut registry = Registry::default();
        for number in 0..targets as u64 {
            registry.put(TargetEntry::Stands(target(number, false)));
        }
        let mut fleet = Self {
            now_us: 0,
            nodes: Vec::new(),
            registry,
            events: BinaryHeap::new(),
            on_the_way: BTreeMap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            late: Vec::new(),
            fewest_in_use: targets,
            names: targets as u64,
            targets,
            seed,
            answers: VecDeque::new(),
        };
        fleet.start(1);
        for number in 0..INSTANCES {
            let tick_us = fleet.draw(TICK_US);
            fleet.at(tick_us, Event::Tick(number));
            let poll_us = fleet.draw(POLL_US);
            fleet.at(poll_us, Event::Poll(number));
        }
        fleet
    }

    /// Lets all instances start anew.
    pub(crate) fn restart(&mut self) {
        let started = self.nodes[0].instance.membership().own().incarnation;
        self.on_the_way.clear();
        self.answers.clear();
        self.start(started + 1);
    }

    fn start(&mut self, incarnation: u64) {
        let own = |number: usize| Member {
            incarnation,
            ..member(number)
        };
        let node = |number: usize| {
            let mut settings = policy::Settings::new(own(number), self.seed + number as u64);
            settings.evidence = EvidenceSharing::Alerts;
            settings.source = WorldSource::Registry;
            Node {
                instance: Instance::new(settings),
                follower: Follower::default(),
                away: Vec::new(),
                is_dead: false,
            }
        };
        self.nodes = (0..INSTANCES).map(node).collect();
        for number in 0..INSTANCES {
            let members: Vec<Member> = (0..INSTANCES).map(own).collect();
            for _ in 0..2 {
                let members = PlatformAnswer::Instances(members.clone());
                self.tell(number, Input::Platform(members));
            }
            self.tell(number, Input::Registry(RegistryUpdate::Release(release())));
        }
    }

    /// A number below `limit`.
    pub(crate) fn draw(&mut self, limit: u64) -> u64 {
        self.rng.random_range(0..limit)
    }

    /// Lets a target leave, with notice or without, and another one come.
    pub(crate) fn replace_target(&mut self, at_us: u64) {
        self.at(at_us, Event::Leave);
    }

    /// Starts the process of a target anew under its name.
    pub(crate) fn restart_target(&mut self, number: u64) {
        let restarted = Target {
            incarnation: self.names,
            ..target(number, false)
        };
        self.registry.put(TargetEntry::Stands(restarted));
    }

    /// Turns some instances away from the registry for a while.
    pub(crate) fn turn_away(&mut self, count: usize, from_us: u64, until_us: u64) {
        let mut numbers: Vec<usize> = (0..INSTANCES).collect();
        while numbers.len() > count {
            let at = self.draw(numbers.len() as u64) as usize;
            numbers.swap_remove(at);
        }
        for number in numbers {
            self.nodes[number].away.push((from_us, until_us));
        }
    }

    /// Turns all that watch the registry now away from it for a while.
    pub(crate) fn turn_watchers_away(&mut self, from_us: u64, until_us: u64) {
        for node in self.nodes.iter_mut() {
            if node.instance.shared().watching().is_watcher() {
                node.away.push((from_us, until_us));
            }
        }
    }

    /// Ends all that watch the registry now.
    pub(crate) fn kill_watchers(&mut self) {
        for node in self.nodes.iter_mut() {
            node.is_dead |= node.instance.shared().watching().is_watcher();
        }
    }

    /// Lets all entries lapse, and come back.
    pub(crate) fn lapse(&mut self, at_us: u64, back_us: u64) {
        self.at(at_us, Event::Lapse);
        self.at(back_us, Event::Return);
    }

    /// What requests at an instance are placed by.
    pub(crate) fn table(&self, number: usize) -> Arc<RoutingTable> {
        self.nodes[number].instance.shared().table()
    }

    /// Tells an instance how an attempt ended.
    pub(crate) fn observe(&mut self, number: usize, observation: Observation) {
        self.tell(number, Input::Observed(observation));
    }

    /// Asks for a permit on behalf of a request at an instance.
    pub(crate) fn ask_permit(&mut self, number: usize, question: PermitRequest) {
        self.tell(number, Input::RequestPermit(question));
    }

    /// Tells an instance that a request has ended that asked for a permit.
    pub(crate) fn end_permit(&mut self, number: usize, question: u64, is_unanswered: bool) {
        let ended = Input::ReleasePermit {
            number: question,
            is_unanswered,
        };
        self.tell(number, ended);
    }

    /// Plays until a time, or until a request is told whether it may be sent.
    pub(crate) fn run_to_answer(&mut self, until_us: u64) -> Option<(u64, PermitAnswer)> {
        while self.answers.is_empty() && self.step(until_us) {}
        let answer = self.answers.pop_front();
        if answer.is_none() {
            self.now_us = until_us;
        }
        answer
    }

    /// The present time.
    pub(crate) fn now_us(&self) -> u64 {
        self.now_us
    }

    /// Targets that could still be placed on after the bound.
    pub(crate) fn late_placings(&self) -> &[LatePlacing] {
        &self.late
    }

    /// The fewest targets that any instance had in use since all of them were known.
    pub(crate) fn fewest_in_use(&self) -> usize {
        self.fewest_in_use
    }

    /// Plays until a time.
    pub(crate) fn run(&mut self, until_us: u64) {
        while self.step(until_us) {}
        self.now_us = until_us;
    }

    /// Plays what happens next; false if nothing does until a time.
    fn step(&mut self, until_us: u64) -> bool {
        let next = self.events.peek();
        if next.is_none_or(|Reverse((at_us, ..))| *at_us > until_us) {
            return false;
        }
        let Some(Reverse((at_us, sequence, event))) = self.events.pop() else {
            return false;
        };
        self.now_us = at_us;
        match event {
            Event::Tick(number) => {
                self.tell(number, Input::Tick);
                self.at(at_us + TICK_US, Event::Tick(number));
            }
            Event::Poll(number) => {
                self.poll(number);
                self.check(number);
                self.at(at_us + POLL_US, Event::Poll(number));
            }
            Event::Deliver(number) => {
                if let Some(envelope) = self.on_the_way.remove(&sequence) {
                    self.tell(number, Input::Received(envelope));
                }
            }
            Event::Leave => self.leave(),
            Event::Lapse => {
                let names: Vec<_> = self.registry.standing.keys().cloned().collect();
                for name in names {
                    self.registry.put(TargetEntry::Removed(name));
                }
            }
            Event::Return => {
                for number in 0..self.targets as u64 {
                    self.registry
                        .put(TargetEntry::Stands(target(number, false)));
                }
            }
        }
        true
    }

    fn at(&mut self, at_us: u64, event: Event) -> u64 {
        self.sequence += 1;
        self.events.push(Reverse((at_us, self.sequence, event)));
        self.sequence
    }

    fn leave(&mut self) {
        let ready = self.registry.standing.values();
        let ready: Vec<Target> = ready.filter(|target| !target.leaving).cloned().collect();
        let chosen = ready[self.draw(ready.len() as u64) as usize].clone();
        let entry = match self.rng.random_bool(0.3) {
            true => TargetEntry::Stands(Target {
                leaving: true,
                ..chosen.clone()
            }),
            false => TargetEntry::Removed(chosen.name.clone()),
        };
        self.registry.put(entry);
        self.registry.leaving.push((chosen.name, self.now_us));
        let new = target(self.names, false);
        self.names += 1;
        self.registry.put(TargetEntry::Stands(new));
    }

    fn tell(&mut self, number: usize, input: Input) {
        let node = &mut self.nodes[number];
        if node.is_dead {
            return;
        }
        for action in node.instance.handle(self.now_us, input) {
            match action {
                Action::Send {
                    address, envelope, ..
                } => self.send(address, envelope),
                Action::Permit { number, answer } => self.answers.push_back((number, answer)),
                Action::Reread(RegistryPart::Targets) => {
                    self.nodes[number].follower.asked = true;
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, to: SocketAddr, envelope: Envelope) {
        let number = usize::from(to.port()) - 1_000;
        let copies = match self.draw(100) {
            0 => 0,
            1 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let slow = self.rng.random_bool(0.03);
            let way_us = (1 + self.draw(6)) * MS_US * if slow { 20 } else { 1 };
            let sequence = self.at(self.now_us + way_us, Event::Deliver(number));
            self.on_the_way.insert(sequence, envelope.clone());
        }
    }

    /// Lets the follower of an instance do what is due.
    fn poll(&mut self, number: usize) {
        let now_us = self.now_us;
        let node = &mut self.nodes[number];
        let watches = node.instance.shared().watching().is_watcher();
        let follower = &mut node.follower;
        if watches && now_us >= follower.next_probe_us {
            follower.next_probe_us = now_us + PROBE_US;
            follower.next_us = follower.next_us.min(now_us);
        }
        let is_first = follower.known_to.is_none();
        let has_news = follower.known_to != Some(self.registry.revision);
        let is_away = |(from_us, until_us): &(u64, u64)| (*from_us..*until_us).contains(&now_us);
        let is_away = node.away.iter().any(is_away);
        let is_probe = follower.next_probe_us == now_us + PROBE_US;
        let wants = is_first
            || follower.asked
            || follower.failures > 0
            || watches && (has_news || is_probe || is_away);
        if !wants || now_us < follower.next_us {
            return;
        }
        if is_away {
            follower.failures += 1;
            follower.next_us = now_us + FAILED_US;
            if follower.failures == AWAY_FAILURES {
                self.tell(number, Input::Registry(RegistryUpdate::Reachable(false)));
            }
            return;
        }
        let asked = std::mem::take(&mut follower.asked) || follower.failures > 0;
        follower.failures = 0;
        follower.next_us = now_us;
        let revision = self.registry.revision;
        let known_to = follower.known_to.replace(revision);
        let news = match known_to {
            Some(after) if !asked && after < revision => {
                follower.next_us = now_us + GATHER_US;
                let changes = self.registry.changes.iter();
                let changes = changes.filter(|(at, _)| *at > after);
                Some(RegistryUpdate::Entries(EntryChanges {
                    after,
                    revision,
                    complete_to: revision,
                    entries: changes.map(|(_, entry)| entry.clone()).collect(),
                    stay_ms: 0,
                }))
            }
            Some(_) if !asked => None,
            _ => Some(RegistryUpdate::Targets {
                revision,
                targets: self.registry.standing.values().cloned().collect(),
            }),
        };
        self.tell(number, Input::Registry(RegistryUpdate::Reachable(true)));
        if let Some(news) = news {
            self.tell(number, Input::Registry(news));
        }
    }

    /// Looks for targets that can be placed on too late, and counts those in use.
    fn check(&mut self, number: usize) {
        let node = &self.nodes[number];
        if node.is_dead || !node.instance.is_ready() {
            return;
        }
        let table = node.instance.shared().table();
        let service = &table.services["gates"];
        let open = service.candidates.iter();
        let open = open.filter(|candidate| !candidate.load.is_closed());
        let open: Vec<&Arc<str>> = open.map(|candidate| &candidate.target.name).collect();
        self.fewest_in_use = self.fewest_in_use.min(open.len());
        for (name, acknowledged_us) in &self.registry.leaving {
            let after_us = self.now_us.saturating_sub(*acknowledged_us);
            let is_noted = |late: &LatePlacing| late.0 == number && late.1 == *name;
            if after_us > BOUND_US && open.contains(&name) && !self.late.iter().any(is_noted) {
                self.late.push((number, name.clone(), after_us / MS_US));
            }
        }
    }
}
