//! A fleet of instances without a network: messages with delay and loss, freezes, cuts, kills.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use model::configuration::Customer;
use model::configuration::Quota;
use policy::Action;
use policy::Input;
use policy::Instance;
use policy::feed::Release;
use policy::instance::ConfigurationSource;
use policy::instance::Envelope;
use policy::instance::EvidenceSharing;
use policy::instance::Message;
use policy::instance::PlatformAnswer;
use policy::instance::RegistryUpdate;
use policy::limits::QuotaDecision;
use policy::limits::QuotaStep;
use policy::limits::QuotaWait;
use policy::membership::Member;
use policy::membership::Status;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::tally::Limit;
use crate::tally::SECOND_US;
use crate::tally::Tally;

const TICK_US: u64 = 250_000;
const TIME_LIMIT_US: u64 = 4 * SECOND_US;
/// Time for which a stopping instance still serves, in microseconds.
const STOP_US: u64 = 3 * SECOND_US;
const FIRST_PORT: usize = 1_000;

#[derive(Debug)]
enum Event {
    Tick {
        node: usize,
        process: u64,
    },
    Deliver {
        node: usize,
        input: Input,
    },
    Request(Waiting),
    /// The wait of a request for an answer or a pause ends.
    Decide {
        node: usize,
        number: u64,
    },
    End {
        node: usize,
        process: u64,
    },
}

/// A request at an instance.
#[derive(Clone, Debug)]
struct Waiting {
    node: usize,
    customer: usize,
    is_below: bool,
    wait: Option<QuotaWait>,
}

struct Node {
    instance: Instance,
    is_up: bool,
    frozen_until_us: u64,
    /// Side of a network partition.
    side: u32,
    process: u64,
    /// Requests that wait, by number, and whether an answer wakes them.
    waiting: BTreeMap<u64, (Waiting, bool)>,
    held: Vec<Event>,
}

/// Conditions of the network.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Network {
    pub(crate) loss: f64,
    pub(crate) is_throttled: bool,
}

pub(crate) struct Fleet {
    pub(crate) now_us: u64,
    pub(crate) rng: ChaCha8Rng,
    nodes: Vec<Node>,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    next_number: u64,
    network: Network,
    pub(crate) tallies: Vec<Tally>,
    pub(crate) sent_messages: usize,
    release: u64,
    /// The customers of the latest release.
    customers: Vec<Customer>,
    /// From when refusals below the quota count.
    pub(crate) counted_from_us: u64,
}

fn member(number: usize, incarnation: u64) -> Member {
    Member {
        id: format!("i-{number}").into(),
        data_centre: format!("dc-{}", number % 3).into(),
        caller_address: SocketAddr::from(([10, 0, 0, 1], 80)),
        peer_address: SocketAddr::from(([10, 0, 0, 1], (FIRST_PORT + number) as u16)),
        incarnation,
        status: Status::Alive,
    }
}

fn customer(number: usize, limit: Limit) -> Customer {
    Customer {
        quota: Some(Quota {
            rate_milli: (limit.rate_per_s * 1e3) as u64,
            burst: limit.burst as u32,
        }),
        ..Customer::new(format!("c-{number}").into(), 10_000)
    }
}

impl Fleet {
    pub(crate) fn new(seed: u64, instances: usize, limits: &[Limit], network: Network) -> Self {
        let customers = limits.iter().enumerate();
        let mut fleet = Self {
            now_us: SECOND_US,
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: Vec::new(),
            events: BTreeMap::new(),
            next_event: 0,
            next_number: 0,
            network,
            tallies: limits.iter().map(|limit| Tally::new(*limit)).collect(),
            sent_messages: 0,
            release: 1,
            customers: customers
                .map(|(number, limit)| customer(number, *limit))
                .collect(),
            counted_from_us: 0,
        };
        for number in 0..instances {
            let node = fleet.new_node(number, instances, true);
            fleet.nodes.push(node);
        }
        for number in 0..instances {
            fleet.begin(number);
        }
        fleet
    }

    fn new_node(&mut self, number: usize, instances: usize, is_first_start: bool) -> Node {
        let incarnation = self.now_us / 1_000;
        let mut settings = policy::Settings::new(member(number, incarnation), self.rng.random());
        settings.evidence = EvidenceSharing::Alerts;
        settings.source = ConfigurationSource::Registry;
        settings.is_first_start = is_first_start;
        settings.seeds = (0..instances.min(3))
            .map(|number| member(number, 0).peer_address)
            .collect();
        Node {
            instance: Instance::new(settings),
            is_up: true,
            frozen_until_us: 0,
            side: 0,
            process: self.rng.random(),
            waiting: BTreeMap::new(),
            held: Vec::new(),
        }
    }

    /// Gives a started instance the configuration and the list of instances.
    fn begin(&mut self, number: usize) {
        let release = self.release();
        self.deliver(number, Input::Registry(RegistryUpdate::Release(release)));
        let targets = RegistryUpdate::Targets {
            revision: 1,
            targets: Vec::new(),
        };
        self.deliver(number, Input::Registry(targets));
        let up = (0..self.nodes.len()).filter(|other| self.nodes[*other].is_up);
        let members: Vec<Member> = up
            .map(|other| self.nodes[other].instance.membership().own().clone())
            .collect();
        self.deliver(number, Input::Platform(PlatformAnswer::Instances(members)));
        let process = self.nodes[number].process;
        let first_us = self.now_us + self.rng.random_range(0..TICK_US);
        let tick = Event::Tick {
            node: number,
            process,
        };
        self.push(first_us, tick);
    }

    fn release(&self) -> Release {
        Release {
            number: self.release,
            services: Vec::new(),
            routes: Vec::new(),
            customers: Some(self.customers.clone()),
            idle_limit_ms: None,
        }
    }

    pub(crate) fn instances(&self) -> usize {
        self.nodes.len()
    }

    pub(crate) fn is_up(&self, number: usize) -> bool {
        self.nodes[number].is_up
    }

    /// The instance that most others report to.
    pub(crate) fn owner(&self) -> usize {
        let key: Arc<str> = "sniperun-quotas".into();
        let up = (0..self.nodes.len()).filter(|number| self.nodes[*number].is_up);
        up.max_by_key(|number| policy::rendezvous::weight(&member(*number, 0).id, &key))
            .unwrap_or(0)
    }

    pub(crate) fn kill(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        node.is_up = false;
        node.waiting.clear();
        node.held.clear();
    }

    pub(crate) fn stop(&mut self, number: usize) {
        self.deliver(number, Input::Drain);
        let process = self.nodes[number].process;
        let end = Event::End {
            node: number,
            process,
        };
        self.push(self.now_us + STOP_US, end);
    }

    pub(crate) fn start(&mut self, number: usize) {
        let instances = self.nodes.len();
        self.nodes[number] = self.new_node(number, instances, false);
        self.begin(number);
    }

    pub(crate) fn freeze(&mut self, number: usize, for_us: u64) {
        self.nodes[number].frozen_until_us = self.now_us + for_us;
    }

    /// Puts an instance on a side of a network partition.
    pub(crate) fn cut(&mut self, number: usize, side: u32) {
        self.nodes[number].side = side;
    }

    /// Changes the quota of a customer; the instances learn of it one after the other.
    pub(crate) fn change_limit(&mut self, number: usize, rate_per_s: f64, burst: f64) {
        let limit = Limit {
            from_us: self.now_us,
            rate_per_s,
            burst,
        };
        self.tallies[number].limits.push(limit);
        self.customers[number] = customer(number, limit);
        self.release += 1;
        for node in 0..self.nodes.len() {
            let input = Input::Registry(RegistryUpdate::Release(self.release()));
            let at_us = self.now_us + self.rng.random_range(1_000..400_000);
            self.push(at_us, Event::Deliver { node, input });
        }
    }

    /// Sends a request of a customer to an instance.
    pub(crate) fn send_request(&mut self, node: usize, customer: usize) {
        let is_below = self.tallies[customer].record_offered(self.now_us);
        let request = Waiting {
            node,
            customer,
            is_below: is_below && self.now_us >= self.counted_from_us,
            wait: None,
        };
        self.push(self.now_us, Event::Request(request));
    }

    fn push(&mut self, at_us: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((at_us, self.next_event), event);
    }

    /// Runs until a time.
    pub(crate) fn run_until(&mut self, until_us: u64) {
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= until_us
        {
            let ((at_us, _), event) = entry.remove_entry();
            self.now_us = self.now_us.max(at_us);
            self.handle(event);
        }
        self.now_us = until_us;
    }

    fn handle(&mut self, event: Event) {
        let number = match &event {
            Event::Tick { node, .. }
            | Event::Deliver { node, .. }
            | Event::Decide { node, .. }
            | Event::End { node, .. } => *node,
            Event::Request(request) => request.node,
        };
        let node = &self.nodes[number];
        if !node.is_up {
            return;
        }
        if node.frozen_until_us > self.now_us {
            // A frozen process finds everything that has happened when it resumes, in order.
            let at_us = node.frozen_until_us;
            return self.push(at_us, event);
        }
        match event {
            Event::Tick { process, .. } if process == node.process => {
                self.deliver(number, Input::Tick);
                self.push(self.now_us + TICK_US, event);
            }
            Event::End { process, .. } if process == node.process => self.kill(number),
            Event::Deliver { input, .. } => self.deliver(number, input),
            Event::Request(mut request) => {
                request.wait = Some(QuotaWait::new(self.now_us, self.now_us + TIME_LIMIT_US));
                self.next_number += 1;
                self.decide(self.next_number, request);
            }
            Event::Decide {
                number: waiting, ..
            } => {
                if let Some((request, _)) = self.nodes[number].waiting.remove(&waiting) {
                    self.decide(waiting, request);
                }
            }
            Event::Tick { .. } | Event::End { .. } => {}
        }
    }

    fn decide(&mut self, number: u64, request: Waiting) {
        let node = &mut self.nodes[request.node];
        let shared = node.instance.shared().clone();
        let configuration = node.instance.configuration();
        let name: Arc<str> = format!("c-{}", request.customer).into();
        let Some(customer) = configuration.customers.get(&name).cloned() else {
            return;
        };
        let decision = shared.quota_gate().admit(self.now_us, &customer);
        if decision
            == (QuotaDecision::Admitted {
                is_report_due: true,
            })
        {
            self.deliver(request.node, Input::QuotaAsked);
        }
        let Some(wait) = request.wait else { return };
        let step = wait.next(self.now_us, decision);
        let tally = &mut self.tallies[request.customer];
        let (until_us, is_asking) = match step {
            QuotaStep::Proceed => {
                tally.below += usize::from(request.is_below);
                return tally.record_admitted(self.now_us);
            }
            QuotaStep::Refuse { .. } => {
                tally.below += usize::from(request.is_below);
                tally.below_refused += usize::from(request.is_below);
                return;
            }
            QuotaStep::Ask { until_us } => (until_us, true),
            QuotaStep::Pause { until_us } => (until_us, false),
        };
        let node = request.node;
        let waiting = &mut self.nodes[node].waiting;
        waiting.insert(number, (request, is_asking));
        self.push(until_us, Event::Decide { node, number });
        if is_asking {
            self.deliver(node, Input::QuotaAsked);
        }
    }

    fn deliver(&mut self, number: usize, input: Input) {
        let node = &mut self.nodes[number];
        if !node.is_up {
            return;
        }
        for action in node.instance.handle(self.now_us, input) {
            match action {
                Action::Send {
                    address, envelope, ..
                } => self.send(number, address, envelope),
                Action::QuotaAnswered => self.wake(number),
                _ => {}
            }
        }
    }

    fn wake(&mut self, node: usize) {
        let waiting = self.nodes[node].waiting.iter();
        let asking = waiting.filter(|(_, (_, is_asking))| *is_asking);
        let asking: Vec<u64> = asking.map(|(number, _)| *number).collect();
        for number in asking {
            self.push(self.now_us, Event::Decide { node, number });
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, envelope: Envelope) {
        if matches!(
            envelope.message,
            Message::QuotaReport { .. } | Message::QuotaAnswer { .. }
        ) {
            self.sent_messages += 1;
        }
        let to = usize::from(to.port()) - FIRST_PORT;
        let is_cut = self.nodes[from].side != self.nodes[to].side;
        if is_cut || self.rng.random_bool(self.network.loss) {
            return;
        }
        let mut delay_us = self.rng.random_range(1_400..3_900);
        if self.network.is_throttled && self.rng.random_bool(0.05) {
            delay_us += self.rng.random_range(0..100_000);
        }
        let input = Input::Received(envelope);
        self.push(self.now_us + delay_us, Event::Deliver { node: to, input });
    }
}
