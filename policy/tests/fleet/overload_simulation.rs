//! Callers, targets with queues and spells of failing, before a fleet without a network.
//!
//! A spell holds some targets, which reset most of what they get. Callers have much time
//! or little; those refused come back as they are told. Whoever finds no free slot at a
//! target waits there.

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
use policy::exchange::Observation;
use policy::exchange::Reply;
use policy::exchange::Request;
use policy::exchange::Step;
use policy::instance::PERMIT_LIMIT_US;
use policy::instance::PermitAnswer;
use policy::instance::PermitRequest;
use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use crate::fleet::Fleet;
use crate::fleet::INSTANCES;
use crate::fleet::SECOND_US;

pub(crate) const SLOTS: usize = 6;
/// Requests that wait at a target before it refuses more.
const QUEUE: usize = 24;
/// Times that a caller comes back after it was refused.
const RETURNS: u32 = 3;
const PATIENT_US: u64 = 6 * SECOND_US;
/// The least part of a request's time at a target.
const LEAST_WORK: f64 = 0.55;

/// A time in which some targets reset what they get.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Spell {
    pub(crate) from_us: u64,
    pub(crate) until_us: u64,
    /// Targets that it does not hold.
    pub(crate) sound: usize,
}

/// What a crowd meets.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) targets: usize,
    pub(crate) spells: Vec<Spell>,
    /// Share of the requests that a target in a spell resets.
    pub(crate) reset: f64,
    /// When all instances start anew, if they do.
    pub(crate) restart_us: Option<u64>,
    pub(crate) calm_per_s: f64,
    pub(crate) spell_per_s: f64,
    /// Share of the callers that have little time, and how much that is.
    pub(crate) hurried: f64,
    pub(crate) hurried_us: u64,
    /// Whether these come back, too.
    pub(crate) hurried_return: bool,
    /// Mean time of a request at a target.
    pub(crate) work_us: f64,
    pub(crate) end_us: u64,
}

impl Scenario {
    /// One of the days on which a few targets are left for a load.
    pub(crate) fn drawn(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let targets: usize = rng.random_range(4..=17);
        let work_us = rng.random_range(0.3e6..0.63e6);
        let sound = |rng: &mut ChaCha8Rng| rng.random_range(0..=targets.div_ceil(3));
        let first = Spell {
            from_us: rng.random_range(14 * SECOND_US..18 * SECOND_US),
            until_us: rng.random_range(22 * SECOND_US..28 * SECOND_US),
            sound: sound(&mut rng).max(1),
        };
        let second = Spell {
            from_us: first.until_us + rng.random_range(0..4 * SECOND_US),
            until_us: 36 * SECOND_US,
            sound: sound(&mut rng),
        };
        let can_per_s = |targets: usize| (targets * SLOTS) as f64 / work_us * 1e6;
        let load = rng.random_range(0.5..3.0) * can_per_s(first.sound);
        let per_s = load.min(0.7 * can_per_s(targets));
        let restart_us = rng.random_range(first.from_us..second.until_us);
        Self {
            targets,
            spells: vec![first, second],
            reset: 0.85,
            restart_us: rng.random_bool(0.3).then_some(restart_us),
            calm_per_s: per_s,
            spell_per_s: per_s,
            hurried: rng.random_range(0.1..0.5),
            hurried_us: rng.random_range(800_000..1_000_000),
            hurried_return: false,
            work_us,
            end_us: 40 * SECOND_US,
        }
    }

    /// Requests that some sound targets can finish in a second.
    pub(crate) fn can_per_s(&self, sound: usize) -> f64 {
        (sound * SLOTS) as f64 / self.work_us * 1e6
    }

    fn spell(&self, at_us: u64) -> Option<usize> {
        let holds = |spell: &Spell| (spell.from_us..spell.until_us).contains(&at_us);
        self.spells.iter().position(holds)
    }
}

/// What became of a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Story {
    pub(crate) first_us: u64,
    pub(crate) is_hurried: bool,
    pub(crate) served_us: Option<u64>,
    /// Whether it was under way when all instances ended.
    pub(crate) is_lost: bool,
}

/// What became of all callers.
#[derive(Debug, Default)]
pub(crate) struct Account {
    pub(crate) stories: Vec<Story>,
    /// Sends to sound targets in spells, by the caller's first arrival, and whether the
    /// queue there was known to be longer than the time left.
    pub(crate) sends: Vec<(u64, bool)>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happens {
    Arrives { story: usize, returns: u32 },
    Finishes(u64),
    RunsOut(u64),
    AskRunsOut(u64),
}

struct Work {
    node: usize,
    exchange: Exchange,
    attempt: usize,
    target: Arc<str>,
    sent_us: u64,
    story: usize,
    returns: u32,
    /// The question that a permit was given for.
    permit: Option<u64>,
}

#[derive(Default)]
struct Place {
    running: BTreeSet<u64>,
    waiting: VecDeque<u64>,
}

pub(crate) struct Crowd {
    scenario: Scenario,
    fleet: Fleet,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Happens)>>,
    works: BTreeMap<u64, Work>,
    /// Requests that wait for a permit, by their questions.
    asking: BTreeMap<u64, (u64, Work)>,
    places: BTreeMap<Arc<str>, Place>,
    failing: BTreeSet<Arc<str>>,
    spell: Option<usize>,
    next: u64,
    rng: ChaCha8Rng,
    account: Account,
}

impl Crowd {
    pub(crate) fn new(seed: u64, scenario: Scenario) -> Self {
        Self {
            fleet: Fleet::with_targets(seed, scenario.targets),
            scenario,
            now_us: 0,
            events: BinaryHeap::new(),
            works: BTreeMap::new(),
            asking: BTreeMap::new(),
            places: BTreeMap::new(),
            failing: BTreeSet::new(),
            spell: None,
            next: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            account: Account::default(),
        }
    }

    pub(crate) fn play(mut self) -> Account {
        self.draw_callers();
        let mut restart_us = self.scenario.restart_us;
        while let Some(Reverse((at_us, ..))) = self.events.peek() {
            let at_us = restart_us.map_or(*at_us, |restart_us| restart_us.min(*at_us));
            if let Some((question, answer)) = self.fleet.run_to_answer(at_us) {
                self.now_us = self.fleet.now_us();
                self.change_spell();
                self.answered(question, answer);
                continue;
            }
            if let Some(due_us) = restart_us.filter(|due_us| *due_us <= at_us) {
                self.now_us = due_us;
                self.restart();
                restart_us = None;
                continue;
            }
            let Some(Reverse((_, _, happens))) = self.events.pop() else {
                break;
            };
            self.now_us = at_us;
            self.change_spell();
            match happens {
                Happens::Arrives { story, returns } => self.arrive(story, returns),
                Happens::Finishes(id) => self.finish(id),
                Happens::RunsOut(id) => self.run_out(id),
                Happens::AskRunsOut(question) => {
                    self.answered(question, PermitAnswer::Unknown);
                }
            }
        }
        self.account
    }

    fn draw_callers(&mut self) {
        let mut at_us = 2 * SECOND_US;
        while at_us < self.scenario.end_us {
            let rate = match self.scenario.spell(at_us) {
                Some(_) => self.scenario.spell_per_s,
                None => self.scenario.calm_per_s,
            };
            at_us += self.exponential(1e6 / rate);
            let story = self.account.stories.len();
            self.account.stories.push(Story {
                first_us: at_us,
                is_hurried: self.rng.random_bool(self.scenario.hurried),
                served_us: None,
                is_lost: false,
            });
            self.at(at_us, Happens::Arrives { story, returns: 0 });
        }
    }

    /// Lets all instances start anew; what they have under way is lost.
    fn restart(&mut self) {
        self.fleet.restart();
        for (id, work) in std::mem::take(&mut self.works) {
            self.account.stories[work.story].is_lost = true;
            self.leave(id, &work.target);
        }
        for (_, (_, work)) in std::mem::take(&mut self.asking) {
            self.account.stories[work.story].is_lost = true;
        }
    }

    fn change_spell(&mut self) {
        let spell = self.scenario.spell(self.now_us);
        if spell == self.spell {
            return;
        }
        self.spell = spell;
        let sound = spell.map_or(self.scenario.targets, |at| self.scenario.spells[at].sound);
        let held = self.scenario.targets - sound;
        let held = (0..self.scenario.targets).sample(&mut self.rng, held);
        self.failing = held
            .into_iter()
            .map(|at| format!("t{at:03}").into())
            .collect();
    }

    fn exponential(&mut self, mean_us: f64) -> u64 {
        let drawn: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        (-drawn.ln() * mean_us) as u64
    }

    fn at(&mut self, at_us: u64, happens: Happens) {
        self.next += 1;
        self.events.push(Reverse((at_us, self.next, happens)));
    }

    fn deadline_us(&self, story: usize) -> u64 {
        let story = &self.account.stories[story];
        story.first_us
            + match story.is_hurried {
                true => self.scenario.hurried_us,
                false => PATIENT_US,
            }
    }

    fn arrive(&mut self, story: usize, returns: u32) {
        let node = self.rng.random_range(0..INSTANCES);
        let deadline_us = self.deadline_us(story);
        let request = Request {
            deadline_us,
            caller_deadline_us: deadline_us,
            claims_key: false,
            replayable: true,
            repeatable: true,
            max_attempts: 2,
        };
        let Some(table) = self.fleet.table(node).services.get("gates").cloned() else {
            return;
        };
        let mut work = Work {
            node,
            exchange: Exchange::new(request, table),
            attempt: 0,
            target: "".into(),
            sent_us: self.now_us,
            story,
            returns,
            permit: None,
        };
        let step = work.exchange.on(self.now_us, Event::Begin, &mut self.rng);
        self.next += 1;
        let id = self.next;
        self.events
            .push(Reverse((deadline_us, id, Happens::RunsOut(id))));
        self.follow(id, work, step);
    }

    fn follow(&mut self, id: u64, mut work: Work, mut step: Step) {
        loop {
            step = match step {
                Step::Send { attempt, candidate } => {
                    work.attempt = attempt;
                    work.sent_us = self.now_us;
                    let table = work.exchange.table();
                    work.target = table.candidates[candidate].target.name.clone();
                    let is_held = self.failing.contains(&work.target);
                    if is_held && self.rng.random_bool(self.scenario.reset) {
                        self.fail(&mut work, AttemptEnd::Cut, Failure::Cut)
                    } else if self.enter(id, &work) {
                        self.works.insert(id, work);
                        return;
                    } else {
                        self.fail(&mut work, AttemptEnd::Shed, Failure::Refused)
                    }
                }
                Step::Ask { candidate } => return self.ask(id, work, candidate),
                Step::Reply(reply) => return self.come_back(&work, &reply),
                _ => return,
            };
        }
    }

    fn ask(&mut self, id: u64, work: Work, candidate: usize) {
        self.next += 1;
        let (number, node) = (self.next, work.node);
        let target = &work.exchange.table().candidates[candidate].target;
        let question = PermitRequest {
            number,
            target: target.name.clone(),
            left_us: self.deadline_us(work.story).saturating_sub(self.now_us),
        };
        self.asking.insert(number, (id, work));
        let runs_out_us = self.now_us + PERMIT_LIMIT_US;
        self.at(runs_out_us, Happens::AskRunsOut(number));
        self.fleet.ask_permit(node, question);
    }

    fn answered(&mut self, question: u64, answer: PermitAnswer) {
        let Some((id, mut work)) = self.asking.remove(&question) else {
            return;
        };
        match answer {
            PermitAnswer::Permitted { .. } => work.permit = Some(question),
            PermitAnswer::Denied { .. } => self.fleet.end_permit(work.node, question, false),
            PermitAnswer::Unknown => self.fleet.end_permit(work.node, question, true),
        }
        let permit = Event::Permit(answer);
        let step = work.exchange.on(self.now_us, permit, &mut self.rng);
        self.follow(id, work, step);
    }

    fn end_permit(&mut self, work: &mut Work) {
        if let Some(question) = work.permit.take() {
            self.fleet.end_permit(work.node, question, false);
        }
    }

    /// Lets a caller come back that was told when to, and that its request has not run.
    fn come_back(&mut self, work: &Work, reply: &Reply) {
        let left_us = self.deadline_us(work.story).saturating_sub(self.now_us);
        let after_us = reply.retry_after_ms.unwrap_or(u64::MAX / 2_000) * 1_000;
        let returns = !self.account.stories[work.story].is_hurried || self.scenario.hurried_return;
        let returns = returns && reply.outcome == Outcome::NotRun;
        if returns && after_us <= left_us / 3 && work.returns < RETURNS {
            let arrives = Happens::Arrives {
                story: work.story,
                returns: work.returns + 1,
            };
            self.at(self.now_us + after_us, arrives);
        }
    }

    fn fail(&mut self, work: &mut Work, end: AttemptEnd, failure: Failure) -> Step {
        self.end_permit(work);
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
    fn enter(&mut self, id: u64, work: &Work) -> bool {
        let left_us = self.deadline_us(work.story).saturating_sub(self.now_us) as f64;
        let place = self.places.entry(work.target.clone()).or_default();
        if place.waiting.len() >= QUEUE {
            return false;
        }
        let rounds = (place.running.len() + place.waiting.len()) as f64 / SLOTS as f64;
        let in_vain =
            rounds >= 1.0 && (rounds - 1.0 + LEAST_WORK) * self.scenario.work_us > left_us;
        place.waiting.push_back(id);
        if self.spell.is_some() && !self.failing.contains(&work.target) {
            let first_us = self.account.stories[work.story].first_us;
            self.account.sends.push((first_us, in_vain));
        }
        self.start_next(&work.target);
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
        let varying_us = self.exponential((1.0 - LEAST_WORK) * self.scenario.work_us);
        let work_us = (LEAST_WORK * self.scenario.work_us) as u64 + varying_us;
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
        self.end_permit(&mut work);
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
        self.account.stories[work.story].served_us = Some(self.now_us);
    }

    fn run_out(&mut self, id: u64) {
        let asks = self.asking.iter().find(|(_, (asking, _))| *asking == id);
        if let Some(question) = asks.map(|(question, _)| *question)
            && let Some((_, mut work)) = self.asking.remove(&question)
        {
            self.fleet.end_permit(work.node, question, false);
            work.exchange
                .on(self.now_us, Event::Deadline, &mut self.rng);
            return;
        }
        let Some(mut work) = self.works.remove(&id) else {
            return;
        };
        self.end_permit(&mut work);
        self.leave(id, &work.target);
        self.observe(&work, AttemptEnd::Cancelled);
        work.exchange
            .on(self.now_us, Event::Deadline, &mut self.rng);
    }
}
