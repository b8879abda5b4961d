//! Discrete events: requests arrive at instances, which choose among targets with queues.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::sync::Arc;

use derive_more::Display;
use model::configuration::Target;
use policy::evidence::HealthState;
use policy::routing::Candidate;
use policy::routing::Subset;
use policy::routing::SubsetPlace;
use policy::routing::TargetLoad;
use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use super::knowledge::OwnViews;
use super::knowledge::Reports;
use super::target_queue::Arrival;
use super::target_queue::Request;
use super::target_queue::SLOTS;
use super::target_queue::TargetQueue;

const MEAN_WORK_US: f64 = 230_000.0;
/// Spread of the logarithm of a service time: the largest of 10,000 is about eight times the mean.
const WORK_SIGMA: f64 = 0.7;
/// Spread of the logarithm of an instance's share of the callers.
const CALLERS_SIGMA: f64 = 0.5;
const WARM_UP_S: f64 = 2.0;
/// Window in which the busiest target is compared with the mean.
const WINDOW_US: u64 = 5_000_000;
const LATENCY_TO_TARGET_US: u64 = 1_400;

/// How an instance chooses a target.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum Policy {
    #[display("oracle")]
    Oracle,
    #[display("two choices of all, own view")]
    Present,
    #[display("two choices of the subset, own view")]
    Subset,
    #[display("subset, idle first, all if none is idle")]
    SubsetIdleFirst,
    #[display("subset, idle with a response in 250 ms first")]
    SubsetFreshFirst,
    #[display("subset, idle for longest first")]
    SubsetLongestIdle,
    #[display("subset, cheapest of the half idle for longest")]
    SubsetCheapestHalf,
    #[display("two choices of all, reports")]
    Reports,
    #[display("interpretation by age, reports")]
    Interpretation,
}

/// One cell of the table.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scenario {
    pub(super) instances: usize,
    pub(super) targets: usize,
    pub(super) seconds: f64,
    pub(super) load: f64,
    pub(super) policy: Policy,
    /// Time between reports.
    pub(super) age_ms: u64,
}

/// Results of a scenario.
#[derive(Debug, Default)]
pub(super) struct Measured {
    pub(super) busiest_over_mean: f64,
    pub(super) refused_per_mille: f64,
    pub(super) wait_ms: f64,
    pub(super) wait_p99_ms: f64,
    pub(super) response_ms: f64,
    pub(super) new_connections: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Finish {
        instance: usize,
        target: usize,
        sent_us: u64,
    },
    Report,
    WindowEnd,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    rng: ChaCha8Rng,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_number: u64,
    queues: Vec<TargetQueue>,
    /// Targets by expected wait and the time of their last request; kept for the oracle.
    by_wait: BTreeSet<(u64, u64, usize)>,
    keys: Vec<(u64, u64, usize)>,
    free_targets: usize,
    views: Vec<OwnViews>,
    subsets: Vec<Vec<usize>>,
    reports: Reports,
    rate_per_us: f64,
    cumulative_callers: Vec<f64>,
    is_measuring: bool,
    sent: u64,
    refused_while_idle: u64,
    opened: u64,
    waits_us: Vec<u64>,
    response_us: f64,
    responses: u64,
    window_ratios: Vec<f64>,
}

/// Runs a scenario.
pub(super) fn run(scenario: &Scenario) -> Measured {
    let mut simulation = Simulation::new(scenario);
    simulation.run();
    simulation.measured()
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        // The same fleet and speeds in all cells of the same size.
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let slowness: Vec<f64> = (0..scenario.targets)
            .map(|_| rng.random_range(1.0..3.0))
            .collect();
        let mean = slowness.iter().sum::<f64>() / slowness.len() as f64;
        let queues: Vec<TargetQueue> = slowness
            .iter()
            .map(|slowness| TargetQueue::new(slowness / mean * MEAN_WORK_US))
            .collect();
        let capacity_per_us: f64 = queues.iter().map(|q| SLOTS as f64 / q.mean_us).sum();
        let mut total = 0.0;
        let cumulative_callers = (0..scenario.instances).map(|_| {
            total += (CALLERS_SIGMA * normal(&mut rng)).exp();
            total
        });
        let cumulative_callers = cumulative_callers.collect();
        let keys: Vec<_> = (0..queues.len()).map(|target| (0, 0, target)).collect();
        Self {
            scenario,
            now_us: 1,
            events: BinaryHeap::new(),
            event_number: 0,
            by_wait: keys.iter().copied().collect(),
            keys,
            free_targets: queues.len(),
            queues,
            views: (0..scenario.instances).map(|_| OwnViews::new()).collect(),
            subsets: subsets(scenario),
            reports: Reports::default(),
            rate_per_us: capacity_per_us * scenario.load,
            cumulative_callers,
            is_measuring: false,
            sent: 0,
            refused_while_idle: 0,
            opened: 0,
            waits_us: Vec::new(),
            response_us: 0.0,
            responses: 0,
            window_ratios: Vec::new(),
            rng,
        }
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.event_number += 1;
        self.events.push(Reverse((at_us, self.event_number, event)));
    }

    fn run(&mut self) {
        let warm_up_us = (WARM_UP_S * 1e6) as u64;
        let end_us = warm_up_us + (self.scenario.seconds * 1e6) as u64;
        self.schedule(1, Event::Report);
        self.schedule(1, Event::Arrival);
        self.schedule(warm_up_us, Event::WindowEnd);
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            if at_us > end_us {
                return;
            }
            self.now_us = at_us;
            match event {
                Event::Arrival => self.arrive(),
                Event::Finish {
                    instance,
                    target,
                    sent_us,
                } => {
                    self.finish(instance, target, sent_us);
                }
                Event::Report => self.report(),
                Event::WindowEnd => self.end_window(),
            }
        }
    }

    fn arrive(&mut self) {
        let gap_us = -(1.0 - self.rng.random::<f64>()).ln() / self.rate_per_us;
        self.schedule(self.now_us + gap_us as u64, Event::Arrival);
        let total = self.cumulative_callers.last().copied().unwrap_or(1.0);
        let point = self.rng.random_range(0.0..total);
        let instance = self.cumulative_callers.partition_point(|sum| *sum <= point);
        let target = self.choose(instance);
        let view = self.views[instance].entry(target).or_default();
        let is_new = view.send(self.now_us);
        let request = Request {
            instance,
            target,
            sent_us: self.now_us,
        };
        self.queues[target].requests += 1;
        let arrival = self.queues[target].arrive(request);
        if self.is_measuring {
            self.sent += 1;
            self.opened += u64::from(is_new);
            if arrival == Arrival::Refused && self.free_targets > 0 {
                self.refused_while_idle += 1;
            }
        }
        match arrival {
            Arrival::Runs => self.start(request),
            Arrival::Waits => (),
            Arrival::Refused => {
                if let Some(view) = self.views[instance].get_mut(&target) {
                    view.in_flight -= 1;
                }
            }
        }
        self.update_key(target, Some(self.now_us));
    }

    fn start(&mut self, request: Request) {
        let exponent = WORK_SIGMA * normal(&mut self.rng) - WORK_SIGMA * WORK_SIGMA / 2.0;
        let work_us = self.queues[request.target].mean_us * exponent.exp();
        if self.is_measuring {
            self.waits_us.push(self.now_us - request.sent_us);
        }
        let event = Event::Finish {
            instance: request.instance,
            target: request.target,
            sent_us: request.sent_us,
        };
        self.schedule(self.now_us + work_us as u64, event);
    }

    fn finish(&mut self, instance: usize, target: usize, sent_us: u64) {
        let latency_us = (self.now_us - sent_us + 2 * LATENCY_TO_TARGET_US) as f64;
        if let Some(view) = self.views[instance].get_mut(&target) {
            view.record_response(self.now_us, latency_us);
        }
        if self.is_measuring {
            self.response_us += latency_us;
            self.responses += 1;
        }
        if let Some(next) = self.queues[target].finish() {
            self.start(next);
        }
        self.update_key(target, None);
    }

    fn report(&mut self) {
        let period_us = self.scenario.age_ms * 1_000;
        let expected_requests = self.rate_per_us * period_us as f64 / 2.0;
        self.reports = Reports::new(&self.queues, expected_requests);
        if period_us > 0 {
            self.schedule(self.now_us + period_us, Event::Report);
        }
    }

    fn end_window(&mut self) {
        if self.is_measuring {
            let requests = self.queues.iter().map(|queue| queue.requests);
            let mean = requests.clone().sum::<u32>() as f64 / self.queues.len() as f64;
            let busiest = requests.max().unwrap_or(0);
            self.window_ratios.push(f64::from(busiest) / mean);
        }
        self.is_measuring = true;
        self.queues.iter_mut().for_each(|queue| queue.requests = 0);
        self.schedule(self.now_us + WINDOW_US, Event::WindowEnd);
    }

    fn update_key(&mut self, target: usize, sent_us: Option<u64>) {
        let wait_us = self.queues[target].expected_wait_us();
        let old = self.keys[target];
        let new = (wait_us, sent_us.unwrap_or(old.1), target);
        self.by_wait.remove(&old);
        self.by_wait.insert(new);
        self.keys[target] = new;
        self.free_targets += usize::from(wait_us == 0);
        self.free_targets -= usize::from(old.0 == 0);
    }

    fn choose(&mut self, instance: usize) -> usize {
        let all = 0..self.queues.len();
        let is_current = self.scenario.age_ms == 0;
        match self.scenario.policy {
            Policy::Oracle => self.shortest_wait(),
            Policy::Interpretation if is_current => self.shortest_wait(),
            Policy::Interpretation => self.reports.interpret(&mut self.rng),
            Policy::Reports => {
                let first = self.rng.random_range(all.clone());
                let second = self.rng.random_range(all);
                let length = |target: usize| match is_current {
                    true => self.queues[target].len(),
                    false => self.reports.lengths[target],
                };
                if length(second) < length(first) {
                    second
                } else {
                    first
                }
            }
            Policy::Present => self.choose_of_all(instance),
            Policy::Subset => {
                let first = self.subsets[instance].choose(&mut self.rng).copied();
                let second = self.subsets[instance].choose(&mut self.rng).copied();
                self.cheaper(instance, first.unwrap_or(0), second.unwrap_or(0))
            }
            _ => self.choose_idle(instance),
        }
    }

    fn shortest_wait(&self) -> usize {
        self.by_wait.first().map_or(0, |(_, _, target)| *target)
    }

    fn choose_of_all(&mut self, instance: usize) -> usize {
        let first = self.rng.random_range(0..self.queues.len());
        let second = self.rng.random_range(0..self.queues.len());
        self.cheaper(instance, first, second)
    }

    fn choose_idle(&mut self, instance: usize) -> usize {
        let views = &self.views[instance];
        let is_idle = |target: &usize| views.get(target).is_none_or(|view| view.in_flight == 0);
        let now_us = self.now_us;
        let is_fresh = |target: &usize| views.get(target).is_some_and(|view| view.is_fresh(now_us));
        let idle = self.subsets[instance].iter().copied().filter(is_idle);
        let mut idle: Vec<usize> = idle.collect();
        if idle.is_empty() {
            return self.choose_of_all(instance);
        }
        match self.scenario.policy {
            Policy::SubsetFreshFirst if idle.iter().any(is_fresh) => idle.retain(is_fresh),
            Policy::SubsetLongestIdle | Policy::SubsetCheapestHalf => {
                // Each target in turn, more often with more slots in the subset.
                let rank = |slots: &[usize]| {
                    let sent_us = views.get(&slots[0]).map_or(0, |view| view.sent_us);
                    (now_us - sent_us) * slots.len() as u64
                };
                let targets = idle.chunk_by(|a, b| a == b);
                let mut ranked: Vec<(u64, usize)> =
                    targets.map(|slots| (rank(slots), slots[0])).collect();
                ranked.shuffle(&mut self.rng);
                ranked.sort_by_key(|(rank, _)| Reverse(*rank));
                let len = match self.scenario.policy {
                    Policy::SubsetLongestIdle => 1,
                    _ => ranked.len().div_ceil(2),
                };
                let first = ranked[0].1;
                let others = ranked[1..len].iter();
                return others.fold(first, |best, (_, target)| {
                    self.cheaper(instance, best, *target)
                });
            }
            _ => (),
        }
        let first = idle[self.rng.random_range(0..idle.len())];
        let second = idle[self.rng.random_range(0..idle.len())];
        self.cheaper(instance, first, second)
    }

    fn cheaper(&self, instance: usize, first: usize, second: usize) -> usize {
        let views = &self.views[instance];
        let cost = |target: usize| {
            let view = views.get(&target);
            view.map_or(MEAN_WORK_US, |view| view.cost(self.now_us, MEAN_WORK_US))
        };
        if cost(second) < cost(first) {
            second
        } else {
            first
        }
    }

    fn measured(mut self) -> Measured {
        self.waits_us.sort_unstable();
        let requests = self.waits_us.len().max(1);
        let wait_us = self.waits_us.iter().sum::<u64>() as f64 / requests as f64;
        let p99_us = self.waits_us.get(requests * 99 / 100).copied().unwrap_or(0);
        let windows = self.window_ratios.len().max(1) as f64;
        let sent = self.sent.max(1) as f64;
        Measured {
            busiest_over_mean: self.window_ratios.iter().sum::<f64>() / windows,
            refused_per_mille: self.refused_while_idle as f64 / sent * 1e3,
            wait_ms: wait_us / 1e3,
            wait_p99_ms: p99_us as f64 / 1e3,
            response_ms: self.response_us / self.responses.max(1) as f64 / 1e3,
            new_connections: self.opened as f64 / sent,
        }
    }
}

/// The subsets of all instances; all targets below the size for which subsets exist.
fn subsets(scenario: &Scenario) -> Vec<Vec<usize>> {
    if !matches!(
        scenario.policy,
        Policy::Subset
            | Policy::SubsetIdleFirst
            | Policy::SubsetFreshFirst
            | Policy::SubsetLongestIdle
            | Policy::SubsetCheapestHalf
    ) {
        return vec![Vec::new(); scenario.instances];
    }
    let candidate = |number: usize| Candidate {
        target: Arc::new(Target {
            name: format!("target-{number}").into(),
            service: "gates".into(),
            data_centre: "east".into(),
            address: ([127, 0, 0, 1], 80).into(),
            slots: SLOTS as u32,
            connections: 330,
            refusal_is_not_run: false,
            leaving: false,
            incarnation: 1,
        }),
        load: Arc::new(TargetLoad::new(SLOTS as u32)),
        health: HealthState::Healthy,
        round_trip_us: 0,
        is_local: true,
    };
    let candidates: Vec<Candidate> = (0..scenario.targets).map(candidate).collect();
    let data_centre: Arc<str> = "east".into();
    let ids: Vec<Arc<str>> = (0..scenario.instances)
        .map(|number| format!("instance-{number}").into())
        .collect();
    let subset = |id: &Arc<str>| {
        let present = ids.iter().map(|id| (id, &data_centre));
        let place = SubsetPlace::new(id, &data_centre, present);
        let subset = Subset::new(&place, &candidates);
        subset.map_or_else(|| (0..scenario.targets).collect(), |subset| subset.local)
    };
    ids.iter().map(subset).collect()
}

/// A standard normal variate, by the transform of Box and Muller.
fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
