//! The simulation: nodes, targets, platform and links around one queue.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use policy::Action;
use policy::Input;
use policy::Instance;
use policy::command::ClaimState;
use policy::command::TicketTable;
use policy::evidence::HealthState;
use policy::instance::Envelope;
use policy::instance::EvidenceSharing;
use policy::instance::LogEvent;
use policy::instance::Message;
use policy::instance::PlatformAnswer;
use policy::instance::PlatformCall;
use policy::instance::TICK_US;
use policy::membership::Member;
use policy::membership::Status;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Deployment;
use super::Event;
use super::MILLI_US;
use super::Met;
use super::Moment;
use super::Network;
use super::PlatformState;
use super::Queue;
use super::RoundRobin;
use super::SECOND_US;
use super::Stats;
use super::TargetFault;
use super::flight::Flight;
use super::flight::Naming;
use super::node::Node;
use super::platform_fake::PlatformFake;
use super::target_fake::TargetFake;

const PROBE_US: u64 = 25 * MILLI_US;
const PLATFORM_US: u64 = 2 * MILLI_US;
const PLATFORM_SLOW_US: u64 = 2 * SECOND_US;
const WATCH_US: u64 = 20 * SECOND_US;
const TICKETS: usize = 10_000;

/// How instances decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Round robin with ejection after consecutive failures, each alone.
    RoundRobin,
    /// The decisions without shared evidence.
    Alone,
    /// The decisions as they are.
    Shared,
}

/// A command that a caller wants done.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub(super) service: Arc<str>,
    pub(super) naming: Naming,
    pub(super) tries: u32,
}

/// A command's end that the platform has not heard of yet.
#[derive(Clone, Debug)]
pub(super) struct PendingFinish {
    pub(super) node: usize,
    pub(super) key: Arc<str>,
    pub(super) attempt: Arc<str>,
    pub(super) state: ClaimState,
}

/// A request on the wire, which reaches its target whatever becomes of its flight.
#[derive(Clone, Debug)]
pub(super) struct Wire {
    pub(super) target: Arc<str>,
    pub(super) command: Option<Arc<str>>,
    pub(super) data_centre: usize,
}

/// The simulation.
pub struct Sim {
    /// The present time in microseconds.
    pub now_us: u64,
    /// What the run has counted.
    pub stats: Stats,
    /// The links between nodes.
    pub network: Network,
    /// Share of commands that are named by a key, by a ticket, or not at all.
    pub naming: [f64; 3],
    /// Whether new requests arrive.
    pub loading: bool,
    armed: Option<Moment>,
    met: Option<Met>,
    pub(super) deployment: Deployment,
    pub(super) mode: Mode,
    pub(super) queue: Queue,
    pub(super) rng: ChaCha8Rng,
    pub(super) nodes: Vec<Node>,
    pub(super) targets: BTreeMap<Arc<str>, TargetFake>,
    pub(super) platform: PlatformFake,
    pub(super) flights: HashMap<u64, Flight>,
    pub(super) wires: HashMap<(u64, usize), Wire>,
    pub(super) plans: BTreeMap<Arc<str>, Plan>,
    pub(super) next_flight: u64,
    pub(super) watches: Vec<(usize, u64, u64)>,
    pub(super) finishes: Vec<PendingFinish>,
    pub(super) leaving: BTreeMap<Arc<str>, u64>,
    pub(super) names: BTreeMap<Arc<str>, Vec<Arc<str>>>,
}

impl Sim {
    /// A simulation in which all nodes start at time 0 and the first note is in
    /// the platform.
    pub fn new(deployment: Deployment, mode: Mode, seed: u64) -> Self {
        let mut sim = Self {
            now_us: 0,
            stats: Stats::default(),
            network: Network::default(),
            naming: [0.4, 0.4, 0.2],
            loading: true,
            armed: None,
            met: None,
            mode,
            queue: Queue::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: Vec::new(),
            targets: BTreeMap::new(),
            platform: PlatformFake::default(),
            flights: HashMap::new(),
            wires: HashMap::new(),
            plans: BTreeMap::new(),
            next_flight: 0,
            watches: Vec::new(),
            finishes: Vec::new(),
            leaving: BTreeMap::new(),
            names: BTreeMap::new(),
            deployment,
        };
        sim.add_targets();
        let text = serde_json::to_string(&sim.deployment.note).unwrap_or_default();
        sim.platform.create_note(0, 1, &text);
        for at in 0..sim.deployment.instances {
            sim.add_node(at);
        }
        for load in 0..sim.deployment.loads.len() {
            sim.queue.push(SECOND_US, Event::Arrive(load));
        }
        sim
    }

    /// Runs until a time.
    pub fn run_until(&mut self, until_us: u64) {
        while let Some((at_us, event)) = self.queue.pop(until_us) {
            self.now_us = at_us;
            self.handle(event);
        }
        self.now_us = until_us;
    }

    /// Carries out the next event; false if there is none.
    pub fn step(&mut self) -> bool {
        let Some((at_us, event)) = self.queue.pop(u64::MAX) else {
            return false;
        };
        self.now_us = at_us;
        self.handle(event);
        true
    }

    /// Waits for a moment to be met.
    pub fn arm(&mut self, moment: Moment) {
        self.armed = Some(moment);
        self.met = None;
    }

    /// Where the moment waited for was met, if it was.
    pub fn met(&self) -> Option<Met> {
        self.met
    }

    /// Notes that a moment has come.
    pub(super) fn meet(&mut self, moment: Moment, node: usize, target: Option<&str>) {
        if self.armed != Some(moment) || self.met.is_some() {
            return;
        }
        let number = target.and_then(|target| target.rsplit('-').next()?.parse().ok());
        self.met = Some(Met {
            node,
            target: number,
        });
    }

    /// Runs for a time.
    pub fn run_for(&mut self, time_us: u64) {
        self.run_until(self.now_us + time_us);
    }

    /// Sets what befalls a target.
    pub fn set_fault(&mut self, target: &str, fault: TargetFault) {
        if let Some(target) = self.targets.get_mut(target) {
            target.fault = fault;
        }
    }

    /// Requests that have reached a target.
    pub fn requests_of(&self, target: &str) -> u64 {
        self.targets.get(target).map_or(0, |target| target.requests)
    }

    /// Share of the running nodes that send no regular work to a target.
    pub fn avoiding_share(&self, service: &str, target: &str) -> f64 {
        let running: Vec<&Node> = self
            .nodes
            .iter()
            .filter(|node| node.instance.is_some())
            .collect();
        let avoiding = running
            .iter()
            .filter(|node| self.avoids(node, service, target))
            .count();
        avoiding as f64 / running.len().max(1) as f64
    }

    /// Share of a target's data centre's peers that avoid it: nodes of the first data centre only.
    pub fn avoiding_share_of_first(&self, service: &str, target: &str) -> f64 {
        let first: Vec<&Node> = self
            .nodes
            .iter()
            .filter(|node| node.data_centre == 0)
            .collect();
        let avoiding = first
            .iter()
            .filter(|node| self.avoids(node, service, target))
            .count();
        avoiding as f64 / first.len().max(1) as f64
    }

    /// Numbers of the notes in force at the running nodes.
    pub fn notes(&self) -> Vec<u64> {
        let running = self.nodes.iter().filter_map(|node| node.instance.as_ref());
        running
            .map(|instance| instance.configuration().number)
            .collect()
    }

    /// The submissions that the running nodes have applied, by node.
    pub fn submissions(&self) -> Vec<Vec<(u64, Arc<str>)>> {
        let running = self.nodes.iter().filter_map(|node| node.instance.as_ref());
        let logs = running.map(|instance| &instance.configuration().submissions);
        logs.map(|log| {
            log.iter()
                .map(|(number, name)| (*number, name.clone()))
                .collect()
        })
        .collect()
    }

    /// Calls that the platform has got.
    pub fn platform_calls(&self) -> u64 {
        self.platform.calls
    }

    /// Requests in work.
    pub fn in_work(&self) -> usize {
        self.flights.len()
    }

    fn avoids(&self, node: &Node, service: &str, target: &str) -> bool {
        if self.mode == Mode::RoundRobin {
            return node.baseline.is_ejected(self.now_us, target);
        }
        let Some(instance) = &node.instance else {
            return true;
        };
        let table = instance.shared().table();
        let Some(service) = table.services.get(service) else {
            return true;
        };
        let uses = service.candidates.iter().any(|candidate| {
            let out = matches!(candidate.health, HealthState::Ejected | HealthState::Trial);
            *candidate.target.name == *target && !out
        });
        !uses
    }

    fn add_targets(&mut self) {
        for target in &self.deployment.note.targets.add {
            let load = self
                .deployment
                .loads
                .iter()
                .find(|load| load.service == target.service);
            let (work_us, background) =
                load.map_or((0, 0.0), |load| (load.work_us, load.background));
            let centres = &self.deployment.data_centres;
            let at = centres
                .iter()
                .position(|name| *name == target.data_centre)
                .unwrap_or(0);
            let fake = TargetFake::new(at, target.slots, work_us, background);
            self.targets.insert(target.name.clone(), fake);
            self.names
                .entry(target.service.clone())
                .or_default()
                .push(target.name.clone());
        }
    }

    fn add_node(&mut self, at: usize) {
        let data_centre = at % self.deployment.data_centres.len();
        let member = self.member(at, 1);
        self.platform.members.push(member);
        let targets = self.targets.keys().cloned();
        self.nodes.push(Node {
            instance: None,
            data_centre,
            incarnation: 0,
            paused: false,
            held: Vec::new(),
            sweeps: false,
            waiting: BTreeMap::new(),
            tickets: TicketTable::new("".into(), 0, TICKETS),
            baseline: RoundRobin::new(targets),
            draining: false,
            highest_note: 0,
        });
        self.start(at);
    }

    fn member(&self, at: usize, incarnation: u64) -> Member {
        let data_centre = at % self.deployment.data_centres.len();
        Member {
            id: format!("i-{at:04}").into(),
            data_centre: self.deployment.data_centres[data_centre].clone(),
            caller_address: address(at, 1),
            peer_address: address(at, 2),
            incarnation,
            status: Status::Alive,
        }
    }

    /// Starts a node that does not run.
    pub fn start(&mut self, at: usize) {
        if self.nodes[at].instance.is_some() {
            return;
        }
        let incarnation = self.nodes[at].incarnation + 1 + self.now_us / MILLI_US;
        let member = self.member(at, incarnation);
        let mut settings = policy::Settings::new(member.clone(), self.rng.random());
        settings.evidence = match self.mode {
            Mode::Shared => EvidenceSharing::Owners,
            _ => EvidenceSharing::Alone,
        };
        settings.seeds = (0..self.nodes.len())
            .filter(|other| *other != at)
            .take(5)
            .map(|other| address(other, 2))
            .collect();
        let node = &mut self.nodes[at];
        node.incarnation = incarnation;
        node.tickets = TicketTable::new(member.id, incarnation, TICKETS);
        node.instance = Some(Instance::new(settings));
        node.waiting.clear();
        node.sweeps = false;
        node.held.clear();
        node.paused = false;
        node.draining = false;
        node.highest_note = 0;
        let first_us = self.now_us + self.rng.random_range(0..TICK_US);
        self.queue.push(first_us, Event::Tick(at));
    }

    /// Kills a node: its memory and its requests are gone.
    pub fn kill(&mut self, at: usize) {
        self.nodes[at].instance = None;
        self.nodes[at].held.clear();
        self.nodes[at].incarnation += 1;
        self.watches.retain(|(node, _, _)| *node != at);
        self.finishes.retain(|finish| finish.node != at);
        let planned = self.nodes[at].draining;
        let lost: Vec<u64> = self
            .flights
            .iter()
            .filter(|(_, flight)| flight.node == at)
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            self.stats.cut_by_stop += u64::from(planned);
            self.lose_flight(id);
        }
    }

    /// Stops a node by plan; it ends once its requests have.
    pub fn drain(&mut self, at: usize) {
        self.nodes[at].draining = true;
        self.input(at, Input::Drain);
    }

    /// Whether a draining node has no requests left.
    pub fn is_drained(&self, at: usize) -> bool {
        self.nodes[at].draining && self.flights.values().all(|flight| flight.node != at)
    }

    /// Freezes a node; what happens to it waits.
    pub fn pause(&mut self, at: usize) {
        self.nodes[at].paused = true;
    }

    /// Lets a frozen node go on.
    pub fn resume(&mut self, at: usize) {
        self.nodes[at].paused = false;
        for event in std::mem::take(&mut self.nodes[at].held) {
            self.queue.push(self.now_us, event);
        }
    }

    /// Whether a node runs and is not frozen.
    pub fn is_running(&self, at: usize) -> bool {
        self.nodes[at].instance.is_some() && !self.nodes[at].paused
    }

    /// Sets how the platform behaves.
    pub fn set_platform(&mut self, state: PlatformState) {
        self.platform.state = state;
        if state == PlatformState::Away {
            for (node, _, _) in std::mem::take(&mut self.watches) {
                self.answer_call(node, PlatformAnswer::NotesUnavailable);
            }
        }
        if state == PlatformState::Up {
            for end in std::mem::take(&mut self.finishes) {
                let now_ms = self.now_us / MILLI_US;
                self.platform
                    .finish(now_ms, &end.key, &end.attempt, end.state);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(node) = self.node_of(&event) {
            if self.nodes[node].paused {
                self.nodes[node].held.push(event);
                return;
            }
            if self.nodes[node].instance.is_none() {
                return;
            }
        }
        match event {
            Event::Tick(node) => {
                self.input(node, Input::Tick);
                self.queue.push(self.now_us + TICK_US, Event::Tick(node));
            }
            Event::Deliver(node, envelope) => self.input(node, Input::Received(*envelope)),
            Event::Input(node, input) => self.input(node, *input),
            Event::Call(node, call) => self.call(node, &call),
            Event::Arrive(load) => self.arrive(load),
            Event::Sweep(node) => {
                self.nodes[node].sweeps = false;
                self.sweep(node);
            }
            Event::Reach(id, attempt) => self.reach(id, attempt),
            Event::Worked(id, attempt, status) => self.worked(id, attempt, status as u16),
            Event::Head(id, attempt, status) => self.head(id, attempt, status),
            Event::Failed(id, attempt, failure) => self.failed(id, attempt, failure),
            Event::Slow(id, attempt) => self.slow(id, attempt),
            Event::BodyEnd(id, attempt, whole) => self.body_end(id, attempt, whole),
            Event::Deadline(id) => self.deadline(id),
            Event::Claim(id, tries) => self.claim(id, tries),
            Event::Claimed(id, answer) => self.claimed(id, answer),
            Event::Ask(command) => self.ask(&command),
        }
    }

    /// The node that an event happens at.
    fn node_of(&self, event: &Event) -> Option<usize> {
        match event {
            Event::Tick(node)
            | Event::Deliver(node, _)
            | Event::Input(node, _)
            | Event::Sweep(node) => Some(*node),
            Event::Head(id, _, _)
            | Event::Failed(id, _, _)
            | Event::Slow(id, _)
            | Event::BodyEnd(id, _, _)
            | Event::Deadline(id)
            | Event::Claimed(id, _) => self.flights.get(id).map(|flight| flight.node),
            _ => None,
        }
    }

    /// Gives a node an input and carries out what it asks for.
    pub(super) fn input(&mut self, at: usize, input: Input) {
        let now_us = self.now_us;
        let Some(instance) = &mut self.nodes[at].instance else {
            return;
        };
        let actions = instance.handle(now_us, input);
        let number = instance.configuration().number;
        let applied = number > self.nodes[at].highest_note;
        assert!(
            number >= self.nodes[at].highest_note,
            "the note in force went back"
        );
        self.nodes[at].highest_note = number;
        if applied {
            self.meet(Moment::NoteApplied, at, None);
        }
        for action in actions {
            self.act(at, action);
        }
    }

    fn act(&mut self, at: usize, action: Action) {
        match action {
            Action::Send {
                address, envelope, ..
            } => self.send(at, address, envelope),
            Action::Probe { target, .. } => self.probe(at, &target),
            Action::Call(call) => self
                .queue
                .push(self.now_us + PLATFORM_US, Event::Call(at, call)),
            Action::Log(LogEvent::HealthDecided {
                target,
                health: HealthState::Ejected,
                ..
            }) => self.stats.ejections.push((self.now_us, target)),
            Action::Log(_) | Action::Reread(_) | Action::Permit { .. } => {}
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, envelope: Envelope) {
        let Some(to) = node_at(to).filter(|to| *to < self.nodes.len()) else {
            return;
        };
        if matches!(envelope.message, Message::NewNote { .. }) {
            self.meet(Moment::NoteSpread, to, None);
        }
        let bytes = peers::encode(&envelope).map_or(0, |bytes| bytes.len()) as u64;
        self.stats.messages += 1;
        self.stats.bytes += bytes;
        let kind = self
            .stats
            .by_kind
            .entry(kind_of(&envelope.message))
            .or_default();
        kind.0 += 1;
        kind.1 += bytes;
        let one_way_us = self.one_way_us(self.nodes[from].data_centre, self.nodes[to].data_centre);
        for delay_us in self.network.delays(from, to, one_way_us, &mut self.rng) {
            let event = Event::Deliver(to, Box::new(envelope.clone()));
            self.queue.push(self.now_us + delay_us, event);
        }
    }

    fn probe(&mut self, at: usize, target: &model::configuration::Target) {
        let Some(fake) = self.targets.get(&target.name) else {
            return;
        };
        let good = fake.fault != TargetFault::Dead;
        let way_us = 2 * self.one_way_us(self.nodes[at].data_centre, fake.data_centre);
        let input = Input::Probed {
            service: target.service.clone(),
            target: target.name.clone(),
            good,
        };
        self.queue.push(
            self.now_us + way_us + PROBE_US,
            Event::Input(at, Box::new(input)),
        );
    }

    fn call(&mut self, node: usize, call: &PlatformCall) {
        match self.platform.answer(self.now_us / MILLI_US, call) {
            Some(answer) => self.answer_call(node, answer),
            None => {
                if let PlatformCall::WatchNotes { after, .. } = call {
                    self.watches.push((node, *after, self.now_us + WATCH_US));
                }
            }
        }
        self.end_watches();
    }

    fn answer_call(&mut self, node: usize, answer: PlatformAnswer) {
        let way_us = if self.platform.state == PlatformState::Slow {
            PLATFORM_SLOW_US
        } else {
            PLATFORM_US
        };
        let event = Event::Input(node, Box::new(Input::Platform(answer)));
        self.queue.push(self.now_us + way_us, event);
    }

    /// Answers the watches that have waited long enough or have something to hear.
    pub(super) fn end_watches(&mut self) {
        let now_ms = self.now_us / MILLI_US;
        for (node, after, until_us) in std::mem::take(&mut self.watches) {
            let notes = self.platform.notes_after(now_ms, after);
            if notes.is_empty() && until_us > self.now_us {
                self.watches.push((node, after, until_us));
            } else {
                if !notes.is_empty() {
                    self.meet(Moment::NoteWatched, node, None);
                }
                self.answer_call(node, PlatformAnswer::Notes(notes));
            }
        }
    }

    pub(super) fn one_way_us(&self, from: usize, to: usize) -> u64 {
        if from == to {
            MILLI_US / 4
        } else {
            self.deployment.one_way_us
        }
    }
}

fn address(at: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (at / 250) as u8, (at % 250) as u8], port))
}

fn node_at(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            Some(usize::from(high) * 250 + usize::from(low))
        }
        SocketAddr::V6(_) => None,
    }
}

fn kind_of(message: &Message) -> &'static str {
    match message {
        Message::Ping { .. } | Message::Ack { .. } | Message::PingFor { .. } => "heartbeats",
        Message::Join | Message::Members(_) => "joining",
        Message::Reports(_) | Message::Latencies(_) => "reports",
        Message::HealthDecisions { .. }
        | Message::Alerts { .. }
        | Message::PullSuspects
        | Message::Loads(_)
        | Message::Suspects(_) => "verdicts",
        Message::RequestPermit { .. }
        | Message::PermitAnswer { .. }
        | Message::ReleasePermit { .. } => "permits",
        Message::NewNote { .. }
        | Message::PullNotes { .. }
        | Message::Notes(_)
        | Message::SnapshotPart { .. }
        | Message::Release { .. }
        | Message::Entries { .. }
        | Message::RegistryAnswers { .. }
        | Message::CatchUp { .. }
        | Message::Targets { .. } => "notes",
    }
}
