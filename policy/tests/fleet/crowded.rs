//! What callers get while few targets are left for the load of all.
//!
//! Spells hold ten of twelve targets, which reset what they get. Most callers have
//! six seconds, some have less than one; those refused come back as they are told.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::sync::Arc;

use policy::exchange::AttemptEnd;
use policy::exchange::Event;
use policy::exchange::Exchange;
use policy::exchange::Failure;
use policy::exchange::Observation;
use policy::exchange::Request;
use policy::exchange::Step;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fleet::Fleet;
use crate::fleet::INSTANCES;
use crate::fleet::SECOND_US;
use crate::fleet::TARGETS;

const SEEDS: u64 = 8;
const CALM_PER_S: f64 = 40.0;
const CROWDED_PER_S: f64 = 47.0;
/// Share of the callers that have little time.
const HURRIED: f64 = 0.1;
const HURRIED_US: u64 = 900_000;
const PATIENT_US: u64 = 6 * SECOND_US;
/// Time of a request at a target: the least, and the mean of what varies.
const WORK_US: u64 = 350_000;
const VARYING_WORK_US: f64 = 280_000.0;
/// Times that a caller comes back after it was refused.
const RETURNS: u32 = 3;
const SLOTS: usize = 6;
/// Requests that wait at a target before it refuses more.
const QUEUE: usize = 24;
const CROWDED_FROM_US: u64 = 20 * SECOND_US;
/// From when the crowded state is judged.
const JUDGED_FROM_US: u64 = 23 * SECOND_US;
const END_US: u64 = 33 * SECOND_US;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happens {
    Arrives {
        deadline_us: u64,
        first_us: u64,
        returns: u32,
    },
    Finishes(u64),
    RunsOut(u64),
}

struct Work {
    node: usize,
    exchange: Exchange,
    attempt: usize,
    target: Arc<str>,
    sent_us: u64,
    first_us: u64,
    returns: u32,
    is_hurried: bool,
}

#[derive(Default)]
struct Place {
    running: BTreeSet<u64>,
    waiting: VecDeque<u64>,
}

/// Callers by the time that they have.
#[derive(Clone, Copy, Debug, Default)]
struct Callers {
    asked: u32,
    served: u32,
}

impl Callers {
    fn share(self) -> f64 {
        f64::from(self.served) / f64::from(self.asked.max(1))
    }
}

struct Crowd {
    fleet: Fleet,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Happens)>>,
    works: BTreeMap<u64, Work>,
    places: BTreeMap<Arc<str>, Place>,
    failing: BTreeSet<Arc<str>>,
    next: u64,
    rng: ChaCha8Rng,
    hurried: Callers,
    patient: Callers,
}

impl Crowd {
    fn new(seed: u64) -> Self {
        Self {
            fleet: Fleet::new(seed),
            now_us: 0,
            events: BinaryHeap::new(),
            works: BTreeMap::new(),
            places: BTreeMap::new(),
            failing: BTreeSet::new(),
            next: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            hurried: Callers::default(),
            patient: Callers::default(),
        }
    }

    fn play(mut self) -> (Callers, Callers) {
        let mut at_us = 2 * SECOND_US;
        while at_us < END_US {
            let rate = match at_us < CROWDED_FROM_US {
                true => CALM_PER_S,
                false => CROWDED_PER_S,
            };
            at_us += self.exponential(1e6 / rate);
            let is_hurried = self.rng.random_bool(HURRIED);
            let limit_us = if is_hurried { HURRIED_US } else { PATIENT_US };
            let arrives = Happens::Arrives {
                deadline_us: at_us + limit_us,
                first_us: at_us,
                returns: 0,
            };
            self.at(at_us, arrives);
        }
        while let Some(Reverse((at_us, _, happens))) = self.events.pop() {
            self.fleet.run(at_us);
            self.now_us = at_us;
            if at_us >= CROWDED_FROM_US && self.failing.is_empty() {
                self.failing = (2..TARGETS).map(|at| format!("t{at:03}").into()).collect();
            }
            match happens {
                Happens::Arrives {
                    deadline_us,
                    first_us,
                    returns,
                } => self.arrive(deadline_us, first_us, returns),
                Happens::Finishes(id) => self.finish(id),
                Happens::RunsOut(id) => self.run_out(id),
            }
        }
        (self.hurried, self.patient)
    }

    fn exponential(&mut self, mean_us: f64) -> u64 {
        let drawn: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        (-drawn.ln() * mean_us) as u64
    }

    fn at(&mut self, at_us: u64, happens: Happens) {
        self.next += 1;
        self.events.push(Reverse((at_us, self.next, happens)));
    }

    fn callers(&mut self, work: &Work) -> Option<&mut Callers> {
        let is_judged = (JUDGED_FROM_US..END_US).contains(&work.first_us);
        is_judged.then_some(match work.is_hurried {
            true => &mut self.hurried,
            false => &mut self.patient,
        })
    }

    fn arrive(&mut self, deadline_us: u64, first_us: u64, returns: u32) {
        let node = self.rng.random_range(0..INSTANCES);
        let table = self.fleet.table(node).services["gates"].clone();
        let request = Request {
            deadline_us,
            caller_deadline_us: deadline_us,
            claims_key: false,
            replayable: true,
            repeatable: true,
            max_attempts: 2,
        };
        let mut work = Work {
            node,
            exchange: Exchange::new(request, table),
            attempt: 0,
            target: "".into(),
            sent_us: self.now_us,
            first_us,
            returns,
            is_hurried: deadline_us - first_us == HURRIED_US,
        };
        if returns == 0
            && let Some(callers) = self.callers(&work)
        {
            callers.asked += 1;
        }
        let step = work.exchange.on(self.now_us, Event::Begin, &mut self.rng);
        self.next += 1;
        let id = self.next;
        self.events
            .push(Reverse((deadline_us, id, Happens::RunsOut(id))));
        self.follow(id, work, step, deadline_us);
    }

    fn follow(&mut self, id: u64, mut work: Work, mut step: Step, deadline_us: u64) {
        loop {
            step = match step {
                Step::Send { attempt, candidate } => {
                    work.attempt = attempt;
                    work.sent_us = self.now_us;
                    let table = work.exchange.table();
                    work.target = table.candidates[candidate].target.name.clone();
                    if self.failing.contains(&work.target) {
                        self.fail(&mut work, AttemptEnd::Cut, Failure::Cut)
                    } else if self.enter(id, &work.target) {
                        self.works.insert(id, work);
                        return;
                    } else {
                        self.fail(&mut work, AttemptEnd::Shed, Failure::Refused)
                    }
                }
                Step::Reply(reply) => {
                    let left_us = deadline_us.saturating_sub(self.now_us);
                    let after_us = reply.retry_after_ms.unwrap_or(u64::MAX / 2_000) * 1_000;
                    if after_us <= left_us / 3 && work.returns < RETURNS {
                        let arrives = Happens::Arrives {
                            deadline_us,
                            first_us: work.first_us,
                            returns: work.returns + 1,
                        };
                        self.at(self.now_us + after_us, arrives);
                    }
                    return;
                }
                _ => return,
            };
        }
    }

    fn fail(&mut self, work: &mut Work, end: AttemptEnd, failure: Failure) -> Step {
        self.observe(work, end);
        let attempt = work.attempt;
        let failed = Event::Failed { attempt, failure };
        work.exchange.on(self.now_us, failed, &mut self.rng)
    }

    fn observe(&mut self, work: &Work, end: AttemptEnd) {
        let observation = Observation {
            service: "gates".into(),
            target: work.target.clone(),
            end,
            counted: false,
        };
        self.fleet.observe(work.node, observation);
    }

    /// Takes a request to a target; false if it has no room for it.
    fn enter(&mut self, id: u64, target: &Arc<str>) -> bool {
        let place = self.places.entry(target.clone()).or_default();
        if place.waiting.len() >= QUEUE {
            return false;
        }
        place.waiting.push_back(id);
        self.start_next(target);
        true
    }

    fn start_next(&mut self, target: &Arc<str>) {
        let place = self.places.entry(target.clone()).or_default();
        if place.running.len() >= SLOTS {
            return;
        }
        let Some(id) = place.waiting.pop_front() else {
            return;
        };
        place.running.insert(id);
        let work_us = WORK_US + self.exponential(VARYING_WORK_US);
        self.at(self.now_us + work_us, Happens::Finishes(id));
    }

    fn leave(&mut self, id: u64, target: &Arc<str>) {
        let place = self.places.entry(target.clone()).or_default();
        place.running.remove(&id);
        place.waiting.retain(|waiting| *waiting != id);
        self.start_next(target);
    }

    fn finish(&mut self, id: u64) {
        let Some(mut work) = self.works.remove(&id) else {
            return;
        };
        self.leave(id, &work.target);
        let latency_us = self.now_us - work.sent_us;
        let good = true;
        self.observe(&work, AttemptEnd::Answered { good, latency_us });
        let head = Event::Head {
            attempt: work.attempt,
            status: 200,
        };
        work.exchange.on(self.now_us, head, &mut self.rng);
        work.exchange.on(self.now_us, Event::Ended, &mut self.rng);
        if let Some(callers) = self.callers(&work) {
            callers.served += 1;
        }
    }

    fn run_out(&mut self, id: u64) {
        let Some(mut work) = self.works.remove(&id) else {
            return;
        };
        self.leave(id, &work.target);
        self.observe(&work, AttemptEnd::Cancelled);
        work.exchange
            .on(self.now_us, Event::Deadline, &mut self.rng);
    }
}

#[test]
fn callers_with_little_time_are_not_starved_by_those_with_much() {
    for seed in 0..SEEDS {
        let (hurried, patient) = Crowd::new(seed).play();
        assert!(
            hurried.share() > patient.share() / 4.0,
            "seed {seed}: {hurried:?} {patient:?}"
        );
    }
}

#[test]
fn a_crowd_at_few_targets_is_served_as_far_as_they_can() {
    let can = 2.0 * SLOTS as f64 / ((WORK_US as f64 + VARYING_WORK_US) / 1e6);
    for seed in 0..SEEDS {
        let (hurried, patient) = Crowd::new(seed).play();
        let served = f64::from(hurried.served + patient.served);
        let span_s = (END_US - JUDGED_FROM_US) as f64 / 1e6;
        assert!(
            served > 0.8 * can * span_s,
            "seed {seed}: {hurried:?} {patient:?}"
        );
    }
}
