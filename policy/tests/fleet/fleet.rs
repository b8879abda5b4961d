//! A simulated fleet: instances, the network between them and a registry, without sockets.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use model::configuration::Target;
use policy::Action;
use policy::Input;
use policy::Instance;
use policy::exchange::NoticedTarget;
use policy::exchange::Observation;
use policy::feed::EntryChanges;
use policy::feed::Release;
use policy::feed::TargetEntry;
use policy::instance::ConfigurationSource;
use policy::instance::Envelope;
use policy::instance::EvidenceSharing;
use policy::instance::Message;
use policy::instance::PermitAnswer;
use policy::instance::PermitRequest;
use policy::instance::PlatformAnswer;
use policy::instance::RegistryPart;
use policy::instance::RegistryUpdate;
use policy::membership::Member;
use policy::membership::Status;
use policy::quarantine::Crash;
use policy::quarantine::Fingerprint;
use policy::routing::RoutingTable;
use policy::routing::TargetProcess;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::overload_simulation::StatedDeparture;
use crate::support::service;

pub(crate) const SECOND_US: u64 = 1_000_000;
pub(crate) const INSTANCES: usize = 18;
pub(crate) const TARGETS: usize = 12;

pub(crate) const MS_US: u64 = 1_000;
const TICK_PERIOD_US: u64 = 250 * MS_US;
const POLL_PERIOD_US: u64 = 10 * MS_US;
/// Pause of the follower after it has read changes.
const BATCH_PAUSE_US: u64 = 450 * MS_US;
const PROBE_PERIOD_US: u64 = SECOND_US;
/// A status check takes between one and this number of steps.
const CHECK_STEPS: u64 = 20;
const CHECK_STEP_US: u64 = 10 * MS_US;
/// Pause of the follower after a failed call.
const RETRY_PAUSE_US: u64 = 300 * MS_US;
/// Consecutive failures after which the follower reports the registry as unreachable.
const FAILURES_UNTIL_UNREACHABLE: u32 = 2;
/// Time after the acknowledgement from which a leaving target must not be chosen any more:
/// the users' bound on new work for it, less the time that a request needs to reach it.
const PLACEMENT_BOUND_US: u64 = 1_900 * MS_US;

/// A leaving target that an instance can still choose after the bound: instance, target
/// and time since the acknowledgement in milliseconds.
pub(crate) type LatePlacement = (usize, Arc<str>, u64);

#[derive(Default)]
struct Registry {
    release: Release,
    revision: u64,
    targets: BTreeMap<Arc<str>, Target>,
    changes: Vec<(u64, TargetEntry)>,
    /// Leaving targets and when the registry acknowledged their leaving.
    leaving: Vec<(Arc<str>, u64)>,
}

impl Registry {
    fn put(&mut self, entry: TargetEntry) {
        self.revision += 1;
        match &entry {
            TargetEntry::Present(target) => {
                self.targets.insert(target.name.clone(), target.clone());
            }
            TargetEntry::Removed(name) => {
                self.targets.remove(name);
            }
        }
        self.changes.push((self.revision, entry));
    }
}

/// Model of the task in `sniperund` that follows the registry.
#[derive(Default)]
struct Follower {
    known_revision: Option<u64>,
    next_us: u64,
    next_probe_us: u64,
    failures: u32,
    must_reread: bool,
    known_release: u64,
    must_read_release: bool,
    next_release_us: u64,
}

struct Node {
    instance: Instance,
    follower: Follower,
    outages: Vec<(u64, u64)>,
    is_dead: bool,
    /// Time until which its process is suspended.
    paused_until_us: u64,
    /// Time until which no message passes between it and the others.
    cut_until_us: u64,
}

impl Node {
    fn is_registry_unreachable(&self, now_us: u64) -> bool {
        let mut outages = self.outages.iter();
        outages.any(|(from_us, until_us)| (*from_us..*until_us).contains(&now_us))
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    Poll(usize),
    Deliver(usize),
    Leave,
    Expire,
    Restore,
    /// The status check of a target, by number, ends at an instance.
    Checked(usize, u64, u64),
}

/// A simulated fleet with its network and registry.
pub(crate) struct Fleet {
    now_us: u64,
    nodes: Vec<Node>,
    registry: Registry,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    in_transit: BTreeMap<u64, Envelope>,
    sequence: u64,
    rng: ChaCha8Rng,
    late_placements: Vec<LatePlacement>,
    min_targets_in_use: usize,
    next_target: u64,
    restarted_targets: u64,
    targets: usize,
    seed: u64,
    answers: VecDeque<(u64, PermitAnswer)>,
    retry_answers: VecDeque<(u64, bool)>,
    retry_reserve: Option<f64>,
    /// Status checks so far.
    checks: u64,
    /// When processes of targets leave, end and are replaced.
    departures: Vec<StatedDeparture>,
    /// Instances of a build that does not know permit requests with a priority.
    former_builds: BTreeSet<usize>,
    /// Permit requests with a priority that were sent to them.
    rejected_requests: usize,
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

pub(crate) fn release() -> Release {
    let service = service("gates");
    Release {
        number: 1,
        services: vec![service],
        routes: Vec::new(),
        customers: None,
        idle_limit_ms: None,
    }
}

impl Fleet {
    /// Creates a fleet whose instances have complete member lists, and a registry with
    /// [`TARGETS`] targets.
    pub(crate) fn new(seed: u64) -> Self {
        Self::with_targets(seed, TARGETS)
    }

    /// Creates a fleet with the given number of targets.
    pub(crate) fn with_targets(seed: u64, targets: usize) -> Self {
        Self::with_retry_reserve(seed, targets, None)
    }

    /// Creates a fleet whose instances share a reserve of retries.
    pub(crate) fn with_retry_reserve(
        seed: u64,
        targets: usize,
        retry_reserve: Option<f64>,
    ) -> Self {
        let mut registry = Registry {
            release: release(),
            ..Registry::default()
        };
        for number in 0..targets as u64 {
            registry.put(TargetEntry::Present(target(number, false)));
        }
        let mut fleet = Self {
            now_us: 0,
            nodes: Vec::new(),
            registry,
            events: BinaryHeap::new(),
            in_transit: BTreeMap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            late_placements: Vec::new(),
            min_targets_in_use: targets,
            next_target: targets as u64,
            restarted_targets: 0,
            targets,
            seed,
            answers: VecDeque::new(),
            retry_answers: VecDeque::new(),
            retry_reserve,
            checks: 0,
            departures: Vec::new(),
            former_builds: BTreeSet::new(),
            rejected_requests: 0,
        };
        fleet.start(1);
        for number in 0..INSTANCES {
            let tick_us = fleet.draw(TICK_PERIOD_US);
            fleet.schedule(tick_us, Event::Tick(number));
            let poll_us = fleet.draw(POLL_PERIOD_US);
            fleet.schedule(poll_us, Event::Poll(number));
        }
        fleet
    }

    /// Restarts all instances.
    pub(crate) fn restart(&mut self) {
        let started = self.nodes[0].instance.membership().own().incarnation;
        self.in_transit.clear();
        self.answers.clear();
        self.start(started + 1);
    }

    fn start(&mut self, incarnation: u64) {
        let own = |number: usize| Member {
            incarnation,
            ..member(number)
        };
        self.nodes = (0..INSTANCES)
            .map(|number| self.new_node(own(number)))
            .collect();
        for number in 0..INSTANCES {
            let members: Vec<Member> = (0..INSTANCES).map(own).collect();
            for _ in 0..2 {
                let members = PlatformAnswer::Instances(members.clone());
                self.deliver(number, Input::Platform(members));
            }
            self.deliver_release(number);
        }
    }

    fn new_node(&self, own: Member) -> Node {
        let number = u64::from(own.peer_address.port()) - 1_000;
        let mut settings = policy::Settings::new(own, self.seed + number);
        settings.evidence = EvidenceSharing::Alerts;
        settings.source = ConfigurationSource::Registry;
        settings.shared_retry_reserve = self.retry_reserve;
        Node {
            instance: Instance::new(settings),
            follower: Follower::default(),
            outages: Vec::new(),
            is_dead: false,
            paused_until_us: 0,
            cut_until_us: 0,
        }
    }

    /// Suspends the process of an instance.
    pub(crate) fn pause(&mut self, number: usize, until_us: u64) {
        self.nodes[number].paused_until_us = until_us;
    }

    /// Time until which an instance is suspended, if it is.
    pub(crate) fn paused_until_us(&self, number: usize) -> Option<u64> {
        let until_us = self.nodes[number].paused_until_us;
        (until_us > self.now_us).then_some(until_us)
    }

    /// Cuts an instance off from the others.
    pub(crate) fn cut(&mut self, number: usize, until_us: u64) {
        self.nodes[number].cut_until_us = until_us;
    }

    /// Passes the notices of a target's response to an instance.
    pub(crate) fn notice(&mut self, number: usize, noticed: NoticedTarget) {
        self.deliver(number, Input::Noticed(noticed));
    }

    /// Starts the planned stop of an instance.
    pub(crate) fn drain(&mut self, number: usize) {
        self.deliver(number, Input::Drain);
    }

    /// Ends the process of an instance.
    pub(crate) fn stop(&mut self, number: usize) {
        self.nodes[number].is_dead = true;
    }

    /// Starts a new process of an instance, which knows the other instances and nothing else.
    pub(crate) fn start_again(&mut self, number: usize) {
        let present = |node: &Node| node.instance.membership().own().clone();
        let mut members: Vec<Member> = self.nodes.iter().map(present).collect();
        members[number].incarnation += 1;
        members[number].status = Status::Alive;
        self.nodes[number] = self.new_node(members[number].clone());
        for _ in 0..2 {
            let members = PlatformAnswer::Instances(members.clone());
            self.deliver(number, Input::Platform(members));
        }
        self.deliver_release(number);
    }

    /// Writes a release to the registry.
    pub(crate) fn publish_release(&mut self, release: Release) {
        self.registry.release = release;
    }

    /// Makes the registry unreachable for a period for one instance.
    pub(crate) fn block_registry_for(&mut self, number: usize, from_us: u64, until_us: u64) {
        self.nodes[number].outages.push((from_us, until_us));
    }

    /// Number of the release in force at an instance.
    pub(crate) fn release_in_force(&self, number: usize) -> u64 {
        self.nodes[number].instance.configuration().number
    }

    /// Delivers a message to an instance, as if a peer had sent it.
    pub(crate) fn receive(&mut self, number: usize, envelope: Envelope) {
        self.deliver(number, Input::Received(envelope));
    }

    fn deliver_release(&mut self, number: usize) {
        let release = self.registry.release.clone();
        self.nodes[number].follower.known_release = release.number;
        let update = RegistryUpdate::Release(release);
        self.deliver(number, Input::Registry(update));
    }

    /// Whether an instance counts another one as present.
    pub(crate) fn sees(&self, number: usize, other: usize) -> bool {
        let membership = self.nodes[number].instance.membership();
        membership
            .get(&member(other).id)
            .is_some_and(Member::is_present)
    }

    /// Whether an instance takes requests.
    pub(crate) fn is_ready(&self, number: usize) -> bool {
        let node = &self.nodes[number];
        !node.is_dead && node.instance.is_ready()
    }

    /// Draws a random number below `limit`.
    pub(crate) fn draw(&mut self, limit: u64) -> u64 {
        self.rng.random_range(0..limit)
    }

    /// Schedules a target to leave, with or without an announcement, and a new one to join.
    pub(crate) fn schedule_replacement(&mut self, at_us: u64) {
        self.schedule(at_us, Event::Leave);
    }

    /// Restarts the process of a target under the same name.
    pub(crate) fn restart_target(&mut self, number: u64) {
        self.restarted_targets += 1;
        let restarted = Target {
            incarnation: self.next_target + self.restarted_targets,
            ..target(number, false)
        };
        self.registry.put(TargetEntry::Present(restarted));
    }

    /// Writes the entry of a target.
    pub(crate) fn put_entry(&mut self, number: u64, incarnation: u64, slots: u32, leaving: bool) {
        let entry = Target {
            incarnation,
            slots,
            ..target(number, leaving)
        };
        self.registry.put(TargetEntry::Present(entry));
    }

    /// Removes the entry of a target.
    pub(crate) fn remove_entry(&mut self, number: u64) {
        let name = target(number, false).name;
        self.registry.put(TargetEntry::Removed(name));
    }

    /// Makes the registry unreachable for a period for `count` random instances.
    pub(crate) fn block_registry(&mut self, count: usize, from_us: u64, until_us: u64) {
        let mut numbers: Vec<usize> = (0..INSTANCES).collect();
        while numbers.len() > count {
            let at = self.draw(numbers.len() as u64) as usize;
            numbers.swap_remove(at);
        }
        for number in numbers {
            self.nodes[number].outages.push((from_us, until_us));
        }
    }

    /// Makes the registry unreachable for a period for all instances that are watchers now.
    pub(crate) fn block_registry_for_watchers(&mut self, from_us: u64, until_us: u64) {
        for node in self.nodes.iter_mut() {
            if node.instance.shared().watch_role().is_watcher() {
                node.outages.push((from_us, until_us));
            }
        }
    }

    /// Kills all instances that are watchers of the registry now.
    pub(crate) fn kill_watchers(&mut self) {
        for node in self.nodes.iter_mut() {
            node.is_dead |= node.instance.shared().watch_role().is_watcher();
        }
    }

    /// Schedules all target entries to expire, and to be written again at `back_us`.
    pub(crate) fn expire_entries(&mut self, at_us: u64, back_us: u64) {
        self.schedule(at_us, Event::Expire);
        self.schedule(back_us, Event::Restore);
    }

    /// Returns the routing table of an instance.
    pub(crate) fn table(&self, number: usize) -> Arc<RoutingTable> {
        self.nodes[number].instance.shared().table()
    }

    /// Reports the end of an attempt to an instance.
    pub(crate) fn observe(&mut self, number: usize, observation: Observation) {
        self.deliver(number, Input::Observed(observation));
    }

    /// Reports to an instance that a target's process ended under one of its requests.
    pub(crate) fn report_crash(&mut self, number: usize, crash: Crash) {
        self.deliver(number, Input::Crashed(crash));
    }

    /// Reports to an instance that a target has responded to a request that was at crashes.
    pub(crate) fn clear_request(&mut self, number: usize, fingerprint: Fingerprint) {
        self.deliver(number, Input::RequestCleared(fingerprint));
    }

    /// Whether an instance is suspended, cut off or dead.
    pub(crate) fn is_impaired(&self, number: usize) -> bool {
        let node = &self.nodes[number];
        node.is_dead || self.paused_until_us(number).is_some() || node.cut_until_us > self.now_us
    }

    /// Requests a permit for a request at an instance.
    pub(crate) fn request_permit(&mut self, number: usize, request: PermitRequest) {
        self.deliver(number, Input::RequestPermit(request));
    }

    /// Sets whether an instance is of a build that does not know permit requests with a priority.
    pub(crate) fn set_former_build(&mut self, number: usize, is_former: bool) {
        match is_former {
            true => self.former_builds.insert(number),
            false => self.former_builds.remove(&number),
        };
    }

    /// Returns the number of permit requests with a priority that builds without them were sent.
    pub(crate) fn rejected_requests(&self) -> usize {
        self.rejected_requests
    }

    /// Releases the permit of a request at an instance.
    pub(crate) fn release_permit(&mut self, number: usize, permit: u64, is_timed_out: bool) {
        let ended = Input::ReleasePermit {
            number: permit,
            is_timed_out,
        };
        self.deliver(number, ended);
    }

    /// Asks the peers of an instance to lend a retry to a request.
    pub(crate) fn borrow_retry(&mut self, number: usize, loan: u64) {
        let input = Input::BorrowRetry {
            number: loan,
            service: "gates".into(),
        };
        self.deliver(number, input);
    }

    /// Returns the next answer to a request to borrow a retry.
    pub(crate) fn take_retry_answer(&mut self) -> Option<(u64, bool)> {
        self.retry_answers.pop_front()
    }

    /// Runs until `until_us` or until the next answer to a permit request, or to a request to
    /// borrow a retry.
    pub(crate) fn run_to_answer(&mut self, until_us: u64) -> Option<(u64, PermitAnswer)> {
        while self.answers.is_empty() && self.retry_answers.is_empty() && self.step(until_us) {}
        let answer = self.answers.pop_front();
        if answer.is_none() && self.retry_answers.is_empty() {
            self.now_us = until_us;
        }
        answer
    }

    /// Returns the simulated time in microseconds.
    pub(crate) fn now_us(&self) -> u64 {
        self.now_us
    }

    /// Returns the leaving targets that could still be chosen after the bound.
    pub(crate) fn late_placements(&self) -> &[LatePlacement] {
        &self.late_placements
    }

    /// Returns the fewest targets that any ready instance has had in use.
    pub(crate) fn min_targets_in_use(&self) -> usize {
        self.min_targets_in_use
    }

    /// Runs until `until_us`.
    pub(crate) fn run(&mut self, until_us: u64) {
        while self.step(until_us) {}
        self.now_us = until_us;
    }

    /// Processes the next event. Returns `false` if there is none until `until_us`.
    fn step(&mut self, until_us: u64) -> bool {
        let next = self.events.peek();
        if next.is_none_or(|Reverse((at_us, ..))| *at_us > until_us) {
            return false;
        }
        let Some(Reverse((at_us, sequence, event))) = self.events.pop() else {
            return false;
        };
        self.now_us = at_us;
        if let Event::Tick(number)
        | Event::Poll(number)
        | Event::Deliver(number)
        | Event::Checked(number, ..) = event
            && let Some(until_us) = self.paused_until_us(number)
        {
            // In the order in which they came.
            self.events.push(Reverse((until_us, sequence, event)));
            return true;
        }
        match event {
            Event::Tick(number) => {
                self.deliver(number, Input::Tick);
                self.schedule(at_us + TICK_PERIOD_US, Event::Tick(number));
            }
            Event::Poll(number) => {
                self.poll(number);
                self.poll_release(number);
                self.record_placements(number);
                self.schedule(at_us + POLL_PERIOD_US, Event::Poll(number));
            }
            Event::Deliver(number) => {
                if let Some(envelope) = self.in_transit.remove(&sequence) {
                    self.deliver(number, Input::Received(envelope));
                }
            }
            Event::Checked(number, target, incarnation) => {
                self.end_check(number, target, incarnation)
            }
            Event::Leave => self.leave(),
            Event::Expire => {
                let names: Vec<_> = self.registry.targets.keys().cloned().collect();
                for name in names {
                    self.registry.put(TargetEntry::Removed(name));
                }
            }
            Event::Restore => {
                for number in 0..self.targets as u64 {
                    self.registry
                        .put(TargetEntry::Present(target(number, false)));
                }
            }
        }
        true
    }

    fn schedule(&mut self, at_us: u64, event: Event) -> u64 {
        self.sequence += 1;
        self.events.push(Reverse((at_us, self.sequence, event)));
        self.sequence
    }

    fn leave(&mut self) {
        let ready = self.registry.targets.values();
        let ready: Vec<Target> = ready.filter(|target| !target.leaving).cloned().collect();
        let chosen = ready[self.draw(ready.len() as u64) as usize].clone();
        let entry = match self.rng.random_bool(0.3) {
            true => TargetEntry::Present(Target {
                leaving: true,
                ..chosen.clone()
            }),
            false => TargetEntry::Removed(chosen.name.clone()),
        };
        self.registry.put(entry);
        self.registry.leaving.push((chosen.name, self.now_us));
        let new = target(self.next_target, false);
        self.next_target += 1;
        self.registry.put(TargetEntry::Present(new));
    }

    fn deliver(&mut self, number: usize, input: Input) {
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
                Action::RetryAnswer { number, is_lent } => {
                    self.retry_answers.push_back((number, is_lent));
                }
                Action::CheckDeparture { target, .. } => {
                    let at_us = self.now_us + (1 + self.checks % CHECK_STEPS) * CHECK_STEP_US;
                    self.checks += 1;
                    let target_number = target.name.trim_start_matches('t').parse();
                    let target_number = target_number.expect("targets are numbered");
                    self.schedule(
                        at_us,
                        Event::Checked(number, target_number, target.incarnation),
                    );
                }
                Action::Reread(RegistryPart::Targets) => {
                    self.nodes[number].follower.must_reread = true;
                }
                Action::Reread(RegistryPart::Release) => {
                    self.nodes[number].follower.must_read_release = true;
                }
                Action::Reread(RegistryPart::NewerRelease(newer)) => {
                    let follower = &mut self.nodes[number].follower;
                    follower.must_read_release |= newer > follower.known_release;
                }
                _ => {}
            }
        }
    }

    /// Sets when processes of targets leave, end and are replaced, which they say in responses to
    /// status checks.
    pub(crate) fn set_departures(&mut self, departures: &[StatedDeparture]) {
        self.departures = departures.to_vec();
    }

    /// Number of status checks so far.
    pub(crate) fn checks(&self) -> u64 {
        self.checks
    }

    /// Ends a status check with what the present process of the target says.
    fn end_check(&mut self, number: usize, target: u64, incarnation: u64) {
        let now_us = self.now_us;
        let of_target = |departure: &&StatedDeparture| departure.target as u64 == target;
        let mut departures = self.departures.iter().filter(of_target);
        let is_leaving =
            |departure: &StatedDeparture| (departure.from_us..departure.ends_us).contains(&now_us);
        let is_down =
            |departure: &StatedDeparture| (departure.ends_us..departure.next_us).contains(&now_us);
        let is_leaving = match departures.clone().any(is_down) {
            true => None,
            false => Some(departures.any(is_leaving)),
        };
        let process = TargetProcess {
            target: format!("t{target:03}").into(),
            incarnation,
        };
        let checked = Input::DepartureChecked {
            process,
            is_leaving,
        };
        self.deliver(number, checked);
    }

    fn send(&mut self, to: SocketAddr, envelope: Envelope) {
        let number = usize::from(to.port()) - 1_000;
        let from = envelope.from.trim_start_matches('i').parse::<usize>();
        let ends = [number, from.expect("ids are numbered")];
        if ends
            .iter()
            .any(|end| self.nodes[*end].cut_until_us > self.now_us)
        {
            return;
        }
        if self.former_builds.contains(&number)
            && matches!(envelope.message, Message::RequestRankedPermit { .. })
        {
            self.rejected_requests += 1;
            return;
        }
        let copies = match self.draw(100) {
            0 => 0,
            1 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let is_slow = self.rng.random_bool(0.03);
            let delay_us = (1 + self.draw(6)) * MS_US * if is_slow { 20 } else { 1 };
            let sequence = self.schedule(self.now_us + delay_us, Event::Deliver(number));
            self.in_transit.insert(sequence, envelope.clone());
        }
    }

    /// Reads the release for an instance's follower if it is due.
    fn poll_release(&mut self, number: usize) {
        let now_us = self.now_us;
        let node = &mut self.nodes[number];
        let watches = node.instance.shared().watch_role().is_watcher();
        let is_unreachable = node.is_registry_unreachable(now_us);
        let follower = &mut node.follower;
        let is_newer = follower.known_release < self.registry.release.number;
        let must_call = follower.must_read_release || watches && is_newer;
        if !must_call || now_us < follower.next_release_us {
            return;
        }
        if is_unreachable {
            follower.next_release_us = now_us + RETRY_PAUSE_US;
            follower.failures += 1;
            if follower.failures == FAILURES_UNTIL_UNREACHABLE {
                self.deliver(number, Input::Registry(RegistryUpdate::Reachable(false)));
            }
            return;
        }
        follower.must_read_release = false;
        self.deliver(number, Input::Registry(RegistryUpdate::Reachable(true)));
        self.deliver_release(number);
    }

    /// Makes the registry calls of an instance's follower that are due.
    fn poll(&mut self, number: usize) {
        let now_us = self.now_us;
        let node = &mut self.nodes[number];
        let watches = node.instance.shared().watch_role().is_watcher();
        let is_unreachable = node.is_registry_unreachable(now_us);
        let follower = &mut node.follower;
        if watches && now_us >= follower.next_probe_us {
            follower.next_probe_us = now_us + PROBE_PERIOD_US;
            follower.next_us = follower.next_us.min(now_us);
        }
        let is_first = follower.known_revision.is_none();
        let has_changes = follower.known_revision != Some(self.registry.revision);
        let is_probe = follower.next_probe_us == now_us + PROBE_PERIOD_US;
        let must_call = is_first
            || follower.must_reread
            || follower.failures > 0
            || watches && (has_changes || is_probe || is_unreachable);
        if !must_call || now_us < follower.next_us {
            return;
        }
        if is_unreachable {
            follower.failures += 1;
            follower.next_us = now_us + RETRY_PAUSE_US;
            if follower.failures == FAILURES_UNTIL_UNREACHABLE {
                self.deliver(number, Input::Registry(RegistryUpdate::Reachable(false)));
            }
            return;
        }
        let must_reread = std::mem::take(&mut follower.must_reread) || follower.failures > 0;
        follower.failures = 0;
        follower.next_us = now_us;
        let revision = self.registry.revision;
        let known_revision = follower.known_revision.replace(revision);
        let update = match known_revision {
            Some(after) if !must_reread && after < revision => {
                follower.next_us = now_us + BATCH_PAUSE_US;
                let changes = self.registry.changes.iter();
                let changes = changes.filter(|(at, _)| *at > after);
                Some(RegistryUpdate::Entries(EntryChanges {
                    after,
                    revision,
                    complete_to: revision,
                    entries: changes.map(|(_, entry)| entry.clone()).collect(),
                    retain_ms: 0,
                }))
            }
            Some(_) if !must_reread => None,
            _ => Some(RegistryUpdate::Targets {
                revision,
                targets: self.registry.targets.values().cloned().collect(),
            }),
        };
        self.deliver(number, Input::Registry(RegistryUpdate::Reachable(true)));
        if let Some(update) = update {
            self.deliver(number, Input::Registry(update));
        }
    }

    /// Records leaving targets that an instance can still choose after the bound, and the
    /// fewest targets in use.
    fn record_placements(&mut self, number: usize) {
        let node = &self.nodes[number];
        if node.is_dead || !node.instance.is_ready() {
            return;
        }
        let table = node.instance.shared().table();
        let service = &table.services["gates"];
        let open = service.candidates.iter();
        let open = open.filter(|candidate| !candidate.load.is_closed(self.now_us));
        let open: Vec<&Arc<str>> = open.map(|candidate| &candidate.target.name).collect();
        self.min_targets_in_use = self.min_targets_in_use.min(open.len());
        for (name, acknowledged_us) in &self.registry.leaving {
            let after_us = self.now_us.saturating_sub(*acknowledged_us);
            let is_recorded = |late: &LatePlacement| late.0 == number && late.1 == *name;
            if after_us > PLACEMENT_BOUND_US
                && open.contains(&name)
                && !self.late_placements.iter().any(is_recorded)
            {
                self.late_placements
                    .push((number, name.clone(), after_us / MS_US));
            }
        }
    }
}
