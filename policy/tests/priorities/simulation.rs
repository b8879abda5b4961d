//! Callers, instances and targets of one service, without a network.
//!
//! Instances run the real exchanges, queues, budgets and ledgers. A refused caller comes back at a
//! random instance if it would not wait for more than a third of the time that it has left.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use model::configuration::Target;
use policy::evidence::HealthState;
use policy::evidence::LatencyProfile;
use policy::exchange::Event;
use policy::exchange::Exchange;
use policy::exchange::Failure;
use policy::exchange::Reply;
use policy::exchange::Request;
use policy::exchange::Step;
use policy::instance::PermitAnswer;
use policy::limits::FairQueue;
use policy::limits::LoadEstimate;
use policy::limits::Ownership;
use policy::limits::PermitLedger;
use policy::limits::PermitParams;
use policy::limits::PermitRank;
use policy::limits::RetryBudget;
use policy::quarantine::Fingerprint;
use policy::routing::Candidate;
use policy::routing::ChoiceStrategy;
use policy::routing::ServiceLoad;
use policy::routing::ServiceTable;
use policy::routing::TargetLoad;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::support::service;

pub(crate) const MS_US: u64 = 1_000;
pub(crate) const SECOND_US: u64 = 1_000 * MS_US;
pub(crate) const SLOTS: u32 = 3;
pub(crate) const TARGETS: usize = 30;
const TARGET_QUEUE: usize = 12;
const INSTANCES: usize = 6;
/// One-way latency from an instance to a target, or to another instance.
const ONE_WAY_US: u64 = 2 * MS_US;
/// Time until a caller that comes back has sent its request again.
const RECONNECT_US: u64 = 46 * MS_US;
const MEASURE_PERIOD_US: u64 = 500 * MS_US;
/// Retries in ten seconds in addition to a fifth of the requests, over all instances.
pub(crate) const RETRY_RESERVE: f64 = 162.0;
const WORK_MS: f64 = 300.0;

/// A request of a caller, with the time that targets need for it.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) kind: usize,
    pub(crate) customer: usize,
    pub(crate) began_us: u64,
    pub(crate) objective_us: u64,
    pub(crate) work_us: u64,
}

impl Call {
    fn deadline_us(&self) -> u64 {
        self.began_us + 3 * SECOND_US
    }
}

/// What the callers ask for, and what the targets refuse whatever their load.
#[derive(Clone, Debug)]
pub(crate) struct Trace {
    pub(crate) seed: u64,
    pub(crate) calls: Vec<Call>,
    /// Share of the requests that targets refuse within this time, in microseconds.
    pub(crate) refused_share: f64,
    pub(crate) refusing_us: (u64, u64),
}

/// What callers got.
#[derive(Clone, Debug, Default)]
pub(crate) struct Results {
    /// By call: whether its response arrived before the latency objective.
    pub(crate) in_time: Vec<bool>,
    /// By call: whether its response arrived before the caller's deadline.
    pub(crate) answered: Vec<bool>,
    pub(crate) retries: usize,
    /// Requests that reached an instance, including those of callers that came back.
    pub(crate) begun: usize,
    /// Last result code of each unserved call, counted.
    pub(crate) last_codes: BTreeMap<u16, usize>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrive {
        call: usize,
    },
    Permit {
        run: usize,
        is_permitted: bool,
        in_flight: u32,
    },
    Loan {
        run: usize,
        is_lent: bool,
    },
    AtTarget {
        run: usize,
        attempt: usize,
    },
    WorkDone {
        target: usize,
        run: usize,
        attempt: usize,
    },
    Refused {
        run: usize,
        attempt: usize,
    },
    Responded {
        run: usize,
        attempt: usize,
    },
    Deadline {
        run: usize,
    },
    PollQueues,
    Measure,
}

struct Run {
    call: usize,
    instance: usize,
    exchange: Exchange,
    targets: Vec<usize>,
    /// Target whose ledger has a permit of the request.
    permit: Option<usize>,
    asked: Option<usize>,
}

#[derive(Default)]
struct TargetModel {
    in_work: u32,
    queue: VecDeque<(usize, usize)>,
    ledger: PermitLedger,
}

struct Instance {
    id: Arc<str>,
    table: Arc<ServiceTable>,
    queue: FairQueue<usize>,
}

pub(crate) struct Simulation<'a> {
    trace: &'a Trace,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, SimEvent)>>,
    sequence: u64,
    rng: ChaCha8Rng,
    instances: Vec<Instance>,
    targets: Vec<TargetModel>,
    runs: Vec<Run>,
    /// Requests begun, without those of callers that came back, at the last measurements.
    begun: VecDeque<u64>,
    results: Results,
}

fn instance(number: usize) -> Instance {
    let candidate = |target: usize| Candidate {
        target: Arc::new(Target {
            name: format!("t{target}").into(),
            service: "gates".into(),
            data_centre: "devin".into(),
            address: ([127, 0, 0, 1], 80).into(),
            slots: SLOTS,
            connections: 100,
            refusal_is_not_run: true,
            leaving: false,
            incarnation: 0,
        }),
        load: Arc::new(TargetLoad::new(SLOTS + TARGET_QUEUE as u32)),
        health: HealthState::Healthy,
        round_trip_us: 2 * ONE_WAY_US,
        is_local: true,
    };
    let retries = RetryBudget::with_unspent_reserve(0.2);
    retries.set_reserve(RETRY_RESERVE / INSTANCES as f64, MEASURE_PERIOD_US);
    let load = ServiceLoad::with_retries(retries, Arc::default());
    load.priorities.set(Some(0..=3));
    load.median_us
        .store(WORK_MS as u64 * MS_US, Ordering::Relaxed);
    load.set_latency_profile(LatencyProfile {
        median_us: WORK_MS as u64 * MS_US,
        spread_milli: 400,
    });
    Instance {
        id: format!("i{number}").into(),
        table: Arc::new(ServiceTable {
            service: Arc::new(service("gates")),
            load: Arc::new(load),
            candidates: (0..TARGETS).map(candidate).collect(),
            choice_strategy: ChoiceStrategy::FailureProbability,
            subset: None,
        }),
        queue: FairQueue::default(),
    }
}

impl<'a> Simulation<'a> {
    pub(crate) fn run(trace: &'a Trace) -> Results {
        let mut simulation = Self {
            trace,
            now_us: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(trace.seed),
            instances: (0..INSTANCES).map(instance).collect(),
            targets: (0..TARGETS).map(|_| TargetModel::default()).collect(),
            runs: Vec::new(),
            begun: VecDeque::new(),
            results: Results {
                in_time: vec![false; trace.calls.len()],
                answered: vec![false; trace.calls.len()],
                ..Results::default()
            },
        };
        for (call, Call { began_us, .. }) in trace.calls.iter().enumerate() {
            simulation.schedule(*began_us, SimEvent::Arrive { call });
        }
        simulation.schedule(0, SimEvent::Measure);
        simulation.schedule(0, SimEvent::PollQueues);
        let end_us = trace.calls.last().map_or(0, Call::deadline_us);
        while let Some(Reverse((at_us, _, step))) = simulation.events.pop() {
            if at_us > end_us {
                break;
            }
            simulation.now_us = at_us;
            simulation.play(step);
        }
        simulation.results
    }

    fn schedule(&mut self, at_us: u64, step: SimEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at_us, self.sequence, step)));
    }

    fn play(&mut self, step: SimEvent) {
        match step {
            SimEvent::Arrive { call } => self.begin(call),
            SimEvent::Permit {
                run,
                is_permitted,
                in_flight,
            } => {
                let answer = match is_permitted {
                    true => PermitAnswer::Permitted { in_flight },
                    false => PermitAnswer::Denied {
                        in_flight,
                        wait_ms: 0,
                    },
                };
                let asked = self.runs[run].asked.take();
                self.runs[run].permit = asked.filter(|_| is_permitted);
                self.handle(run, Event::Permit(answer));
            }
            SimEvent::Loan { run, is_lent } => self.handle(run, Event::RetryAnswered { is_lent }),
            SimEvent::AtTarget { run, attempt } => self.arrive_at_target(run, attempt),
            SimEvent::WorkDone {
                target,
                run,
                attempt,
            } => {
                self.targets[target].in_work -= 1;
                self.start_next(target);
                self.schedule(
                    self.now_us + ONE_WAY_US,
                    SimEvent::Responded { run, attempt },
                );
            }
            SimEvent::Refused { run, attempt } => {
                self.release(run);
                let failure = Failure::Refused;
                self.handle(run, Event::Failed { attempt, failure });
            }
            SimEvent::Responded { run, attempt } => {
                self.release(run);
                self.handle(
                    run,
                    Event::Head {
                        attempt,
                        status: 200,
                    },
                );
            }
            SimEvent::Deadline { run } => self.handle(run, Event::Deadline),
            SimEvent::PollQueues => self.poll_queues(),
            SimEvent::Measure => self.measure(),
        }
    }

    fn begin(&mut self, call: usize) {
        self.results.begun += 1;
        let instance = self.rng.random_range(0..INSTANCES);
        let deadline_us = self.trace.calls[call].deadline_us();
        let kind = self.trace.calls[call].kind;
        let request = Request {
            deadline_us,
            caller_deadline_us: deadline_us,
            claims_key: false,
            replayable: true,
            repeatable: kind % 2 == 1,
            max_attempts: 3,
            priority: Some(kind as u8),
            objective_us: Some(self.trace.calls[call].objective_us),
            // The instance does not know of the caller's earlier tries.
            began_us: self.now_us,
            fingerprint: Fingerprint::default(),
            may_hand_over: false,
            is_handed_over: false,
        };
        let table = self.instances[instance].table.clone();
        self.runs.push(Run {
            call,
            instance,
            exchange: Exchange::new(request, table),
            targets: Vec::new(),
            permit: None,
            asked: None,
        });
        let run = self.runs.len() - 1;
        self.schedule(deadline_us, SimEvent::Deadline { run });
        self.handle(run, Event::Begin);
    }

    fn handle(&mut self, run: usize, event: Event) {
        let step = self.runs[run]
            .exchange
            .on(self.now_us, event, &mut self.rng);
        let (instance, call) = (self.runs[run].instance, self.runs[run].call);
        match step {
            Step::Send { attempt, candidate } => {
                self.results.retries += usize::from(attempt > 0);
                self.runs[run].targets.push(candidate);
                self.schedule(
                    self.now_us + ONE_WAY_US,
                    SimEvent::AtTarget { run, attempt },
                );
            }
            Step::RequestPermit { candidate } => self.request_permit(run, candidate),
            Step::Enqueue => {
                let customer = self.customer(run);
                let Call { kind, .. } = self.trace.calls[call];
                let deadline_us = self.trace.calls[call].deadline_us();
                let queue = &mut self.instances[instance].queue;
                let pushed = queue.push(self.now_us, (kind as u8, &customer), deadline_us, 32, run);
                if let Err(refusal) = pushed {
                    self.handle(run, Event::Refused(refusal));
                }
            }
            Step::BorrowRetry => {
                let lender = self.rng.random_range(0..INSTANCES);
                let retries = &self.instances[lender].table.load.retries;
                let is_lent = lender != instance && retries.take_above(1.0 / 3.0);
                self.schedule(
                    self.now_us + 2 * ONE_WAY_US,
                    SimEvent::Loan { run, is_lent },
                );
            }
            Step::Forward { .. } => {
                let Call {
                    began_us,
                    objective_us,
                    ..
                } = self.trace.calls[call];
                // The way to the caller and back.
                let answered_us = self.now_us + 16 * MS_US;
                self.results.answered[call] = true;
                self.results.in_time[call] = answered_us <= began_us + objective_us;
                self.runs[run]
                    .exchange
                    .on(self.now_us, Event::Ended, &mut self.rng);
            }
            Step::Reply(reply) => self.come_back(call, reply),
            _ => {}
        }
    }

    fn come_back(&mut self, call: usize, reply: Reply) {
        let left_us = self.trace.calls[call]
            .deadline_us()
            .saturating_sub(self.now_us);
        let wait_us = reply.retry_after_ms.map(|wait_ms| wait_ms * MS_US);
        match wait_us.filter(|wait_us| *wait_us <= left_us / 3) {
            Some(wait_us) => {
                let at_us = self.now_us + wait_us + RECONNECT_US;
                self.schedule(at_us, SimEvent::Arrive { call });
            }
            None => {
                let code = reply.code.number();
                *self.results.last_codes.entry(code).or_default() += 1;
            }
        }
    }

    fn customer(&self, run: usize) -> Arc<str> {
        format!("c{}", self.trace.calls[self.runs[run].call].customer).into()
    }

    fn request_permit(&mut self, run: usize, target: usize) {
        let rank = self.runs[run]
            .exchange
            .priority()
            .map(|priority| PermitRank {
                priority,
                customer: self.customer(run),
            });
        let instance = self.runs[run].instance;
        let left_us = self.runs[run].exchange.permit_left_us(self.now_us);
        let params = PermitParams {
            left_ms: (left_us / MS_US) as u32,
            work_ms: WORK_MS as u32,
            slots: SLOTS,
            untracked: 0,
            rate_limit_milli: None,
        };
        let ownership = Ownership {
            owned_us: 60 * SECOND_US,
            reachable_share: 1.0,
        };
        let permit = (&self.instances[instance].id, run as u64);
        let ledger = &mut self.targets[target].ledger;
        let decision = ledger.request_ranked(self.now_us, permit, params, ownership, rank.as_ref());
        self.runs[run].asked = Some(target);
        let answer = SimEvent::Permit {
            run,
            is_permitted: decision.is_permitted,
            in_flight: decision.in_flight,
        };
        self.schedule(self.now_us + 2 * ONE_WAY_US, answer);
    }

    fn release(&mut self, run: usize) {
        let Some(target) = self.runs[run].permit.take() else {
            return;
        };
        let id = &self.instances[self.runs[run].instance].id;
        self.targets[target].ledger.release(id, run as u64);
    }

    fn arrive_at_target(&mut self, run: usize, attempt: usize) {
        let target = self.runs[run].targets[attempt];
        let (from_us, until_us) = self.trace.refusing_us;
        let is_refusing = (from_us..until_us).contains(&self.now_us)
            && self.rng.random_bool(self.trace.refused_share);
        let model = &mut self.targets[target];
        if is_refusing || model.queue.len() >= TARGET_QUEUE {
            self.schedule(self.now_us + ONE_WAY_US, SimEvent::Refused { run, attempt });
            return;
        }
        model.queue.push_back((run, attempt));
        self.start_next(target);
    }

    fn start_next(&mut self, target: usize) {
        let model = &mut self.targets[target];
        while model.in_work < SLOTS
            && let Some((run, attempt)) = model.queue.pop_front()
        {
            model.in_work += 1;
            let work_us = self.trace.calls[self.runs[run].call].work_us;
            let done = SimEvent::WorkDone {
                target,
                run,
                attempt,
            };
            self.sequence += 1;
            self.events
                .push(Reverse((self.now_us + work_us, self.sequence, done)));
        }
    }

    fn poll_queues(&mut self) {
        for instance in 0..INSTANCES {
            let Instance { table, queue, .. } = &mut self.instances[instance];
            let count = table.decidable(self.now_us, queue.len(), None);
            let woken: Vec<usize> = (0..count).map_while(|_| queue.pop(self.now_us)).collect();
            for run in woken {
                self.handle(run, Event::Dequeued);
            }
        }
        self.schedule(self.now_us + 5 * MS_US, SimEvent::PollQueues);
    }

    /// Publishes the load of the last 4 s to all instances.
    fn measure(&mut self) {
        let counted: u64 = self
            .instances
            .iter()
            .map(|instance| {
                let load = &instance.table.load;
                load.begun.load(Ordering::Relaxed) - load.returned.load(Ordering::Relaxed)
            })
            .sum();
        self.begun.push_back(counted);
        if self.begun.len() > 9 {
            self.begun.pop_front();
        }
        let periods = (self.begun.len() - 1).max(1) as f64;
        let begun = counted.saturating_sub(self.begun.front().copied().unwrap_or(0));
        let rate_per_s = begun as f64 / (periods * MEASURE_PERIOD_US as f64 / 1e6);
        let slots = TARGETS as u32 * SLOTS;
        let estimate = LoadEstimate {
            rate_per_s: (periods >= 6.0).then_some(rate_per_s),
            work_s: WORK_MS / 1e3,
            healthy_slots: slots,
            slots,
        };
        for instance in &self.instances {
            let load = &instance.table.load;
            let needed_slots = (rate_per_s * WORK_MS / 1e3) as u32;
            load.needed_slots.store(needed_slots, Ordering::Relaxed);
            load.local_slots.store(needed_slots, Ordering::Relaxed);
            load.fleet_rate_milli
                .store((rate_per_s * 1e3) as u64, Ordering::Relaxed);
            load.retries
                .set_reserve(RETRY_RESERVE / INSTANCES as f64, MEASURE_PERIOD_US);
            let was_overloaded = load.overload.is_overloaded();
            load.overload.update(
                estimate.is_overloaded(was_overloaded),
                estimate.servable_share(),
                WORK_MS as u64 * MS_US,
            );
        }
        self.schedule(self.now_us + MEASURE_PERIOD_US, SimEvent::Measure);
    }
}
