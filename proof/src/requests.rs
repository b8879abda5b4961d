//! Simulated requests, from acceptance to the response that the caller receives.
//!
//! Simulates the request path of an instance, which surrounds `policy`'s exchange with
//! queueing, claims, tickets and the recording of outcomes.

use std::sync::Arc;

use model::Outcome;
use model::configuration::Class;
use model::configuration::Repeat;
use policy::command::ClaimAnswer;
use policy::command::ClaimState;
use policy::command::TicketAnswer;
use policy::exchange::Event as ExchangeEvent;
use policy::exchange::Exchange;
use policy::exchange::Request;
use policy::exchange::Step;
use policy::instance::PermitAnswer;
use policy::quarantine::Fingerprint;
use rand::RngExt;

use super::CommandIdentity;
use super::Event;
use super::InjectionPoint;
use super::MILLI_US;
use super::Mode;
use super::PlatformState;
use super::SECOND_US;
use super::Sim;
use super::active_request::ActiveRequest;
use super::sim::PendingCommand;
use super::sim::UnrecordedOutcome;

const QUEUE_POLL_INTERVAL_US: u64 = 5 * MILLI_US;
const CLAIM_ROUND_TRIP_US: u64 = 4 * MILLI_US;
const MAX_CLAIM_ATTEMPTS: u32 = 3;
const MAX_COMMAND_ATTEMPTS: u32 = 3;

impl Sim {
    /// Generates a request of a load and schedules the next one.
    pub(super) fn generate_request(&mut self, load: usize) {
        let Some(per_s) = self.deployment.loads.get(load).map(|load| load.per_s) else {
            return;
        };
        let gap_us = -(1.0 - self.rng.random::<f64>()).ln() * 1e6 / per_s;
        self.queue
            .push(self.now_us + gap_us as u64 + 1, Event::NewRequest(load));
        if !self.load_enabled {
            return;
        }
        let service = self.deployment.loads[load].service.clone();
        let Some(node) = self.pick_node() else {
            return;
        };
        let is_command = self
            .service_of(&service)
            .is_some_and(|service| service.repeat == Repeat::Never);
        if is_command && self.mode != Mode::RoundRobin {
            self.start_command(node, service);
        } else {
            self.begin_request(node, service, None, CommandIdentity::None);
        }
    }

    /// Picks a node as the load balancer would: at random among those that are running and not draining.
    pub(super) fn pick_node(&mut self) -> Option<usize> {
        let available: Vec<usize> = (0..self.nodes.len())
            .filter(|at| self.nodes[*at].instance.is_some() && !self.nodes[*at].is_draining)
            .collect();
        (!available.is_empty()).then(|| available[self.rng.random_range(0..available.len())])
    }

    pub(super) fn service_of(&self, name: &str) -> Option<&model::configuration::Service> {
        self.deployment
            .note
            .services
            .add
            .iter()
            .find(|service| *service.name == *name)
    }

    /// Creates a command with an identity and submits it for its caller.
    pub(super) fn start_command(&mut self, node: usize, service: Arc<str>) {
        self.next_request_id += 1;
        let command: Arc<str> = format!("c-{}", self.next_request_id).into();
        let draw = self.rng.random::<f64>();
        let identity = if draw < self.identity_shares[0] {
            CommandIdentity::Key(command.clone())
        } else if draw < self.identity_shares[0] + self.identity_shares[1] {
            match self.nodes[node].tickets.issue(self.now_us, &mut self.rng) {
                Some(ticket) => CommandIdentity::Ticket(ticket),
                None => return,
            }
        } else {
            CommandIdentity::None
        };
        let pending = PendingCommand {
            service,
            identity,
            attempts: 0,
        };
        self.pending_commands.insert(command.clone(), pending);
        self.submit_command(&command);
    }

    /// Submits a pending command to a node; one with a ticket goes to the ticket's owner.
    pub(super) fn submit_command(&mut self, command: &Arc<str>) {
        let Some(pending) = self.pending_commands.get_mut(command) else {
            return;
        };
        pending.attempts += 1;
        let pending = pending.clone();
        let Some(node) = self.pick_node() else {
            return;
        };
        let node = match &pending.identity {
            CommandIdentity::Ticket(ticket) => match self.ticket_owner(node, &ticket.instance) {
                Some(owner) => owner,
                None => return self.record_command_outcome(command, Outcome::Unknown),
            },
            _ => node,
        };
        self.begin_request(
            node,
            pending.service,
            Some(command.clone()),
            pending.identity,
        );
    }

    /// Returns the node to which the receiving node relays a command with a ticket,
    /// or `None` if the owner is missing from its directory or is not running.
    pub(super) fn ticket_owner(&self, receiver: usize, owner: &str) -> Option<usize> {
        let directory = self.nodes[receiver].instance.as_ref()?.shared().directory();
        let at = (0..self.nodes.len()).find(|at| format!("i-{at:04}") == owner)?;
        let is_known = at == receiver || directory.contains_key(owner);
        (is_known && self.nodes[at].instance.is_some()).then_some(at)
    }

    pub(super) fn begin_request(
        &mut self,
        node: usize,
        service: Arc<str>,
        command: Option<Arc<str>>,
        identity: CommandIdentity,
    ) {
        *self.stats.begun.entry(service.clone()).or_default() += 1;
        self.next_request_id += 1;
        let id = self.next_request_id;
        let limit_us = self
            .service_of(&service)
            .map_or(SECOND_US, |service| service.time_limit_ms * MILLI_US);
        let deadline_us = self.now_us + limit_us;
        let mut request = ActiveRequest {
            node,
            service: service.clone(),
            command,
            identity,
            attempt_tag: format!("{node}~{id}").into(),
            exchange: None,
            attempts: Vec::new(),
            began_us: self.now_us,
            deadline_us,
            forwarding: None,
        };
        if self.mode == Mode::RoundRobin {
            self.active_requests.insert(id, request);
            self.queue.push(deadline_us, Event::Deadline(id));
            return self.send_round_robin(id);
        }
        let Some(instance) = &self.nodes[node].instance else {
            return;
        };
        let table = instance.shared().table();
        let open = table.ready && instance.shared().table_freshness().is_current(self.now_us);
        let Some(service_table) = table.services.get(&service).filter(|_| open) else {
            return self.record_refusal(&request, Outcome::NotRun);
        };
        if let CommandIdentity::Ticket(ticket) = &request.identity {
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
                request.identity = CommandIdentity::None;
                return self.record_refusal(&request, code.outcome());
            }
        }
        let exchange_request = Request {
            caller_deadline_us: deadline_us,
            deadline_us,
            fingerprint: Fingerprint::default(),
            may_hand_over: false,
            is_handed_over: false,
            claims_key: matches!(request.identity, CommandIdentity::Key(_)),
            replayable: true,
            repeatable: service_table.is_repeatable(),
            max_attempts: policy::exchange::MAX_ATTEMPTS,
            priority: None,
            objective_us: None,
            began_us: self.now_us,
        };
        request.exchange = Some(Exchange::new(exchange_request, service_table.clone()));
        if request.command.is_some() {
            self.reach_point(InjectionPoint::Accept, node, None);
        }
        self.active_requests.insert(id, request);
        self.queue.push(deadline_us, Event::Deadline(id));
        self.handle_exchange_event(id, ExchangeEvent::Begin);
    }

    /// Passes an event to the exchange of a request and executes the resulting step.
    pub(super) fn handle_exchange_event(&mut self, id: u64, event: ExchangeEvent) {
        let now_us = self.now_us;
        let Some(request) = self.active_requests.get_mut(&id) else {
            return;
        };
        let Some(exchange) = &mut request.exchange else {
            return;
        };
        let step = exchange.on(now_us, event, &mut self.rng);
        match step {
            Step::Claim => {
                let node = request.node;
                self.reach_point(InjectionPoint::Claim, node, None);
                self.queue
                    .push(now_us + CLAIM_ROUND_TRIP_US / 2, Event::ClaimArrived(id, 0));
            }
            // No simulated service is overloaded, so targets are chosen by health without permits.
            Step::RequestPermit { .. } => {
                self.handle_exchange_event(id, ExchangeEvent::Permit(PermitAnswer::Unknown))
            }
            // Instances that choose targets by health do not lend retries.
            Step::BorrowRetry => {
                self.handle_exchange_event(id, ExchangeEvent::RetryAnswered { is_lent: false })
            }
            // The simulated requests are not handed over.
            Step::HandOver => self.handle_exchange_event(id, ExchangeEvent::HandOverRefused),
            Step::Enqueue => self.enqueue(id),
            Step::Send { attempt, candidate } => self.send_attempt(id, attempt, candidate),
            Step::Continue => {}
            Step::Forward { attempt } => self.forward_body(id, attempt),
            Step::Reply(reply) => self.end_request(id, reply.outcome, false),
            Step::Finish(outcome) => self.end_request(id, outcome, outcome == Outcome::Ran),
            Step::AbortConnection => self.end_request(id, Outcome::Unknown, false),
        }
    }

    pub(super) fn enqueue(&mut self, id: u64) {
        let request = &self.active_requests[&id];
        let (node, service, deadline_us) =
            (request.node, request.service.clone(), request.deadline_us);
        let limit = self
            .service_of(&service)
            .map_or(0, |service| service.queue as usize);
        let queue = self.nodes[node].queues.entry(service).or_default();
        match queue.push(self.now_us, (0, &"caller".into()), deadline_us, limit, id) {
            Ok(()) => self.schedule_queue_poll(node),
            Err(refusal) => self.handle_exchange_event(id, ExchangeEvent::Refused(refusal)),
        }
    }

    pub(super) fn schedule_queue_poll(&mut self, node: usize) {
        if !std::mem::replace(&mut self.nodes[node].is_poll_scheduled, true) {
            self.queue.push(
                self.now_us + QUEUE_POLL_INTERVAL_US,
                Event::PollQueues(node),
            );
        }
    }

    /// Dequeues requests of a node: per service, at most one for each target that has room.
    pub(super) fn poll_queues(&mut self, node: usize) {
        let now_us = self.now_us;
        let Some(instance) = &self.nodes[node].instance else {
            return;
        };
        let table = instance.shared().table();
        let mut dequeued = Vec::new();
        let mut has_more = false;
        for (service, queue) in &mut self.nodes[node].queues {
            let free_targets = table.services.get(service).map_or(1, |service| {
                let candidates = service.candidates.iter();
                candidates
                    .filter(|candidate| candidate.load.has_room(now_us))
                    .count()
            });
            for _ in 0..free_targets {
                dequeued.extend(queue.pop(now_us));
            }
            has_more |= !queue.is_empty();
        }
        if has_more {
            self.schedule_queue_poll(node);
        }
        for id in dequeued {
            self.handle_exchange_event(id, ExchangeEvent::Dequeued);
        }
    }

    /// Handles a claim at the platform. Without an answer it is sent again with exponential back-off.
    pub(super) fn claim_key(&mut self, id: u64, attempts: u32) {
        let Some(request) = self.active_requests.get(&id) else {
            return;
        };
        let CommandIdentity::Key(key) = request.identity.clone() else {
            return;
        };
        let key = format!("claims/{key}");
        let tag = request.attempt_tag.clone();
        let answer = self.platform.claim(self.now_us / MILLI_US, &key, &tag);
        let answer = answer.filter(|_| self.platform.state != PlatformState::Slow);
        match answer {
            Some(answer) => self.queue.push(
                self.now_us + CLAIM_ROUND_TRIP_US / 2,
                Event::ClaimAnswered(id, answer),
            ),
            None if attempts + 1 < MAX_CLAIM_ATTEMPTS => {
                let pause_us = (50 * MILLI_US) << attempts;
                self.queue.push(
                    self.now_us + pause_us,
                    Event::ClaimArrived(id, attempts + 1),
                );
            }
            None => self.queue.push(
                self.now_us + CLAIM_ROUND_TRIP_US / 2,
                Event::ClaimAnswered(id, ClaimAnswer::Unavailable),
            ),
        }
    }

    /// Records that an attempt of a command has reached an injection point.
    pub(super) fn reach_point_at_target(&mut self, point: InjectionPoint, id: u64, attempt: usize) {
        let Some(request) = self
            .active_requests
            .get(&id)
            .filter(|request| request.command.is_some())
        else {
            return;
        };
        let (node, target) = (request.node, request.attempts[attempt].target.clone());
        self.reach_point(point, node, Some(&target));
    }

    /// Handles the answer to a claim at the node.
    pub(super) fn handle_claim_answer(&mut self, id: u64, answer: ClaimAnswer) {
        if let Some(request) = self.active_requests.get(&id) {
            let node = request.node;
            self.reach_point(InjectionPoint::Choose, node, None);
        }
        if let Some(request) = self.active_requests.get_mut(&id)
            && matches!(answer, ClaimAnswer::Held(_) | ClaimAnswer::TooMany)
        {
            request.identity = CommandIdentity::None;
        }
        self.handle_exchange_event(id, ExchangeEvent::Claimed(answer));
    }

    /// Ends a request: records its outcome and passes it to the caller.
    pub(super) fn end_request(&mut self, id: u64, outcome: Outcome, is_served: bool) {
        let Some(request) = self.active_requests.remove(&id) else {
            return;
        };
        let state = match outcome {
            Outcome::NotRun => ClaimState::NotRun,
            Outcome::Ran => ClaimState::Ran,
            Outcome::Unknown => ClaimState::Unknown,
        };
        self.record_outcome(&request, state);
        let node = request.node;
        if is_served {
            *self
                .stats
                .served
                .entry(request.service.clone())
                .or_default() += 1;
            let latency_us = self.now_us - request.began_us;
            let latencies = self
                .stats
                .latencies_us
                .entry(request.service.clone())
                .or_default();
            latencies.push(latency_us);
            if let Some(command) = &request.command {
                self.record_command_outcome(command, outcome);
            }
        } else {
            self.record_refusal(&request, outcome);
        }
        self.poll_queues(node);
    }

    pub(super) fn record_outcome(&mut self, request: &ActiveRequest, state: ClaimState) {
        match &request.identity {
            CommandIdentity::Key(key) => {
                let key: Arc<str> = format!("claims/{key}").into();
                let tag = request.attempt_tag.clone();
                if matches!(
                    self.platform.state,
                    PlatformState::Up | PlatformState::LosesAnswers
                ) {
                    self.platform
                        .finish(self.now_us / MILLI_US, &key, &tag, state);
                } else {
                    self.unrecorded_outcomes.push(UnrecordedOutcome {
                        node: request.node,
                        key,
                        attempt: tag,
                        state,
                    });
                }
            }
            CommandIdentity::Ticket(ticket) => {
                self.nodes[request.node].tickets.finish(ticket, state)
            }
            CommandIdentity::None => {}
        }
    }

    pub(super) fn record_refusal(&mut self, request: &ActiveRequest, outcome: Outcome) {
        *self
            .stats
            .refused
            .entry(request.service.clone())
            .or_default() += 1;
        if let Some(command) = &request.command {
            self.record_command_outcome(command, outcome);
        }
    }

    /// Records the outcome that a command's caller received. The caller retries a
    /// command that has an identity, unless it ran or has been submitted
    /// [`MAX_COMMAND_ATTEMPTS`] times.
    pub(super) fn record_command_outcome(&mut self, command: &Arc<str>, outcome: Outcome) {
        self.stats
            .command_outcomes
            .entry(command.clone())
            .or_default()
            .push(outcome);
        let Some(pending) = self.pending_commands.get(command) else {
            return;
        };
        let can_retry = outcome != Outcome::Ran
            && pending.identity != CommandIdentity::None
            && pending.attempts < MAX_COMMAND_ATTEMPTS;
        if can_retry {
            let pause_us = self.rng.random_range(10 * MILLI_US..2 * SECOND_US);
            self.queue.push(
                self.now_us + pause_us,
                Event::SubmitCommand(command.clone()),
            );
        } else {
            self.pending_commands.remove(command);
        }
    }

    /// Ends a request whose node was killed; the caller's connection breaks.
    pub(super) fn abort_request(&mut self, id: u64) {
        if let Some(request) = self.active_requests.remove(&id) {
            self.stats.killed += 1;
            self.record_refusal(&request, Outcome::Unknown);
        }
    }

    pub(super) fn send_round_robin(&mut self, id: u64) {
        let request = &self.active_requests[&id];
        let names = self.target_names[&request.service].clone();
        let target = self.nodes[request.node]
            .round_robin
            .choose(self.now_us, &names);
        self.transmit(id, 0, target, 1);
    }

    pub(super) fn end_round_robin(&mut self, id: u64, attempt: usize, good: bool) {
        let Some(request) = self.active_requests.remove(&id) else {
            return;
        };
        let names = self.target_names[&request.service].clone();
        let target = request.attempts[attempt].target.clone();
        let ejected =
            self.nodes[request.node]
                .round_robin
                .record_result(self.now_us, &target, good, &names);
        if ejected {
            self.stats.ejections.push((self.now_us, target));
        }
        let is_export = self
            .service_of(&request.service)
            .is_some_and(|service| service.class == Class::Export);
        if good {
            *self
                .stats
                .served
                .entry(request.service.clone())
                .or_default() += 1;
            if !is_export {
                let latency_us = self.now_us - request.began_us;
                self.stats
                    .latencies_us
                    .entry(request.service.clone())
                    .or_default()
                    .push(latency_us);
            }
        } else {
            self.record_refusal(&request, Outcome::Unknown);
        }
    }
}
