//! Requests that crash each target that runs them, and come again at other instances.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::ResultCode;
use policy::exchange::AttemptEnd;
use policy::exchange::Event;
use policy::exchange::Exchange;
use policy::exchange::Failure;
use policy::exchange::Observation;
use policy::exchange::Reply;
use policy::exchange::Request;
use policy::exchange::Step;
use policy::instance::PermitAnswer;
use policy::quarantine::Crash;
use policy::quarantine::Fingerprint;
use policy::quarantine::RequestContent;
use policy::routing::TargetProcess;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fleet::Fleet;
use crate::fleet::INSTANCES;
use crate::fleet::SECOND_US;
use crate::scenarios::simulate_scenarios;

const MS_US: u64 = 1_000;
const STEP_US: u64 = 5 * MS_US;
const TARGETS: usize = 10;
const FIRST_REQUEST_US: u64 = 3 * SECOND_US;
const FIRST_DEADLY_US: u64 = 5 * SECOND_US;
const END_US: u64 = 40 * SECOND_US;
const REQUESTS_PER_S: u64 = 30;
const WORK_US: u64 = 500 * MS_US;
const TIME_LIMIT_US: u64 = 10 * SECOND_US;
/// Time from the start of a deadly request at a target to the end of the target's process.
const CRASH_AFTER_US: u64 = 100 * MS_US;
const RESTART_US: u64 = 3 * SECOND_US;
/// Longest time in which an instance finds out that a target's process has ended.
const CRASH_CHECK_US: u64 = 30 * MS_US;
/// The users' bound: attempts of a request from `STABLE_WINDOW_US` after its third crash.
const CRASHES: usize = 3;
const STABLE_WINDOW_US: u64 = 3 * SECOND_US;
const MAX_LATE_ATTEMPTS: usize = 3;
/// Random scenarios simulated in CI; `DEADLY_DAYS` sets another number, `DEADLY_FROM` the first
/// seed.
const DEFAULT_SCENARIOS: u64 = 60;

/// What happens besides the deadly requests.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    deadly_requests: u64,
    /// Crashes of targets that no request causes.
    other_crashes: u64,
    /// Restarts, suspensions and cuts of random instances.
    faults: u64,
    /// Share of the other requests that have the same content.
    popular_share: f64,
    /// Share of the attempts that targets reset and survive.
    reset_share: f64,
}

impl Scenario {
    fn random(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        Self {
            deadly_requests: rng.random_range(1..=2),
            other_crashes: 0,
            faults: rng.random_range(0..8),
            popular_share: rng.random_range(0.0..0.5),
            reset_share: rng.random_range(0.0..0.3),
        }
    }

    /// No deadly requests, but targets that crash for other reasons.
    fn without_deadly_requests(seed: u64) -> Self {
        let scenario = Self::random(seed);
        Self {
            deadly_requests: 0,
            other_crashes: seed % 12,
            ..scenario
        }
    }
}

struct Running {
    node: usize,
    deadly: Option<u64>,
    exchange: Exchange,
    attempt: usize,
    target: usize,
    incarnation: u64,
    ends_us: u64,
}

#[derive(Default)]
struct Outcome {
    /// Crashes by deadly request.
    crashes_us: BTreeMap<u64, Vec<u64>>,
    /// Attempts by deadly request at instances in touch with the others.
    attempts_us: BTreeMap<u64, Vec<u64>>,
    /// Refusals of requests that crash nothing, by result code.
    refusals: BTreeMap<u16, usize>,
    served: usize,
}

impl Outcome {
    /// The most attempts of a deadly request after the users' bound.
    fn late_attempts(&self) -> usize {
        let late = self.crashes_us.iter().filter_map(|(deadly, crashes_us)| {
            let bound_us = crashes_us.get(CRASHES - 1)? + STABLE_WINDOW_US;
            let attempts_us = self.attempts_us.get(deadly)?;
            Some(
                attempts_us
                    .iter()
                    .filter(|at_us| **at_us > bound_us)
                    .count(),
            )
        });
        late.max().unwrap_or(0)
    }
}

struct Simulation {
    fleet: Fleet,
    rng: ChaCha8Rng,
    scenario: Scenario,
    outcome: Outcome,
    running: Vec<Running>,
    /// Time at which a crashed target is back.
    back_us: BTreeMap<usize, u64>,
    reports: Vec<(u64, usize, Crash)>,
    /// Time until which an instance counts as out of touch.
    excused_until_us: [u64; INSTANCES],
    requests: u64,
}

fn fingerprint(name: &str) -> Fingerprint {
    let content = RequestContent {
        customer: None,
        method: "GET",
        host: "gates.example",
        path: name,
        body_length: Some(0),
        body: b"",
    };
    content.fingerprint()
}

impl Simulation {
    fn new(seed: u64, scenario: Scenario) -> Self {
        Self {
            fleet: Fleet::with_targets(seed, TARGETS),
            rng: ChaCha8Rng::seed_from_u64(seed),
            scenario,
            outcome: Outcome::default(),
            running: Vec::new(),
            back_us: BTreeMap::new(),
            reports: Vec::new(),
            excused_until_us: [0; INSTANCES],
            requests: 0,
        }
    }

    fn run(mut self) -> Outcome {
        let mut faults_us: Vec<u64> = (0..self.scenario.faults)
            .map(|_| self.rng.random_range(FIRST_DEADLY_US..END_US))
            .collect();
        let mut crashes_us: Vec<u64> = (0..self.scenario.other_crashes)
            .map(|_| self.rng.random_range(FIRST_DEADLY_US..END_US))
            .collect();
        let mut next_deadly_us = FIRST_DEADLY_US;
        let mut at_us = 0;
        while at_us < END_US {
            at_us += STEP_US;
            self.fleet.run(at_us);
            self.excuse_impaired(at_us);
            faults_us.retain(|fault_us| {
                let is_due = *fault_us <= at_us;
                if is_due {
                    impair(&mut self.fleet, &mut self.rng, at_us);
                }
                !is_due
            });
            crashes_us.retain(|crash_us| {
                let is_due = *crash_us <= at_us;
                if is_due {
                    let target = self.rng.random_range(0..TARGETS);
                    self.end_process(at_us, target);
                }
                !is_due
            });
            self.report_crashes(at_us);
            self.restart_targets(at_us);
            self.end_attempts(at_us);
            if at_us < FIRST_REQUEST_US {
                continue;
            }
            if self
                .rng
                .random_ratio((REQUESTS_PER_S * STEP_US) as u32, SECOND_US as u32)
            {
                self.begin(at_us, None);
            }
            if self.scenario.deadly_requests > 0 && at_us >= next_deadly_us {
                next_deadly_us = at_us + self.rng.random_range(100..1_000) * MS_US;
                let deadly = self.rng.random_range(0..self.scenario.deadly_requests);
                self.begin(at_us, Some(deadly));
            }
        }
        self.outcome
    }

    fn excuse_impaired(&mut self, now_us: u64) {
        for node in 0..INSTANCES {
            if self.fleet.is_impaired(node) || !self.fleet.is_ready(node) {
                self.excused_until_us[node] = now_us + STABLE_WINDOW_US;
            }
        }
    }

    fn report_crashes(&mut self, now_us: u64) {
        let due = |(at_us, node, _): &mut (u64, usize, Crash)| {
            *at_us <= now_us && self.fleet.paused_until_us(*node).is_none()
        };
        let reports: Vec<_> = self.reports.extract_if(.., due).collect();
        for (_, node, crash) in reports {
            self.fleet.report_crash(node, crash);
        }
    }

    fn restart_targets(&mut self, now_us: u64) {
        let back: Vec<usize> = self
            .back_us
            .extract_if(.., |_, at_us| *at_us <= now_us)
            .map(|(target, _)| target)
            .collect();
        for target in back {
            self.fleet.restart_target(target as u64);
        }
    }

    fn end_attempts(&mut self, now_us: u64) {
        let due = |running: &mut Running| running.ends_us <= now_us;
        let ended: Vec<Running> = self.running.extract_if(.., due).collect();
        for running in ended {
            match running.deadly {
                Some(deadly) => self.crash(now_us, deadly, running),
                None => self.end_attempt(now_us, running),
            }
        }
    }

    /// Ends the process of a target, which cuts all its requests.
    fn crash(&mut self, now_us: u64, deadly: u64, running: Running) {
        let target = running.target;
        if self.back_us.contains_key(&target) {
            return self.cut(now_us, running);
        }
        let crashes_us = self.outcome.crashes_us.entry(deadly).or_default();
        crashes_us.push(now_us);
        self.end_process(now_us, target);
        self.cut(now_us, running);
    }

    fn end_process(&mut self, now_us: u64, target: usize) {
        self.back_us.insert(target, now_us + RESTART_US);
        let is_cut = |other: &mut Running| other.target == target;
        let victims: Vec<Running> = self.running.extract_if(.., is_cut).collect();
        for victim in victims {
            self.cut(now_us, victim);
        }
    }

    fn cut(&mut self, now_us: u64, running: Running) {
        let check_us = self.rng.random_range(0..CRASH_CHECK_US);
        let crash = Crash {
            fingerprint: running.exchange.fingerprint(),
            process: TargetProcess {
                target: target_name(running.target),
                incarnation: running.incarnation,
            },
        };
        self.reports.push((now_us + check_us, running.node, crash));
        self.observe(&running, AttemptEnd::Cut);
        self.continue_exchange(now_us, running, |attempt| Event::Failed {
            attempt,
            failure: Failure::Cut,
        });
    }

    fn end_attempt(&mut self, now_us: u64, running: Running) {
        if self.rng.random_bool(self.scenario.reset_share) {
            self.observe(&running, AttemptEnd::Cut);
            return self.continue_exchange(now_us, running, |attempt| Event::Failed {
                attempt,
                failure: Failure::Cut,
            });
        }
        let end = AttemptEnd::Answered {
            good: true,
            latency_us: WORK_US,
        };
        self.observe(&running, end);
        self.outcome.served += 1;
        let fingerprint = running.exchange.fingerprint();
        let table = self.fleet.table(running.node);
        let load = &table.services["gates"].load;
        if load.quarantine.has_case(&fingerprint) {
            self.fleet.clear_request(running.node, fingerprint);
        }
    }

    fn observe(&mut self, running: &Running, end: AttemptEnd) {
        let observation = Observation {
            service: "gates".into(),
            target: target_name(running.target),
            end,
            overdue_reports: 0,
            has_full_time: true,
        };
        self.fleet.observe(running.node, observation);
    }

    fn continue_exchange(
        &mut self,
        now_us: u64,
        mut running: Running,
        event: impl Fn(usize) -> Event,
    ) {
        let event = event(running.attempt);
        let step = running.exchange.on(now_us, event, &mut self.rng);
        self.carry_out(now_us, running.node, running.deadly, running.exchange, step);
    }

    fn begin(&mut self, now_us: u64, deadly: Option<u64>) {
        let node = self.rng.random_range(0..INSTANCES);
        if !self.fleet.is_ready(node) || self.fleet.paused_until_us(node).is_some() {
            return;
        }
        let table = self.fleet.table(node).services["gates"].clone();
        self.requests += 1;
        let name = match deadly {
            Some(deadly) => format!("/deadly/{deadly}"),
            None if self.rng.random_bool(self.scenario.popular_share) => "/popular".to_owned(),
            None => format!("/harmless/{}", self.requests),
        };
        let request = Request {
            deadline_us: now_us + TIME_LIMIT_US,
            caller_deadline_us: now_us + TIME_LIMIT_US,
            claims_key: false,
            replayable: true,
            repeatable: true,
            max_attempts: 3,
            priority: None,
            objective_us: None,
            began_us: now_us,
            fingerprint: fingerprint(&name),
            may_hand_over: false,
            is_handed_over: false,
        };
        let mut exchange = Exchange::new(request, table);
        let step = exchange.on(now_us, Event::Begin, &mut self.rng);
        self.carry_out(now_us, node, deadly, exchange, step);
    }

    fn carry_out(
        &mut self,
        now_us: u64,
        node: usize,
        deadly: Option<u64>,
        mut exchange: Exchange,
        mut step: Step,
    ) {
        loop {
            let event = match step {
                Step::Send { attempt, candidate } => {
                    let target = exchange.table().candidates[candidate].target.clone();
                    let number = target_number(&target.name);
                    if self.back_us.contains_key(&number) {
                        Event::Failed {
                            attempt,
                            failure: Failure::NotSent,
                        }
                    } else {
                        self.record_attempt(now_us, node, deadly);
                        let work_us = match deadly {
                            Some(_) => CRASH_AFTER_US,
                            None => self.rng.random_range(WORK_US / 2..2 * WORK_US),
                        };
                        self.running.push(Running {
                            node,
                            deadly,
                            exchange,
                            attempt,
                            target: number,
                            incarnation: target.incarnation,
                            ends_us: now_us + work_us,
                        });
                        return;
                    }
                }
                Step::RequestPermit { .. } => Event::Permit(PermitAnswer::Unknown),
                Step::BorrowRetry => Event::RetryAnswered { is_lent: false },
                Step::Reply(Reply { code, .. }) => {
                    if deadly.is_none() {
                        *self.outcome.refusals.entry(code.number()).or_default() += 1;
                    }
                    return;
                }
                _ => return,
            };
            step = exchange.on(now_us, event, &mut self.rng);
        }
    }

    fn record_attempt(&mut self, now_us: u64, node: usize, deadly: Option<u64>) {
        if let Some(deadly) = deadly
            && self.excused_until_us[node] <= now_us
        {
            let attempts_us = self.outcome.attempts_us.entry(deadly).or_default();
            attempts_us.push(now_us);
        }
    }
}

fn target_name(number: usize) -> Arc<str> {
    format!("t{number:03}").into()
}

fn target_number(name: &str) -> usize {
    let number = name.trim_start_matches('t').parse();
    number.expect("targets are numbered")
}

/// Restarts, suspends or cuts off a random instance.
fn impair(fleet: &mut Fleet, rng: &mut ChaCha8Rng, now_us: u64) {
    let node = rng.random_range(0..INSTANCES);
    let until_us = now_us + rng.random_range(SECOND_US..6 * SECOND_US);
    match rng.random_range(0..3) {
        0 => {
            fleet.stop(node);
            fleet.start_again(node);
        }
        1 => fleet.pause(node, until_us),
        _ => fleet.cut(node, until_us),
    }
}

/// Simulates scenarios; returns those that `is_broken`.
fn run_scenarios<T: Send>(
    scenario: impl Fn(u64) -> Scenario + Sync,
    is_broken: impl Fn(&Outcome) -> Option<T> + Sync,
) -> Vec<(u64, T)> {
    simulate_scenarios("DEADLY", DEFAULT_SCENARIOS, |seed| {
        let outcome = Simulation::new(seed, scenario(seed)).run();
        assert!(outcome.served > 0, "seed {seed} served nothing");
        is_broken(&outcome)
    })
}

#[test]
fn requests_that_crashed_three_targets_are_sent_three_times_more_at_most() {
    let broken = run_scenarios(Scenario::random, |outcome| {
        let late = outcome.late_attempts();
        (late > MAX_LATE_ATTEMPTS).then_some(late)
    });
    let worst = broken.iter().map(|(_, late)| *late).max().unwrap_or(0);
    println!(
        "scenarios over the bound: {}, {worst} late attempts at most",
        broken.len()
    );
    let first: Vec<_> = broken.iter().take(8).collect();
    assert!(broken.is_empty(), "{} scenarios; {first:?}", broken.len());
}

fn count_false_quarantines(outcome: &Outcome) -> Option<usize> {
    let code = ResultCode::Quarantined.number();
    outcome.refusals.get(&code).copied()
}

fn assert_no_false_quarantines(broken: &[(u64, usize)]) {
    let refused: usize = broken.iter().map(|(_, refused)| refused).sum();
    println!(
        "scenarios with false refusals: {}, {refused} in all",
        broken.len()
    );
    let first: Vec<_> = broken.iter().take(8).collect();
    assert!(broken.is_empty(), "{} scenarios; {first:?}", broken.len());
}

#[test]
fn requests_at_crashes_of_other_causes_are_not_quarantined() {
    let broken = run_scenarios(Scenario::without_deadly_requests, count_false_quarantines);
    assert_no_false_quarantines(&broken);
}

#[test]
fn requests_beside_deadly_ones_are_not_quarantined() {
    let broken = run_scenarios(Scenario::random, count_false_quarantines);
    assert_no_false_quarantines(&broken);
}
