//! Requests in the simulation: what the runner of an instance does.

use std::sync::Arc;

use model::Outcome;
use model::configuration::Class;
use model::configuration::Repeat;
use policy::command::ClaimAnswer;
use policy::command::ClaimState;
use policy::command::TicketAnswer;
use policy::exchange::Event as Happened;
use policy::exchange::Exchange;
use policy::exchange::Request;
use policy::exchange::Step;
use policy::instance::PermitAnswer;
use rand::RngExt;

use super::Event;
use super::MILLI_US;
use super::Mode;
use super::Moment;
use super::Naming;
use super::PlatformState;
use super::SECOND_US;
use super::Sim;
use super::flight::Flight;
use super::sim::PendingFinish;
use super::sim::Plan;

const SWEEP_US: u64 = 5 * MILLI_US;
const PLATFORM_US: u64 = 4 * MILLI_US;
const CLAIM_TRIES: u32 = 3;
const COMMAND_TRIES: u32 = 3;

impl Sim {
    /// A new request of a load.
    pub(super) fn arrive(&mut self, load: usize) {
        let Some(per_s) = self.deployment.loads.get(load).map(|load| load.per_s) else {
            return;
        };
        let gap_us = -(1.0 - self.rng.random::<f64>()).ln() * 1e6 / per_s;
        self.queue
            .push(self.now_us + gap_us as u64 + 1, Event::Arrive(load));
        if !self.loading {
            return;
        }
        let service = self.deployment.loads[load].service.clone();
        let Some(node) = self.balance() else {
            return;
        };
        let once = self
            .service_of(&service)
            .is_some_and(|service| service.repeat == Repeat::Never);
        if once && self.mode != Mode::RoundRobin {
            self.plan_command(node, service);
        } else {
            self.begin(node, service, None, Naming::None);
        }
    }

    /// A node that the balancer sends to.
    pub(super) fn balance(&mut self) -> Option<usize> {
        let open: Vec<usize> = (0..self.nodes.len())
            .filter(|at| self.nodes[*at].instance.is_some() && !self.nodes[*at].draining)
            .collect();
        (!open.is_empty()).then(|| open[self.rng.random_range(0..open.len())])
    }

    pub(super) fn service_of(&self, name: &str) -> Option<&model::configuration::Service> {
        self.deployment
            .note
            .services
            .add
            .iter()
            .find(|service| *service.name == *name)
    }

    /// A caller names a command and asks for it, again if it can't be sure.
    pub(super) fn plan_command(&mut self, node: usize, service: Arc<str>) {
        self.next_flight += 1;
        let command: Arc<str> = format!("c-{}", self.next_flight).into();
        let draw = self.rng.random::<f64>();
        let naming = if draw < self.naming[0] {
            Naming::Key(command.clone())
        } else if draw < self.naming[0] + self.naming[1] {
            match self.nodes[node].tickets.issue(self.now_us, &mut self.rng) {
                Some(ticket) => Naming::Ticket(ticket),
                None => return,
            }
        } else {
            Naming::None
        };
        let plan = Plan {
            service,
            naming,
            tries: 0,
        };
        self.plans.insert(command.clone(), plan);
        self.ask(&command);
    }

    /// Asks for a planned command at some node.
    pub(super) fn ask(&mut self, command: &Arc<str>) {
        let Some(plan) = self.plans.get_mut(command) else {
            return;
        };
        plan.tries += 1;
        let plan = plan.clone();
        let Some(node) = self.balance() else {
            return;
        };
        let node = match &plan.naming {
            Naming::Ticket(ticket) => match self.owner_of(node, &ticket.instance) {
                Some(owner) => owner,
                None => return self.told(command, Outcome::Unknown),
            },
            _ => node,
        };
        self.begin(node, plan.service, Some(command.clone()), plan.naming);
    }

    /// The node that a ticket's command is passed on to, as the node asked knows it.
    pub(super) fn owner_of(&self, asked: usize, owner: &str) -> Option<usize> {
        let directory = self.nodes[asked].instance.as_ref()?.shared().directory();
        let at = (0..self.nodes.len()).find(|at| format!("i-{at:04}") == owner)?;
        let known = at == asked || directory.contains_key(owner);
        (known && self.nodes[at].instance.is_some()).then_some(at)
    }

    pub(super) fn begin(
        &mut self,
        node: usize,
        service: Arc<str>,
        command: Option<Arc<str>>,
        naming: Naming,
    ) {
        *self.stats.begun.entry(service.clone()).or_default() += 1;
        self.next_flight += 1;
        let id = self.next_flight;
        let limit_us = self
            .service_of(&service)
            .map_or(SECOND_US, |service| service.time_limit_ms * MILLI_US);
        let deadline_us = self.now_us + limit_us;
        let mut flight = Flight {
            node,
            service: service.clone(),
            command,
            naming,
            attempt_tag: format!("{node}~{id}").into(),
            exchange: None,
            attempts: Vec::new(),
            began_us: self.now_us,
            deadline_us,
            passing: None,
        };
        if self.mode == Mode::RoundRobin {
            self.flights.insert(id, flight);
            self.queue.push(deadline_us, Event::Deadline(id));
            return self.send_round_robin(id);
        }
        let Some(instance) = &self.nodes[node].instance else {
            return;
        };
        let table = instance.shared().table();
        let open = table.ready && instance.shared().table_freshness().is_current(self.now_us);
        let Some(service_table) = table.services.get(&service).filter(|_| open) else {
            return self.refused(&flight, Outcome::NotRun);
        };
        if let Naming::Ticket(ticket) = &flight.naming {
            let answer = self.nodes[node].tickets.begin(self.now_us, ticket);
            let code = match answer {
                TicketAnswer::Begin => None,
                TicketAnswer::Held(state) => Some(
                    state
                        .code_for_repeat()
                        .unwrap_or(model::ResultCode::AlreadyBegun),
                ),
                TicketAnswer::NotFound => Some(model::ResultCode::TicketLost),
            };
            if let Some(code) = code {
                flight.naming = Naming::None;
                return self.refused(&flight, code.outcome());
            }
        }
        let request = Request {
            caller_deadline_us: deadline_us,
            deadline_us,
            claims_key: matches!(flight.naming, Naming::Key(_)),
            replayable: true,
            repeatable: service_table.repeatable(),
            max_attempts: policy::exchange::MAX_ATTEMPTS,
        };
        flight.exchange = Some(Exchange::new(request, service_table.clone()));
        if flight.command.is_some() {
            self.meet(Moment::Accept, node, None);
        }
        self.flights.insert(id, flight);
        self.queue.push(deadline_us, Event::Deadline(id));
        self.on(id, Happened::Begin);
    }

    /// Tells the exchange what happened and carries out its steps.
    pub(super) fn on(&mut self, id: u64, event: Happened) {
        let now_us = self.now_us;
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let Some(exchange) = &mut flight.exchange else {
            return;
        };
        let step = exchange.on(now_us, event, &mut self.rng);
        match step {
            Step::Claim => {
                let node = flight.node;
                self.meet(Moment::Claim, node, None);
                self.queue
                    .push(now_us + PLATFORM_US / 2, Event::Claim(id, 0));
            }
            // The simulated services place by standing, where none is crowded.
            Step::RequestPermit { .. } => self.on(id, Happened::Permit(PermitAnswer::Unknown)),
            Step::Enqueue => self.wait(id),
            Step::Send { attempt, candidate } => self.send_attempt(id, attempt, candidate),
            Step::Continue => {}
            Step::Forward { attempt } => self.pass(id, attempt),
            Step::Reply(reply) => self.end(id, reply.outcome, false),
            Step::Finish(outcome) => self.end(id, outcome, outcome == Outcome::Ran),
            Step::AbortConnection => self.end(id, Outcome::Unknown, false),
        }
    }

    pub(super) fn wait(&mut self, id: u64) {
        let flight = &self.flights[&id];
        let (node, service, deadline_us) =
            (flight.node, flight.service.clone(), flight.deadline_us);
        let limit = self
            .service_of(&service)
            .map_or(0, |service| service.queue as usize);
        let queue = self.nodes[node].waiting.entry(service).or_default();
        match queue.push(self.now_us, &"caller".into(), deadline_us, limit, id) {
            Ok(()) => self.sweep_later(node),
            Err(refusal) => self.on(id, Happened::Refused(refusal)),
        }
    }

    pub(super) fn sweep_later(&mut self, node: usize) {
        if !std::mem::replace(&mut self.nodes[node].sweeps, true) {
            self.queue.push(self.now_us + SWEEP_US, Event::Sweep(node));
        }
    }

    /// Calls waiting requests of a node as places are free.
    pub(super) fn sweep(&mut self, node: usize) {
        let now_us = self.now_us;
        let Some(instance) = &self.nodes[node].instance else {
            return;
        };
        let table = instance.shared().table();
        let mut called = Vec::new();
        let mut left = false;
        for (service, queue) in &mut self.nodes[node].waiting {
            let places = table.services.get(service).map_or(1, |service| {
                let candidates = service.candidates.iter();
                candidates
                    .filter(|candidate| candidate.load.has_room(now_us))
                    .count()
            });
            for _ in 0..places {
                called.extend(queue.pop(now_us));
            }
            left |= !queue.is_empty();
        }
        if left {
            self.sweep_later(node);
        }
        for id in called {
            self.on(id, Happened::Dequeued);
        }
    }

    /// A claim reaches the platform.
    pub(super) fn claim(&mut self, id: u64, tries: u32) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let Naming::Key(key) = flight.naming.clone() else {
            return;
        };
        let key = format!("claims/{key}");
        let tag = flight.attempt_tag.clone();
        let answer = self.platform.claim(self.now_us / MILLI_US, &key, &tag);
        let answer = answer.filter(|_| self.platform.state != PlatformState::Slow);
        match answer {
            Some(answer) => self
                .queue
                .push(self.now_us + PLATFORM_US / 2, Event::Claimed(id, answer)),
            None if tries + 1 < CLAIM_TRIES => {
                let pause_us = (50 * MILLI_US) << tries;
                self.queue
                    .push(self.now_us + pause_us, Event::Claim(id, tries + 1));
            }
            None => self.queue.push(
                self.now_us + PLATFORM_US / 2,
                Event::Claimed(id, ClaimAnswer::Unavailable),
            ),
        }
    }

    /// Notes that a command has come to a moment at its target.
    pub(super) fn meet_at(&mut self, moment: Moment, id: u64, attempt: usize) {
        let Some(flight) = self
            .flights
            .get(&id)
            .filter(|flight| flight.command.is_some())
        else {
            return;
        };
        let (node, target) = (flight.node, flight.attempts[attempt].target.clone());
        self.meet(moment, node, Some(&target));
    }

    /// A claim's answer reaches the node.
    pub(super) fn claimed(&mut self, id: u64, answer: ClaimAnswer) {
        if let Some(flight) = self.flights.get(&id) {
            let node = flight.node;
            self.meet(Moment::Choose, node, None);
        }
        if let Some(flight) = self.flights.get_mut(&id)
            && matches!(answer, ClaimAnswer::Held(_) | ClaimAnswer::TooMany)
        {
            flight.naming = Naming::None;
        }
        self.on(id, Happened::Claimed(answer));
    }

    /// Ends a flight: records the command's state and tells the caller.
    pub(super) fn end(&mut self, id: u64, outcome: Outcome, served: bool) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        let state = match outcome {
            Outcome::NotRun => ClaimState::NotRun,
            Outcome::Ran => ClaimState::Ran,
            Outcome::Unknown => ClaimState::Unknown,
        };
        self.record(&flight, state);
        let node = flight.node;
        if served {
            *self.stats.served.entry(flight.service.clone()).or_default() += 1;
            let latency_us = self.now_us - flight.began_us;
            let latencies = self
                .stats
                .latencies_us
                .entry(flight.service.clone())
                .or_default();
            latencies.push(latency_us);
            if let Some(command) = &flight.command {
                self.told(command, outcome);
            }
        } else {
            self.refused(&flight, outcome);
        }
        self.sweep(node);
    }

    pub(super) fn record(&mut self, flight: &Flight, state: ClaimState) {
        match &flight.naming {
            Naming::Key(key) => {
                let key: Arc<str> = format!("claims/{key}").into();
                let tag = flight.attempt_tag.clone();
                if matches!(
                    self.platform.state,
                    PlatformState::Up | PlatformState::LosesAnswers
                ) {
                    self.platform
                        .finish(self.now_us / MILLI_US, &key, &tag, state);
                } else {
                    self.finishes.push(PendingFinish {
                        node: flight.node,
                        key,
                        attempt: tag,
                        state,
                    });
                }
            }
            Naming::Ticket(ticket) => self.nodes[flight.node].tickets.finish(ticket, state),
            Naming::None => {}
        }
    }

    pub(super) fn refused(&mut self, flight: &Flight, outcome: Outcome) {
        *self
            .stats
            .refused
            .entry(flight.service.clone())
            .or_default() += 1;
        if let Some(command) = &flight.command {
            self.told(command, outcome);
        }
    }

    /// Tells a command's caller, who asks again if it can't be sure.
    pub(super) fn told(&mut self, command: &Arc<str>, outcome: Outcome) {
        self.stats
            .told
            .entry(command.clone())
            .or_default()
            .push(outcome);
        let Some(plan) = self.plans.get(command) else {
            return;
        };
        let again =
            outcome != Outcome::Ran && plan.naming != Naming::None && plan.tries < COMMAND_TRIES;
        if again {
            let pause_us = self.rng.random_range(10 * MILLI_US..2 * SECOND_US);
            self.queue
                .push(self.now_us + pause_us, Event::Ask(command.clone()));
        } else {
            self.plans.remove(command);
        }
    }

    /// A flight's node was killed: its caller's connection breaks.
    pub(super) fn lose_flight(&mut self, id: u64) {
        if let Some(flight) = self.flights.remove(&id) {
            self.stats.killed += 1;
            self.refused(&flight, Outcome::Unknown);
        }
    }

    pub(super) fn send_round_robin(&mut self, id: u64) {
        let flight = &self.flights[&id];
        let names = self.names[&flight.service].clone();
        let target = self.nodes[flight.node].baseline.choose(self.now_us, &names);
        self.put_on_wire(id, 0, target, 1);
    }

    pub(super) fn end_round_robin(&mut self, id: u64, attempt: usize, good: bool) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        let names = self.names[&flight.service].clone();
        let target = flight.attempts[attempt].target.clone();
        let ejected = self.nodes[flight.node]
            .baseline
            .ended(self.now_us, &target, good, &names);
        if ejected {
            self.stats.ejections.push((self.now_us, target));
        }
        let slow_export = self
            .service_of(&flight.service)
            .is_some_and(|service| service.class == Class::Export);
        if good {
            *self.stats.served.entry(flight.service.clone()).or_default() += 1;
            if !slow_export {
                let latency_us = self.now_us - flight.began_us;
                self.stats
                    .latencies_us
                    .entry(flight.service.clone())
                    .or_default()
                    .push(latency_us);
            }
        } else {
            self.refused(&flight, Outcome::Unknown);
        }
    }
}
