//! Simulates callers, and targets with queues and fault periods, around a fleet without a network.
//!
//! During a fault period, some targets reset most of their requests. Callers have long or short
//! deadlines, and retry after a refusal at the time that the response gives. A request that finds
//! no free slot at a target queues there.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::sync::Arc;

use model::Outcome;
use policy::exchange::AttemptEnd;
use policy::exchange::Event;
use policy::exchange::Exchange;
use policy::exchange::Failure;
use policy::exchange::Notice;
use policy::exchange::NoticedTarget;
use policy::exchange::Observation;
use policy::exchange::Reply;
use policy::exchange::Request;
use policy::exchange::Step;
use policy::exchange::TargetNotices;
use policy::instance::PERMIT_TIMEOUT_US;
use policy::instance::PermitAnswer;
use policy::instance::PermitRequest;
use policy::quarantine::Fingerprint;
use policy::routing::TargetProcess;
use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use crate::fleet::Fleet;
use crate::fleet::INSTANCES;
use crate::fleet::SECOND_US;

pub(crate) const SLOTS: usize = 6;
/// Queue length at which a target refuses further requests.
const QUEUE_LIMIT: usize = 24;
/// Retries of a caller after refusals.
const MAX_RETRIES: u32 = 3;
const LONG_DEADLINE_US: u64 = 6 * SECOND_US;
/// Time from the start of a planned stop to the end of the process, and from there to its next
/// start.
const STOP_US: u64 = 3 * SECOND_US;
const DOWN_US: u64 = 500_000;
/// Minimum processing time, as a share of the mean.
const MIN_WORK_SHARE: f64 = 0.55;

/// Period in which some targets reset their requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FaultPeriod {
    pub(crate) from_us: u64,
    pub(crate) until_us: u64,
    /// Targets that the fault does not affect.
    pub(crate) healthy_targets: usize,
}

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) targets: usize,
    pub(crate) fault_periods: Vec<FaultPeriod>,
    /// Share of its requests that a faulty target resets.
    pub(crate) reset_share: f64,
    /// Time at which all instances restart; `None` if they do not.
    pub(crate) restart_us: Option<u64>,
    /// Times at which single instances are restarted.
    pub(crate) restarts_us: Vec<u64>,
    /// Whether these instances are killed instead of stopped by plan.
    pub(crate) kills: bool,
    pub(crate) normal_rate_per_s: f64,
    pub(crate) fault_period_rate_per_s: f64,
    /// Share of the callers that have a short deadline, and that deadline.
    pub(crate) short_deadline_share: f64,
    pub(crate) short_deadline_us: u64,
    /// Whether callers with a short deadline retry too.
    pub(crate) short_deadline_retries: bool,
    /// Mean processing time of a request at a target.
    pub(crate) work_us: f64,
    pub(crate) end_us: u64,
    /// Limits that targets name.
    pub(crate) named_limits: Vec<NamedLimit>,
    /// Pauses and cuts of single instances.
    pub(crate) disturbances: Vec<Disturbance>,
    /// Processes of targets that end, each with the next one under its name.
    pub(crate) departures: Vec<StatedDeparture>,
    /// Changes of entries in the registry.
    pub(crate) entry_changes: Vec<EntryChange>,
    /// Periods in which the registry is away for a number of instances.
    pub(crate) registry_outages: Vec<(usize, u64, u64)>,
}

/// The departure of a target's process, which says in its responses that it leaves.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StatedDeparture {
    pub(crate) target: usize,
    /// Since when it says so.
    pub(crate) from_us: u64,
    /// When it ends.
    pub(crate) ends_us: u64,
    /// When the next process under its name starts, and its incarnation.
    pub(crate) next_us: u64,
    pub(crate) next_incarnation: u64,
}

/// A change of the entry of a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EntryChange {
    pub(crate) target: usize,
    pub(crate) at_us: u64,
    pub(crate) entry: Entry,
}

/// What the registry says of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Entry {
    /// Nothing.
    Removed,
    /// A process, its slots, and whether it leaves.
    Present(u64, u32, bool),
}

/// A limit that a target names in its responses for a period.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NamedLimit {
    pub(crate) target: usize,
    pub(crate) from_us: u64,
    pub(crate) until_us: u64,
    pub(crate) limit_milli: u32,
}

/// A pause or a cut of an instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Disturbance {
    pub(crate) instance: usize,
    pub(crate) from_us: u64,
    pub(crate) until_us: u64,
    /// Whether the instance is cut off from the others instead of suspended.
    pub(crate) is_cut: bool,
}

impl Scenario {
    /// Creates a random scenario in which few healthy targets are left for the load.
    pub(crate) fn random(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let targets: usize = rng.random_range(4..=17);
        let work_us = rng.random_range(0.3e6..0.63e6);
        let healthy_targets = |rng: &mut ChaCha8Rng| rng.random_range(0..=targets.div_ceil(3));
        let first = FaultPeriod {
            from_us: rng.random_range(14 * SECOND_US..18 * SECOND_US),
            until_us: rng.random_range(22 * SECOND_US..28 * SECOND_US),
            healthy_targets: healthy_targets(&mut rng).max(1),
        };
        let second = FaultPeriod {
            from_us: first.until_us + rng.random_range(0..4 * SECOND_US),
            until_us: 36 * SECOND_US,
            healthy_targets: healthy_targets(&mut rng),
        };
        let capacity_per_s = |targets: usize| (targets * SLOTS) as f64 / work_us * 1e6;
        let load_per_s = rng.random_range(0.5..3.0) * capacity_per_s(first.healthy_targets);
        let per_s = load_per_s.min(0.7 * capacity_per_s(targets));
        let restart_us = rng.random_range(first.from_us..second.until_us);
        Self {
            targets,
            fault_periods: vec![first, second],
            reset_share: 0.85,
            restart_us: rng.random_bool(0.3).then_some(restart_us),
            restarts_us: Vec::new(),
            kills: false,
            normal_rate_per_s: per_s,
            fault_period_rate_per_s: per_s,
            short_deadline_share: rng.random_range(0.1..0.5),
            short_deadline_us: rng.random_range(800_000..1_000_000),
            short_deadline_retries: false,
            work_us,
            end_us: 40 * SECOND_US,
            named_limits: Vec::new(),
            disturbances: Vec::new(),
            departures: Vec::new(),
            entry_changes: Vec::new(),
            registry_outages: Vec::new(),
        }
    }

    /// Creates a random scenario without faulty targets in which some or all targets name limits
    /// that rise, fall and end, while instances are stopped, killed, suspended and cut off.
    pub(crate) fn random_with_limits(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let targets: usize = rng.random_range(4..=17);
        let work_us = rng.random_range(0.3e6..0.63e6);
        let rate_per_s = rng.random_range(0.2..0.6) * (targets * SLOTS) as f64 / work_us * 1e6;
        let limited = match rng.random_bool(0.2) {
            true => targets,
            false => rng.random_range(1..=targets.div_ceil(2)),
        };
        let mut named_limits = Vec::new();
        for target in 0..limited {
            let mut from_us = rng.random_range(5 * SECOND_US..10 * SECOND_US);
            while from_us < 36 * SECOND_US {
                let until_us = from_us + rng.random_range(4 * SECOND_US..25 * SECOND_US);
                named_limits.push(NamedLimit {
                    target,
                    from_us,
                    until_us,
                    limit_milli: rng.random_range(100..6_000),
                });
                let has_gap = rng.random_bool(0.5);
                from_us = until_us + u64::from(has_gap) * rng.random_range(0..6 * SECOND_US);
            }
        }
        let disturbances = (0..rng.random_range(0..5)).map(|_| {
            let from_us = rng.random_range(8 * SECOND_US..34 * SECOND_US);
            Disturbance {
                instance: rng.random_range(0..INSTANCES),
                from_us,
                until_us: from_us + rng.random_range(500_000..8 * SECOND_US),
                is_cut: rng.random_bool(0.5),
            }
        });
        let disturbances = disturbances.collect();
        let restarts = rng.random_range(0..8);
        let restarts_us = (0..restarts).map(|_| rng.random_range(8 * SECOND_US..34 * SECOND_US));
        Self {
            targets,
            fault_periods: Vec::new(),
            reset_share: 0.0,
            restart_us: None,
            restarts_us: restarts_us.collect(),
            kills: rng.random_bool(0.5),
            normal_rate_per_s: rate_per_s,
            fault_period_rate_per_s: rate_per_s,
            short_deadline_share: 0.2,
            short_deadline_us: 900_000,
            short_deadline_retries: false,
            work_us,
            end_us: 40 * SECOND_US,
            named_limits,
            disturbances,
            departures: Vec::new(),
            entry_changes: Vec::new(),
            registry_outages: Vec::new(),
        }
    }

    /// Creates a random scenario in which some or all targets leave by their own word and start
    /// again under their names, while the registry says so, is silent, says otherwise, or loses and
    /// regains the entries, and is away for some instances. Some targets name limits.
    pub(crate) fn random_with_departures(seed: u64) -> Self {
        let scenario = Self::random_with_limits(seed);
        let mut rng = ChaCha8Rng::seed_from_u64(!seed);
        let leaving = match rng.random_bool(0.2) {
            true => scenario.targets,
            false => rng.random_range(1..=scenario.targets.div_ceil(2)),
        };
        let mut departures = Vec::new();
        let mut entry_changes = Vec::new();
        for target in 0..leaving {
            let mut at_us = rng.random_range(6 * SECOND_US..20 * SECOND_US);
            let mut incarnation = target as u64;
            for _ in 0..rng.random_range(1..3) {
                let ends_us = at_us + rng.random_range(2 * SECOND_US..14 * SECOND_US);
                let departure = StatedDeparture {
                    target,
                    from_us: at_us,
                    ends_us,
                    next_us: ends_us + rng.random_range(200_000..3 * SECOND_US),
                    next_incarnation: incarnation + 100,
                };
                entry_changes.extend(random_entry_changes(&mut rng, &departure, incarnation));
                departures.push(departure);
                incarnation = departure.next_incarnation;
                at_us = departure.next_us + rng.random_range(5 * SECOND_US..10 * SECOND_US);
            }
        }
        let registry_outages = (0..rng.random_range(0..4)).map(|_| {
            let from_us = rng.random_range(5 * SECOND_US..30 * SECOND_US);
            let instances = match rng.random_bool(0.5) {
                true => INSTANCES,
                false => rng.random_range(1..INSTANCES),
            };
            let for_us = rng.random_range(SECOND_US..12 * SECOND_US);
            (instances, from_us, from_us + for_us)
        });
        let registry_outages = registry_outages.collect();
        let named_limits = match rng.random_bool(0.3) {
            true => scenario.named_limits.clone(),
            false => Vec::new(),
        };
        Self {
            normal_rate_per_s: scenario.normal_rate_per_s * rng.random_range(1.0..3.0),
            departures,
            entry_changes,
            registry_outages,
            named_limits,
            ..scenario
        }
    }

    /// Creates a random scenario as [`Self::random_with_departures`] does, in which the entries of
    /// new processes are written late, as while the targets cannot reach the registry. Some of these
    /// processes leave before, and the next ones may stay.
    pub(crate) fn random_with_late_entries(seed: u64) -> Self {
        let mut scenario = Self::random_with_departures(seed);
        let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(32));
        let first_departures = scenario.departures.clone();
        for departure in first_departures {
            let (from_us, incarnation) = (departure.next_us, departure.next_incarnation);
            let entry_us = from_us + rng.random_range(500_000..8 * SECOND_US);
            for change in &mut scenario.entry_changes {
                let is_late = change.target == departure.target
                    && change.entry == Entry::Present(incarnation, SLOTS as u32, false)
                    && change.at_us < entry_us;
                if is_late {
                    change.at_us = entry_us;
                }
            }
            let mut following = scenario.departures.iter_mut().filter(|other| {
                other.target == departure.target && other.from_us > departure.from_us
            });
            // The next process leaves soon, mostly before its entry is written.
            if let Some(next) = following.next()
                && rng.random_bool(0.7)
            {
                next.from_us = from_us + rng.random_range(200_000..3 * SECOND_US);
            }
        }
        scenario
    }

    /// The process behind a target's name, and since when it says that it leaves; `None` if there
    /// is none at that time.
    fn process(&self, target: usize, at_us: u64) -> Option<(u64, Option<u64>)> {
        let mut incarnation = target as u64;
        for departure in &self.departures {
            if departure.target != target {
                continue;
            }
            if at_us < departure.ends_us {
                let stated_us = Some(departure.from_us).filter(|from_us| at_us >= *from_us);
                return Some((incarnation, stated_us));
            }
            if at_us < departure.next_us {
                return None;
            }
            incarnation = departure.next_incarnation;
        }
        Some((incarnation, None))
    }

    /// The limit that a target names, in thousandths of a request per second.
    pub(crate) fn limit_milli(&self, target: usize, at_us: u64) -> Option<u32> {
        let mut limits = self.named_limits.iter();
        let named = limits.find(|limit| {
            limit.target == target && (limit.from_us..limit.until_us).contains(&at_us)
        });
        named.map(|limit| limit.limit_milli)
    }

    /// Creates a random scenario in which half of the instances are stopped by plan and started
    /// again, one after the other, while few healthy targets are left.
    pub(crate) fn random_with_planned_stops(seed: u64) -> Self {
        let scenario = Self::random(seed);
        let mut rng = ChaCha8Rng::seed_from_u64(!seed);
        let gap_us = rng.random_range(SECOND_US..2 * SECOND_US);
        let first_us = scenario.fault_periods[0].from_us;
        let restarts = 0..INSTANCES as u64 / 2;
        Self {
            restart_us: None,
            restarts_us: restarts.map(|number| first_us + number * gap_us).collect(),
            ..scenario
        }
    }

    /// The same with instances that are killed.
    pub(crate) fn random_with_kills(seed: u64) -> Self {
        Self {
            kills: true,
            ..Self::random_with_planned_stops(seed)
        }
    }

    /// Requests per second that a number of healthy targets can serve.
    pub(crate) fn capacity_per_s(&self, healthy_targets: usize) -> f64 {
        (healthy_targets * SLOTS) as f64 / self.work_us * 1e6
    }

    fn fault_period(&self, at_us: u64) -> Option<usize> {
        let contains_time = |fault_period: &FaultPeriod| {
            (fault_period.from_us..fault_period.until_us).contains(&at_us)
        };
        self.fault_periods.iter().position(contains_time)
    }
}

/// What the registry says of a target that leaves.
fn random_entry_changes(
    rng: &mut ChaCha8Rng,
    departure: &StatedDeparture,
    incarnation: u64,
) -> Vec<EntryChange> {
    let target = departure.target;
    let change = |at_us: u64, entry: Entry| EntryChange {
        target,
        at_us,
        entry,
    };
    let mut changes = Vec::new();
    for _ in 0..rng.random_range(0..4) {
        let at_us = rng.random_range(departure.from_us..departure.ends_us);
        let entry = match rng.random_range(0..4) {
            0 => Entry::Removed,
            1 => Entry::Present(incarnation, SLOTS as u32, true),
            2 => Entry::Present(incarnation, SLOTS as u32 - 1, false),
            _ => Entry::Present(incarnation, SLOTS as u32, false),
        };
        changes.push(change(at_us, entry));
    }
    if rng.random_bool(0.5) {
        changes.push(change(departure.ends_us, Entry::Removed));
    }
    let next = Entry::Present(departure.next_incarnation, SLOTS as u32, false);
    changes.push(change(departure.next_us, next));
    changes
}

/// One caller, and whether it was served.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerRecord {
    pub(crate) first_arrival_us: u64,
    pub(crate) has_short_deadline: bool,
    pub(crate) served_us: Option<u64>,
    /// Whether the caller's request was in flight when all instances restarted.
    pub(crate) is_lost: bool,
}

/// Outcome of a simulation.
#[derive(Debug, Default)]
pub(crate) struct SimulationResult {
    pub(crate) callers: Vec<CallerRecord>,
    /// Requests sent to healthy targets during fault periods: the caller's first arrival, and
    /// whether the queue was already too long for the remaining time.
    pub(crate) sends: Vec<(u64, bool)>,
    /// Requests that reached targets.
    pub(crate) arrivals: Vec<LimitedArrival>,
    /// Requests that reached targets whose process had told the instance that it leaves.
    pub(crate) leaving_arrivals: Vec<LeavingArrival>,
}

/// A request that reached a target after its process had told the instance that it leaves.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeavingArrival {
    pub(crate) target: usize,
    pub(crate) node: usize,
    pub(crate) at_us: u64,
    /// When the caller sent the request.
    pub(crate) sent_us: u64,
    /// When the instance had first passed on a response that said so.
    pub(crate) told_us: u64,
    /// Whether the instance was suspended since.
    pub(crate) is_excused: bool,
}

/// A request that reached a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitedArrival {
    pub(crate) target: usize,
    pub(crate) at_us: u64,
    /// When the target first named its limit to the instance that sent the request, in the present
    /// process of the instance.
    pub(crate) told_us: Option<u64>,
    /// Whether the instance is cut off from the others, or was until shortly before.
    pub(crate) is_excused: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrival { caller: usize, retries: u32 },
    Completion(u64),
    DeadlinePassed(u64),
    PermitTimeout(u64),
    Drain(usize),
    Stop(usize),
    Start(usize),
    Disturb(usize),
    ChangeEntry(usize),
}

struct ActiveRequest {
    node: usize,
    /// When the caller sent it.
    began_us: u64,
    /// Incarnation of the target's process that it has reached.
    incarnation: Option<u64>,
    exchange: Exchange,
    attempt: usize,
    target: Arc<str>,
    sent_us: u64,
    caller: usize,
    retries: u32,
    /// Number of the permit that the request holds.
    permit: Option<u64>,
}

/// Time after a cut in which it still excuses an instance.
const EXCUSE_US: u64 = 3 * SECOND_US;

fn target_number(name: &str) -> usize {
    let digits = name.trim_start_matches('t');
    digits.parse().expect("targets are numbered")
}

#[derive(Default)]
struct TargetQueue {
    running: BTreeSet<u64>,
    waiting: VecDeque<u64>,
}

pub(crate) struct OverloadSimulation {
    scenario: Scenario,
    fleet: Fleet,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, SimEvent)>>,
    active_requests: BTreeMap<u64, ActiveRequest>,
    /// Requests that wait for a permit decision, by the number of their permit request.
    awaiting_permit: BTreeMap<u64, (u64, ActiveRequest)>,
    queues: BTreeMap<Arc<str>, TargetQueue>,
    faulty_targets: BTreeSet<Arc<str>>,
    fault_period: Option<usize>,
    /// When a target first named its limit to an instance, by target and instance.
    told_us: BTreeMap<(usize, usize), u64>,
    /// When an instance first passed on that a process leaves, by target, incarnation and instance.
    departure_told_us: BTreeMap<(usize, u64, usize), u64>,
    next_id: u64,
    rng: ChaCha8Rng,
    result: SimulationResult,
}

impl OverloadSimulation {
    pub(crate) fn new(seed: u64, scenario: Scenario) -> Self {
        Self {
            fleet: Fleet::with_targets(seed, scenario.targets),
            scenario,
            now_us: 0,
            events: BinaryHeap::new(),
            active_requests: BTreeMap::new(),
            awaiting_permit: BTreeMap::new(),
            queues: BTreeMap::new(),
            faulty_targets: BTreeSet::new(),
            fault_period: None,
            told_us: BTreeMap::new(),
            departure_told_us: BTreeMap::new(),
            next_id: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            result: SimulationResult::default(),
        }
    }

    pub(crate) fn run(mut self) -> SimulationResult {
        self.generate_callers();
        self.schedule_restarts();
        let mut restart_us = self.scenario.restart_us;
        while let Some(Reverse((at_us, ..))) = self.events.peek() {
            let at_us = restart_us.map_or(*at_us, |restart_us| restart_us.min(*at_us));
            if let Some((permit_number, answer)) = self.fleet.run_to_answer(at_us) {
                self.now_us = self.fleet.now_us();
                self.update_fault_period();
                self.handle_permit_answer(permit_number, answer);
                continue;
            }
            if let Some(restart_at_us) = restart_us.filter(|restart_at_us| *restart_at_us <= at_us)
            {
                self.now_us = restart_at_us;
                self.restart();
                restart_us = None;
                continue;
            }
            let Some(Reverse((_, _, event))) = self.events.pop() else {
                break;
            };
            self.now_us = at_us;
            self.update_fault_period();
            match event {
                SimEvent::Arrival { caller, retries } => self.send_request(caller, retries),
                SimEvent::DeadlinePassed(id) => self.end_at_deadline(id),
                SimEvent::PermitTimeout(permit_number) => {
                    self.handle_permit_answer(permit_number, PermitAnswer::Unknown);
                }
                SimEvent::Completion(id) if self.is_paused(id) => self.postpone(id),
                SimEvent::Completion(id) => self.complete(id),
                SimEvent::Disturb(number) => self.disturb(number),
                SimEvent::ChangeEntry(number) => self.change_entry(number),
                SimEvent::Drain(node) => self.fleet.drain(node),
                SimEvent::Stop(node) => self.stop(node),
                SimEvent::Start(node) => self.fleet.start_again(node),
            }
        }
        self.result
    }

    fn schedule_restarts(&mut self) {
        let restarts_us = self.scenario.restarts_us.clone();
        for (number, disturbance) in self.scenario.disturbances.clone().iter().enumerate() {
            self.schedule(disturbance.from_us, SimEvent::Disturb(number));
        }
        for (number, change) in self.scenario.entry_changes.clone().iter().enumerate() {
            self.schedule(change.at_us, SimEvent::ChangeEntry(number));
        }
        self.fleet.set_departures(&self.scenario.departures);
        for (instances, from_us, until_us) in self.scenario.registry_outages.clone() {
            self.fleet.block_registry(instances, from_us, until_us);
        }
        let nodes = (0..INSTANCES).sample(&mut self.rng, restarts_us.len());
        for (node, at_us) in nodes.into_iter().zip(restarts_us) {
            let stop_us = at_us + if self.scenario.kills { 0 } else { STOP_US };
            if !self.scenario.kills {
                self.schedule(at_us, SimEvent::Drain(node));
            }
            self.schedule(stop_us, SimEvent::Stop(node));
            self.schedule(stop_us + DOWN_US, SimEvent::Start(node));
        }
    }

    fn disturb(&mut self, number: usize) {
        let disturbance = self.scenario.disturbances[number];
        match disturbance.is_cut {
            true => self.fleet.cut(disturbance.instance, disturbance.until_us),
            false => self.fleet.pause(disturbance.instance, disturbance.until_us),
        }
    }

    fn change_entry(&mut self, number: usize) {
        let EntryChange { target, entry, .. } = self.scenario.entry_changes[number];
        match entry {
            Entry::Removed => self.fleet.remove_entry(target as u64),
            Entry::Present(incarnation, slots, leaving) => {
                self.fleet
                    .put_entry(target as u64, incarnation, slots, leaving)
            }
        }
    }

    fn is_paused(&self, id: u64) -> bool {
        let active = self.active_requests.get(&id);
        active.is_some_and(|active| self.fleet.paused_until_us(active.node).is_some())
    }

    /// Postpones the completion of a request until its instance runs again.
    fn postpone(&mut self, id: u64) {
        let node = self.active_requests[&id].node;
        if let Some(until_us) = self.fleet.paused_until_us(node) {
            self.schedule(until_us, SimEvent::Completion(id));
        }
    }

    /// Records a request that reaches its target.
    fn record_arrival(&mut self, active: &ActiveRequest) {
        let target = target_number(&active.target);
        let is_cut_from = |disturbance: &&Disturbance| {
            let until_us = disturbance.until_us + EXCUSE_US;
            disturbance.is_cut && (disturbance.from_us..until_us).contains(&self.now_us)
        };
        let mut cuts = self.scenario.disturbances.iter().filter(is_cut_from);
        let is_excused = cuts.any(|cut| cut.instance == active.node);
        self.result.arrivals.push(LimitedArrival {
            target,
            at_us: self.now_us,
            told_us: self.told_us.get(&(target, active.node)).copied(),
            is_excused,
        });
        let Some(incarnation) = active.incarnation else {
            return;
        };
        let told_us = self
            .departure_told_us
            .get(&(target, incarnation, active.node));
        if let Some(told_us) = told_us {
            let is_pause = |disturbance: &&Disturbance| {
                !disturbance.is_cut
                    && disturbance.instance == active.node
                    && disturbance.until_us > *told_us
                    && disturbance.from_us < self.now_us
            };
            self.result.leaving_arrivals.push(LeavingArrival {
                target,
                node: active.node,
                at_us: self.now_us,
                sent_us: active.began_us,
                told_us: *told_us,
                is_excused: self.scenario.disturbances.iter().any(|one| is_pause(&one)),
            });
        }
    }

    /// The process behind the target that a request is sent to.
    fn process_of(&self, target: &str) -> Option<(u64, Option<u64>)> {
        self.scenario.process(target_number(target), self.now_us)
    }

    /// Passes on what the target says about itself in the response to a request.
    fn report_notices(&mut self, active: &ActiveRequest) {
        let target = target_number(&active.target);
        let is_leaving = match self.process_of(&active.target) {
            Some((incarnation, Some(_))) => {
                self.departure_told_us
                    .entry((target, incarnation, active.node))
                    .or_insert(self.now_us);
                Notice::Stated(true)
            }
            _ => Notice::Absent,
        };
        if self.scenario.named_limits.is_empty() && is_leaving == Notice::Absent {
            return;
        }
        let limit_milli = self.scenario.limit_milli(target, self.now_us);
        if limit_milli.is_some() {
            self.told_us
                .entry((target, active.node))
                .or_insert(self.now_us);
        }
        let notices = TargetNotices {
            rate_limit_milli: limit_milli.map_or(Notice::Absent, Notice::Stated),
            is_leaving,
            pause_ms: Notice::Absent,
        };
        let table = active.exchange.table();
        let candidates = table.candidates.iter();
        let mut targets = candidates.map(|candidate| &candidate.target);
        let Some(configured) = targets.find(|target| target.name == active.target) else {
            return;
        };
        let noticed = NoticedTarget {
            process: TargetProcess::of(configured),
            sent_us: active.sent_us,
            notices,
        };
        self.fleet.notice(active.node, noticed);
    }

    /// Ends the process of an instance; its requests in flight are lost.
    fn stop(&mut self, node: usize) {
        self.fleet.stop(node);
        self.told_us.retain(|(_, instance), _| *instance != node);
        self.departure_told_us
            .retain(|(_, _, instance), _| *instance != node);
        let active = self.active_requests.iter();
        let lost = active.filter(|(_, active)| active.node == node);
        let lost: Vec<u64> = lost.map(|(id, _)| *id).collect();
        for id in lost {
            if let Some(active) = self.active_requests.remove(&id) {
                self.result.callers[active.caller].is_lost = true;
                self.leave_queue(id, &active.target);
            }
        }
        let result = &mut self.result;
        self.awaiting_permit.retain(|_, (_, active)| {
            let is_lost = active.node == node;
            result.callers[active.caller].is_lost |= is_lost;
            !is_lost
        });
    }

    fn generate_callers(&mut self) {
        let mut at_us = 2 * SECOND_US;
        while at_us < self.scenario.end_us {
            let rate = match self.scenario.fault_period(at_us) {
                Some(_) => self.scenario.fault_period_rate_per_s,
                None => self.scenario.normal_rate_per_s,
            };
            at_us += self.exponential(1e6 / rate);
            let caller = self.result.callers.len();
            self.result.callers.push(CallerRecord {
                first_arrival_us: at_us,
                has_short_deadline: self.rng.random_bool(self.scenario.short_deadline_share),
                served_us: None,
                is_lost: false,
            });
            self.schedule(at_us, SimEvent::Arrival { caller, retries: 0 });
        }
    }

    /// Restarts all instances; their requests in flight are lost.
    fn restart(&mut self) {
        self.fleet.restart();
        self.departure_told_us.clear();
        for (id, active) in std::mem::take(&mut self.active_requests) {
            self.result.callers[active.caller].is_lost = true;
            self.leave_queue(id, &active.target);
        }
        for (_, (_, active)) in std::mem::take(&mut self.awaiting_permit) {
            self.result.callers[active.caller].is_lost = true;
        }
    }

    fn update_fault_period(&mut self) {
        let fault_period = self.scenario.fault_period(self.now_us);
        if fault_period == self.fault_period {
            return;
        }
        self.fault_period = fault_period;
        let healthy_targets = fault_period.map_or(self.scenario.targets, |index| {
            self.scenario.fault_periods[index].healthy_targets
        });
        let faulty = self.scenario.targets - healthy_targets;
        let faulty = (0..self.scenario.targets).sample(&mut self.rng, faulty);
        self.faulty_targets = faulty
            .into_iter()
            .map(|number| format!("t{number:03}").into())
            .collect();
    }

    fn exponential(&mut self, mean_us: f64) -> u64 {
        let sample: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        (-sample.ln() * mean_us) as u64
    }

    fn schedule(&mut self, at_us: u64, event: SimEvent) {
        self.next_id += 1;
        self.events.push(Reverse((at_us, self.next_id, event)));
    }

    fn deadline_us(&self, caller: usize) -> u64 {
        let caller = &self.result.callers[caller];
        caller.first_arrival_us
            + match caller.has_short_deadline {
                true => self.scenario.short_deadline_us,
                false => LONG_DEADLINE_US,
            }
    }

    fn send_request(&mut self, caller: usize, retries: u32) {
        let mut node = self.rng.random_range(0..INSTANCES);
        while !self.can_take_callers(node) {
            node = (node + 1) % INSTANCES;
        }
        let deadline_us = self.deadline_us(caller);
        let request = Request {
            deadline_us,
            caller_deadline_us: deadline_us,
            fingerprint: Fingerprint::default(),
            may_hand_over: false,
            is_handed_over: false,
            claims_key: false,
            replayable: true,
            repeatable: true,
            max_attempts: 2,
            priority: None,
            objective_us: None,
            began_us: self.now_us,
        };
        let Some(table) = self.fleet.table(node).services.get("gates").cloned() else {
            return;
        };
        let mut active = ActiveRequest {
            node,
            began_us: self.now_us,
            incarnation: None,
            exchange: Exchange::new(request, table),
            attempt: 0,
            target: "".into(),
            sent_us: self.now_us,
            caller,
            retries,
            permit: None,
        };
        let step = active.exchange.on(self.now_us, Event::Begin, &mut self.rng);
        self.next_id += 1;
        let id = self.next_id;
        self.events
            .push(Reverse((deadline_us, id, SimEvent::DeadlinePassed(id))));
        self.handle_step(id, active, step);
    }

    /// Whether callers reach an instance. Restarts of all instances at once are not seen here.
    fn can_take_callers(&self, node: usize) -> bool {
        let is_up = self.scenario.restarts_us.is_empty() || self.fleet.is_ready(node);
        is_up && self.fleet.paused_until_us(node).is_none()
    }

    fn handle_step(&mut self, id: u64, mut active: ActiveRequest, mut step: Step) {
        loop {
            step = match step {
                Step::Send { attempt, candidate } => {
                    active.attempt = attempt;
                    active.sent_us = self.now_us;
                    let table = active.exchange.table();
                    active.target = table.candidates[candidate].target.name.clone();
                    active.incarnation = self
                        .process_of(&active.target)
                        .map(|(incarnation, _)| incarnation);
                    self.record_arrival(&active);
                    if active.incarnation.is_none() {
                        step = self.end_failed_attempt(
                            &mut active,
                            AttemptEnd::NotSent,
                            Failure::NotSent,
                        );
                        continue;
                    }
                    let is_faulty = self.faulty_targets.contains(&active.target);
                    if is_faulty && self.rng.random_bool(self.scenario.reset_share) {
                        self.end_failed_attempt(&mut active, AttemptEnd::Cut, Failure::Cut)
                    } else if self.enqueue(id, &active) {
                        self.active_requests.insert(id, active);
                        return;
                    } else {
                        self.end_failed_attempt(&mut active, AttemptEnd::Shed, Failure::Refused)
                    }
                }
                Step::RequestPermit { candidate } => {
                    return self.request_permit(id, active, candidate);
                }
                // This model has no loans: each instance retries within its own budget.
                Step::BorrowRetry => {
                    let denied = Event::RetryAnswered { is_lent: false };
                    active.exchange.on(self.now_us, denied, &mut self.rng)
                }
                Step::Reply(reply) => return self.schedule_retry(&active, &reply),
                _ => return,
            };
        }
    }

    fn request_permit(&mut self, id: u64, active: ActiveRequest, candidate: usize) {
        self.next_id += 1;
        let (number, node) = (self.next_id, active.node);
        let target = &active.exchange.table().candidates[candidate].target;
        let permit_request = PermitRequest {
            number,
            target: target.name.clone(),
            left_us: self.deadline_us(active.caller).saturating_sub(self.now_us),
            rank: None,
        };
        self.awaiting_permit.insert(number, (id, active));
        let timeout_us = self.now_us + PERMIT_TIMEOUT_US;
        self.schedule(timeout_us, SimEvent::PermitTimeout(number));
        self.fleet.request_permit(node, permit_request);
    }

    fn handle_permit_answer(&mut self, permit_number: u64, answer: PermitAnswer) {
        let Some((id, mut active)) = self.awaiting_permit.remove(&permit_number) else {
            return;
        };
        match answer {
            PermitAnswer::Permitted { .. } => active.permit = Some(permit_number),
            PermitAnswer::Denied { .. } => {
                self.fleet.release_permit(active.node, permit_number, false)
            }
            PermitAnswer::Unknown => self.fleet.release_permit(active.node, permit_number, true),
        }
        let permit = Event::Permit(answer);
        let step = active.exchange.on(self.now_us, permit, &mut self.rng);
        self.handle_step(id, active, step);
    }

    fn release_permit(&mut self, active: &mut ActiveRequest) {
        if let Some(permit_number) = active.permit.take() {
            self.fleet.release_permit(active.node, permit_number, false);
        }
    }

    /// Schedules a caller's retry if the response gives a time for it and the request has not run.
    fn schedule_retry(&mut self, active: &ActiveRequest, reply: &Reply) {
        let left_us = self.deadline_us(active.caller).saturating_sub(self.now_us);
        let after_us = reply.retry_after_ms.unwrap_or(u64::MAX / 2_000) * 1_000;
        let should_retry = !self.result.callers[active.caller].has_short_deadline
            || self.scenario.short_deadline_retries;
        let should_retry = should_retry && reply.outcome == Outcome::NotRun;
        if should_retry && after_us <= left_us / 3 && active.retries < MAX_RETRIES {
            let arrival = SimEvent::Arrival {
                caller: active.caller,
                retries: active.retries + 1,
            };
            self.schedule(self.now_us + after_us, arrival);
        }
    }

    fn end_failed_attempt(
        &mut self,
        active: &mut ActiveRequest,
        end: AttemptEnd,
        failure: Failure,
    ) -> Step {
        self.release_permit(active);
        self.observe(active, end);
        let attempt = active.attempt;
        let failure_event = Event::Failed { attempt, failure };
        active
            .exchange
            .on(self.now_us, failure_event, &mut self.rng)
    }

    fn observe(&mut self, active: &ActiveRequest, end: AttemptEnd) {
        let observation = Observation {
            service: "gates".into(),
            target: active.target.clone(),
            end,
            overdue_reports: 0,
            has_full_time: true,
        };
        self.fleet.observe(active.node, observation);
    }

    /// Enqueues a request at its target. Returns `false` if the queue is full.
    fn enqueue(&mut self, id: u64, active: &ActiveRequest) -> bool {
        let left_us = self.deadline_us(active.caller).saturating_sub(self.now_us) as f64;
        let queue = self.queues.entry(active.target.clone()).or_default();
        if queue.waiting.len() >= QUEUE_LIMIT {
            return false;
        }
        let rounds = (queue.running.len() + queue.waiting.len()) as f64 / SLOTS as f64;
        let is_futile =
            rounds >= 1.0 && (rounds - 1.0 + MIN_WORK_SHARE) * self.scenario.work_us > left_us;
        queue.waiting.push_back(id);
        if self.fault_period.is_some() && !self.faulty_targets.contains(&active.target) {
            let first_arrival_us = self.result.callers[active.caller].first_arrival_us;
            self.result.sends.push((first_arrival_us, is_futile));
        }
        self.start_next(&active.target);
        true
    }

    fn start_next(&mut self, target: &Arc<str>) {
        let queue = self.queues.entry(target.clone()).or_default();
        if queue.running.len() >= SLOTS {
            return;
        }
        let Some(id) = queue.waiting.pop_front() else {
            return;
        };
        queue.running.insert(id);
        let random_work_us = self.exponential((1.0 - MIN_WORK_SHARE) * self.scenario.work_us);
        let work_us = (MIN_WORK_SHARE * self.scenario.work_us) as u64 + random_work_us;
        self.schedule(self.now_us + work_us, SimEvent::Completion(id));
    }

    fn leave_queue(&mut self, id: u64, target: &Arc<str>) {
        let queue = self.queues.entry(target.clone()).or_default();
        queue.running.remove(&id);
        queue.waiting.retain(|waiting| *waiting != id);
        self.start_next(target);
    }

    fn complete(&mut self, id: u64) {
        let Some(mut active) = self.active_requests.remove(&id) else {
            return;
        };
        self.leave_queue(id, &active.target);
        let present = self.process_of(&active.target);
        if present.map(|(incarnation, _)| incarnation) != active.incarnation {
            let step = self.end_failed_attempt(&mut active, AttemptEnd::Cut, Failure::Cut);
            return self.handle_step(id, active, step);
        }
        self.release_permit(&mut active);
        self.report_notices(&active);
        let latency_us = self.now_us - active.sent_us;
        let good = true;
        self.observe(&active, AttemptEnd::Answered { good, latency_us });
        let head = Event::Head {
            attempt: active.attempt,
            status: 200,
        };
        active.exchange.on(self.now_us, head, &mut self.rng);
        active.exchange.on(self.now_us, Event::Ended, &mut self.rng);
        self.result.callers[active.caller].served_us = Some(self.now_us);
    }

    fn end_at_deadline(&mut self, id: u64) {
        let awaiting = self
            .awaiting_permit
            .iter()
            .find(|(_, (request_id, _))| *request_id == id);
        if let Some(permit_number) = awaiting.map(|(permit_number, _)| *permit_number)
            && let Some((_, mut active)) = self.awaiting_permit.remove(&permit_number)
        {
            self.fleet.release_permit(active.node, permit_number, false);
            active
                .exchange
                .on(self.now_us, Event::Deadline, &mut self.rng);
            return;
        }
        let Some(mut active) = self.active_requests.remove(&id) else {
            return;
        };
        self.release_permit(&mut active);
        self.leave_queue(id, &active.target);
        self.observe(&active, AttemptEnd::Cancelled);
        active
            .exchange
            .on(self.now_us, Event::Deadline, &mut self.rng);
    }
}
