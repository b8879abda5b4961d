//! The simulation: nodes (simulated instances), targets, the platform and the network, driven
//! by one event queue.

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
use super::InjectionPoint;
use super::InjectionSite;
use super::MILLI_US;
use super::Network;
use super::PlatformState;
use super::Queue;
use super::RoundRobin;
use super::SECOND_US;
use super::Stats;
use super::TargetFault;
use super::active_request::ActiveRequest;
use super::active_request::CommandIdentity;
use super::node::Node;
use super::platform_fake::PlatformFake;
use super::target_fake::TargetFake;

const PROBE_LATENCY_US: u64 = 25 * MILLI_US;
const PLATFORM_LATENCY_US: u64 = 2 * MILLI_US;
const SLOW_PLATFORM_LATENCY_US: u64 = 2 * SECOND_US;
const WATCH_TIMEOUT_US: u64 = 20 * SECOND_US;
const TICKET_CAPACITY: usize = 10_000;

/// Algorithm by which instances choose and eject targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Round robin with ejection after consecutive failures; each instance uses only its own requests.
    RoundRobin,
    /// The decision code of `policy`, without evidence from other instances.
    Alone,
    /// The decision code of `policy`, with evidence shared between instances.
    Shared,
}

/// A command that its caller may still retry.
#[derive(Clone, Debug)]
pub(super) struct PendingCommand {
    pub(super) service: Arc<str>,
    pub(super) identity: CommandIdentity,
    pub(super) attempts: u32,
}

/// Outcome of a claimed command that could not yet be recorded in the platform.
#[derive(Clone, Debug)]
pub(super) struct UnrecordedOutcome {
    pub(super) node: usize,
    pub(super) key: Arc<str>,
    pub(super) attempt: Arc<str>,
    pub(super) state: ClaimState,
}

/// A request sent to a target. It reaches the target even if the caller's request has ended by then.
#[derive(Clone, Debug)]
pub(super) struct SentRequest {
    pub(super) target: Arc<str>,
    pub(super) command: Option<Arc<str>>,
    pub(super) data_centre: usize,
}

/// A simulated fleet with its targets, network and platform.
pub struct Sim {
    /// Simulated time in microseconds.
    pub now_us: u64,
    /// Counters and latencies of the run.
    pub stats: Stats,
    /// Links between nodes.
    pub network: Network,
    /// Shares of commands that are identified by a key, by a ticket, and not at all.
    pub identity_shares: [f64; 3],
    /// Whether new requests are generated.
    pub load_enabled: bool,
    armed_point: Option<InjectionPoint>,
    reached_site: Option<InjectionSite>,
    pub(super) deployment: Deployment,
    pub(super) mode: Mode,
    pub(super) queue: Queue,
    pub(super) rng: ChaCha8Rng,
    pub(super) nodes: Vec<Node>,
    pub(super) targets: BTreeMap<Arc<str>, TargetFake>,
    pub(super) platform: PlatformFake,
    pub(super) active_requests: HashMap<u64, ActiveRequest>,
    pub(super) sent_requests: HashMap<(u64, usize), SentRequest>,
    pub(super) pending_commands: BTreeMap<Arc<str>, PendingCommand>,
    pub(super) next_request_id: u64,
    pub(super) watches: Vec<(usize, u64, u64)>,
    pub(super) unrecorded_outcomes: Vec<UnrecordedOutcome>,
    pub(super) leaving: BTreeMap<Arc<str>, u64>,
    pub(super) target_names: BTreeMap<Arc<str>, Vec<Arc<str>>>,
}

impl Sim {
    /// Creates a simulation in which all nodes start at time 0 and the platform
    /// holds the first note.
    pub fn new(deployment: Deployment, mode: Mode, seed: u64) -> Self {
        let mut sim = Self {
            now_us: 0,
            stats: Stats::default(),
            network: Network::default(),
            identity_shares: [0.4, 0.4, 0.2],
            load_enabled: true,
            armed_point: None,
            reached_site: None,
            mode,
            queue: Queue::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: Vec::new(),
            targets: BTreeMap::new(),
            platform: PlatformFake::default(),
            active_requests: HashMap::new(),
            sent_requests: HashMap::new(),
            pending_commands: BTreeMap::new(),
            next_request_id: 0,
            watches: Vec::new(),
            unrecorded_outcomes: Vec::new(),
            leaving: BTreeMap::new(),
            target_names: BTreeMap::new(),
            deployment,
        };
        sim.add_targets();
        let text = serde_json::to_string(&sim.deployment.note).unwrap_or_default();
        sim.platform.create_note(0, 1, &text);
        for at in 0..sim.deployment.instances {
            sim.add_node(at);
        }
        for load in 0..sim.deployment.loads.len() {
            sim.queue.push(SECOND_US, Event::NewRequest(load));
        }
        sim
    }

    /// Runs all events due by `until_us` and advances the clock to it.
    pub fn run_until(&mut self, until_us: u64) {
        while let Some((at_us, event)) = self.queue.pop(until_us) {
            self.now_us = at_us;
            self.handle(event);
        }
        self.now_us = until_us;
    }

    /// Handles the next event. Returns false if the queue is empty.
    pub fn step(&mut self) -> bool {
        let Some((at_us, event)) = self.queue.pop(u64::MAX) else {
            return false;
        };
        self.now_us = at_us;
        self.handle(event);
        true
    }

    /// Arms an injection point, so that the first time it is reached is recorded.
    pub fn arm(&mut self, point: InjectionPoint) {
        self.armed_point = Some(point);
        self.reached_site = None;
    }

    /// Returns the site at which the armed injection point was reached, or `None` if it has
    /// not been reached.
    pub fn reached_site(&self) -> Option<InjectionSite> {
        self.reached_site
    }

    /// Records that an injection point was reached, if it is the armed one and was not reached
    /// before.
    pub(super) fn reach_point(&mut self, point: InjectionPoint, node: usize, target: Option<&str>) {
        if self.armed_point != Some(point) || self.reached_site.is_some() {
            return;
        }
        let number = target.and_then(|target| target.rsplit('-').next()?.parse().ok());
        self.reached_site = Some(InjectionSite {
            node,
            target: number,
        });
    }

    /// Runs for `time_us` of simulated time.
    pub fn run_for(&mut self, time_us: u64) {
        self.run_until(self.now_us + time_us);
    }

    /// Sets the fault of a target.
    pub fn set_fault(&mut self, target: &str, fault: TargetFault) {
        if let Some(target) = self.targets.get_mut(target) {
            target.fault = fault;
        }
    }

    /// Returns the number of requests that have reached a target.
    pub fn requests_of(&self, target: &str) -> u64 {
        self.targets.get(target).map_or(0, |target| target.requests)
    }

    /// Returns the share of the running nodes that send no regular requests to a target.
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

    /// Returns the share of the nodes in the first data centre that avoid a target.
    pub fn avoiding_share_in_first_data_centre(&self, service: &str, target: &str) -> f64 {
        let local: Vec<&Node> = self
            .nodes
            .iter()
            .filter(|node| node.data_centre == 0)
            .collect();
        let avoiding = local
            .iter()
            .filter(|node| self.avoids(node, service, target))
            .count();
        avoiding as f64 / local.len().max(1) as f64
    }

    /// Returns the numbers of the notes in force at the running nodes.
    pub fn notes(&self) -> Vec<u64> {
        let running = self.nodes.iter().filter_map(|node| node.instance.as_ref());
        running
            .map(|instance| instance.configuration().number)
            .collect()
    }

    /// Returns the submissions that each running node has applied, with their note numbers.
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

    /// Returns the number of calls that the platform has received.
    pub fn platform_calls(&self) -> u64 {
        self.platform.calls
    }

    /// Returns the number of requests in progress.
    pub fn in_flight(&self) -> usize {
        self.active_requests.len()
    }

    fn avoids(&self, node: &Node, service: &str, target: &str) -> bool {
        if self.mode == Mode::RoundRobin {
            return node.round_robin.is_ejected(self.now_us, target);
        }
        let Some(instance) = &node.instance else {
            return true;
        };
        let table = instance.shared().table();
        let Some(service) = table.services.get(service) else {
            return true;
        };
        let is_used = service.candidates.iter().any(|candidate| {
            let is_out = matches!(candidate.health, HealthState::Ejected | HealthState::Trial);
            *candidate.target.name == *target && !is_out
        });
        !is_used
    }

    fn add_targets(&mut self) {
        for target in &self.deployment.note.targets.add {
            let load = self
                .deployment
                .loads
                .iter()
                .find(|load| load.service == target.service);
            let (work_us, baseline_error_rate) =
                load.map_or((0, 0.0), |load| (load.work_us, load.baseline_error_rate));
            let data_centres = &self.deployment.data_centres;
            let data_centre = data_centres
                .iter()
                .position(|name| *name == target.data_centre)
                .unwrap_or(0);
            let fake = TargetFake::new(data_centre, target.slots, work_us, baseline_error_rate);
            self.targets.insert(target.name.clone(), fake);
            self.target_names
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
            is_paused: false,
            held_events: Vec::new(),
            is_poll_scheduled: false,
            queues: BTreeMap::new(),
            tickets: TicketTable::new("".into(), 0, TICKET_CAPACITY),
            round_robin: RoundRobin::new(targets),
            is_draining: false,
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

    /// Starts a node unless it is running.
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
        node.tickets = TicketTable::new(member.id, incarnation, TICKET_CAPACITY);
        node.instance = Some(Instance::new(settings));
        node.queues.clear();
        node.is_poll_scheduled = false;
        node.held_events.clear();
        node.is_paused = false;
        node.is_draining = false;
        node.highest_note = 0;
        let first_us = self.now_us + self.rng.random_range(0..TICK_US);
        self.queue.push(first_us, Event::Tick(at));
    }

    /// Kills a node, which loses its state and aborts its requests.
    pub fn kill(&mut self, at: usize) {
        self.nodes[at].instance = None;
        self.nodes[at].held_events.clear();
        self.nodes[at].incarnation += 1;
        self.watches.retain(|(node, _, _)| *node != at);
        self.unrecorded_outcomes.retain(|record| record.node != at);
        let is_planned = self.nodes[at].is_draining;
        let lost_requests: Vec<u64> = self
            .active_requests
            .iter()
            .filter(|(_, request)| request.node == at)
            .map(|(id, _)| *id)
            .collect();
        for id in lost_requests {
            self.stats.cut_by_stop += u64::from(is_planned);
            self.abort_request(id);
        }
    }

    /// Starts a planned stop of a node, which drains its requests.
    pub fn drain(&mut self, at: usize) {
        self.nodes[at].is_draining = true;
        self.handle_input(at, Input::Drain);
    }

    /// Whether a node is draining and has no requests left.
    pub fn is_drained(&self, at: usize) -> bool {
        self.nodes[at].is_draining
            && self
                .active_requests
                .values()
                .all(|request| request.node != at)
    }

    /// Pauses a node. Its events are held until it resumes.
    pub fn pause(&mut self, at: usize) {
        self.nodes[at].is_paused = true;
    }

    /// Resumes a paused node and delivers the held events.
    pub fn resume(&mut self, at: usize) {
        self.nodes[at].is_paused = false;
        for event in std::mem::take(&mut self.nodes[at].held_events) {
            self.queue.push(self.now_us, event);
        }
    }

    /// Whether a node is running and not paused.
    pub fn is_running(&self, at: usize) -> bool {
        self.nodes[at].instance.is_some() && !self.nodes[at].is_paused
    }

    /// Sets the state of the platform.
    pub fn set_platform(&mut self, state: PlatformState) {
        self.platform.state = state;
        if state == PlatformState::Away {
            for (node, _, _) in std::mem::take(&mut self.watches) {
                self.answer_call(node, PlatformAnswer::NotesUnavailable);
            }
        }
        if state == PlatformState::Up {
            for record in std::mem::take(&mut self.unrecorded_outcomes) {
                let now_ms = self.now_us / MILLI_US;
                self.platform
                    .finish(now_ms, &record.key, &record.attempt, record.state);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(node) = self.node_of(&event) {
            if self.nodes[node].is_paused {
                self.nodes[node].held_events.push(event);
                return;
            }
            if self.nodes[node].instance.is_none() {
                return;
            }
        }
        match event {
            Event::Tick(node) => {
                self.handle_input(node, Input::Tick);
                self.queue.push(self.now_us + TICK_US, Event::Tick(node));
            }
            Event::Deliver(node, envelope) => self.handle_input(node, Input::Received(*envelope)),
            Event::Input(node, input) => self.handle_input(node, *input),
            Event::Call(node, call) => self.call_platform(node, &call),
            Event::NewRequest(load) => self.generate_request(load),
            Event::PollQueues(node) => {
                self.nodes[node].is_poll_scheduled = false;
                self.poll_queues(node);
            }
            Event::RequestArrived(id, attempt) => self.handle_request_arrival(id, attempt),
            Event::WorkDone(id, attempt, status) => self.finish_work(id, attempt, status as u16),
            Event::ResponseHead(id, attempt, status) => {
                self.handle_response_head(id, attempt, status)
            }
            Event::AttemptFailed(id, attempt, failure) => {
                self.handle_attempt_failure(id, attempt, failure)
            }
            Event::Overdue(id, attempt) => self.handle_overdue(id, attempt),
            Event::BodyEnd(id, attempt, complete) => self.handle_body_end(id, attempt, complete),
            Event::Deadline(id) => self.handle_deadline(id),
            Event::ClaimArrived(id, attempt) => self.claim_key(id, attempt),
            Event::ClaimAnswered(id, answer) => self.handle_claim_answer(id, answer),
            Event::SubmitCommand(command) => self.submit_command(&command),
        }
    }

    /// Returns the node that handles an event, or `None` if no node does.
    fn node_of(&self, event: &Event) -> Option<usize> {
        match event {
            Event::Tick(node)
            | Event::Deliver(node, _)
            | Event::Input(node, _)
            | Event::PollQueues(node) => Some(*node),
            Event::ResponseHead(id, _, _)
            | Event::AttemptFailed(id, _, _)
            | Event::Overdue(id, _)
            | Event::BodyEnd(id, _, _)
            | Event::Deadline(id)
            | Event::ClaimAnswered(id, _) => {
                self.active_requests.get(id).map(|request| request.node)
            }
            _ => None,
        }
    }

    /// Passes an input to a node and executes the resulting actions.
    pub(super) fn handle_input(&mut self, at: usize, input: Input) {
        let now_us = self.now_us;
        let Some(instance) = &mut self.nodes[at].instance else {
            return;
        };
        let actions = instance.handle(now_us, input);
        let number = instance.configuration().number;
        let applied = number > self.nodes[at].highest_note;
        assert!(
            number >= self.nodes[at].highest_note,
            "the note in force was reverted to a lower number"
        );
        self.nodes[at].highest_note = number;
        if applied {
            self.reach_point(InjectionPoint::NoteApplied, at, None);
        }
        for action in actions {
            self.execute(at, action);
        }
    }

    fn execute(&mut self, at: usize, action: Action) {
        match action {
            Action::Send {
                address, envelope, ..
            } => self.send(at, address, envelope),
            Action::Probe { target, .. } => self.probe(at, &target),
            Action::Call(call) => self
                .queue
                .push(self.now_us + PLATFORM_LATENCY_US, Event::Call(at, call)),
            Action::Log(LogEvent::HealthDecided {
                target,
                health: HealthState::Ejected,
                ..
            }) => self.stats.ejections.push((self.now_us, target)),
            Action::Log(_)
            | Action::Reread(_)
            | Action::CheckDeparture { .. }
            | Action::Permit { .. }
            | Action::RetryAnswer { .. }
            | Action::QuotaAnswered => {}
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, envelope: Envelope) {
        let Some(to) = node_of_address(to).filter(|to| *to < self.nodes.len()) else {
            return;
        };
        if matches!(envelope.message, Message::NewNote { .. }) {
            self.reach_point(InjectionPoint::NoteBroadcast, to, None);
        }
        let bytes = peers::encode(&envelope).map_or(0, |bytes| bytes.len()) as u64;
        self.stats.messages += 1;
        self.stats.bytes += bytes;
        let totals = self
            .stats
            .by_category
            .entry(category_of(&envelope.message))
            .or_default();
        totals.0 += 1;
        totals.1 += bytes;
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
        let round_trip_us = 2 * self.one_way_us(self.nodes[at].data_centre, fake.data_centre);
        let input = Input::Probed {
            service: target.service.clone(),
            target: target.name.clone(),
            good,
        };
        self.queue.push(
            self.now_us + round_trip_us + PROBE_LATENCY_US,
            Event::Input(at, Box::new(input)),
        );
    }

    fn call_platform(&mut self, node: usize, call: &PlatformCall) {
        match self.platform.answer(self.now_us / MILLI_US, call) {
            Some(answer) => self.answer_call(node, answer),
            None => {
                if let PlatformCall::WatchNotes { after, .. } = call {
                    self.watches
                        .push((node, *after, self.now_us + WATCH_TIMEOUT_US));
                }
            }
        }
        self.complete_watches();
    }

    fn answer_call(&mut self, node: usize, answer: PlatformAnswer) {
        let latency_us = if self.platform.state == PlatformState::Slow {
            SLOW_PLATFORM_LATENCY_US
        } else {
            PLATFORM_LATENCY_US
        };
        let event = Event::Input(node, Box::new(Input::Platform(answer)));
        self.queue.push(self.now_us + latency_us, event);
    }

    /// Answers the watches that have timed out or have new notes.
    pub(super) fn complete_watches(&mut self) {
        let now_ms = self.now_us / MILLI_US;
        for (node, after, until_us) in std::mem::take(&mut self.watches) {
            let notes = self.platform.notes_after(now_ms, after);
            if notes.is_empty() && until_us > self.now_us {
                self.watches.push((node, after, until_us));
            } else {
                if !notes.is_empty() {
                    self.reach_point(InjectionPoint::NoteWatched, node, None);
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

fn address(node: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (node / 250) as u8, (node % 250) as u8], port))
}

fn node_of_address(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            Some(usize::from(high) * 250 + usize::from(low))
        }
        SocketAddr::V6(_) => None,
    }
}

fn category_of(message: &Message) -> &'static str {
    match message {
        Message::Ping { .. } | Message::Ack { .. } | Message::PingFor { .. } => "heartbeats",
        Message::Join | Message::Members(_) | Message::MemberChanged { .. } => "joining",
        Message::Reports(_)
        | Message::Latencies(_)
        | Message::LatencySamples(_)
        | Message::LatencyProfiles { .. } => "reports",
        Message::HealthDecisions { .. }
        | Message::Alerts { .. }
        | Message::PullSuspects
        | Message::Loads(_)
        | Message::TargetCrashed { .. }
        | Message::RequestCleared { .. }
        | Message::PullCrashCases
        | Message::CrashCases { .. }
        | Message::Suspects(_) => "verdicts",
        Message::RequestPermit { .. }
        | Message::RequestRankedPermit { .. }
        | Message::PermitAnswer { .. }
        | Message::RegisterPermits { .. }
        | Message::RateLimits { .. }
        | Message::Departures { .. }
        | Message::ReleasePermit { .. }
        | Message::BorrowRetry { .. }
        | Message::RetryAnswer { .. }
        | Message::QuotaReport { .. }
        | Message::QuotaAnswer { .. } => "permits",
        Message::NewNote { .. }
        | Message::PullNotes { .. }
        | Message::Notes(_)
        | Message::SnapshotPart { .. }
        | Message::Release { .. }
        | Message::ReleaseWithAccess { .. }
        | Message::Entries { .. }
        | Message::RegistryAnswers { .. }
        | Message::CatchUp { .. }
        | Message::PullRelease(_)
        | Message::ReleasePart(_)
        | Message::Targets { .. } => "notes",
    }
}
