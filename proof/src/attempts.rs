//! Attempts of requests: on the wire, at the target, and back.

use std::sync::Arc;

use policy::Input;
use policy::exchange::AttemptEnd;
use policy::exchange::Event as Happened;
use policy::exchange::Failure;
use policy::exchange::Observation;
use rand::RngExt;

use super::Event;
use super::MILLI_US;
use super::Mode;
use super::Moment;
use super::SECOND_US;
use super::Sim;
use super::TargetFault;
use super::flight::FlightAttempt;
use super::sim::Wire;
use super::target_fake::Taken;

const BODY_US: u64 = MILLI_US;
/// Time after which a leaving target must get no new work.
pub(super) const LEAVING_GRACE_US: u64 = 5 * SECOND_US;

impl Sim {
    pub(super) fn send_attempt(&mut self, id: u64, attempt: usize, candidate: usize) {
        let now_us = self.now_us;
        let flight = &self.flights[&id];
        let Some(exchange) = &flight.exchange else {
            return;
        };
        let table = exchange.table();
        let target = table.candidates[candidate].target.name.clone();
        let slow_us = table.slow_us();
        let fresh = !table.repeatable();
        if let Some(slow_us) = slow_us {
            self.queue.push(now_us + slow_us, Event::Slow(id, attempt));
        }
        self.put_on_wire(id, attempt, target, if fresh { 3 } else { 1 });
    }

    pub(super) fn put_on_wire(&mut self, id: u64, attempt: usize, target: Arc<str>, ways: u64) {
        let now_us = self.now_us;
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.attempts.push(FlightAttempt {
            target: target.clone(),
            sent_us: now_us,
            counted: false,
            over: false,
        });
        let (command, node) = (flight.command.clone(), flight.node);
        if command.is_some() {
            self.meet(Moment::Send, node, Some(&target));
        }
        let data_centre = self.nodes[node].data_centre;
        let to = self
            .targets
            .get(&target)
            .map_or(0, |target| target.data_centre);
        let way_us = ways * self.one_way_us(data_centre, to);
        let wire = Wire {
            target,
            command,
            data_centre,
        };
        self.wires.insert((id, attempt), wire);
        self.queue.push(now_us + way_us, Event::Reach(id, attempt));
    }

    /// A request reaches its target, whether or not anybody still waits for it.
    pub(super) fn reach(&mut self, id: u64, attempt: usize) {
        let Some(wire) = self.wires.get(&(id, attempt)).cloned() else {
            return;
        };
        if let Some(flight) = self
            .flights
            .get(&id)
            .filter(|flight| flight.command.is_some())
        {
            let node = flight.node;
            self.meet(Moment::Work, node, Some(&wire.target));
        }
        if let Some(since_us) = self.leaving.get(&wire.target)
            && self.now_us > since_us + LEAVING_GRACE_US
        {
            self.stats.late_work += 1;
        }
        let now_us = self.now_us;
        let Some(target) = self.targets.get_mut(&wire.target) else {
            return;
        };
        target.requests += 1;
        let way_us = if target.data_centre == wire.data_centre {
            MILLI_US / 4
        } else {
            self.deployment.one_way_us
        };
        match target.fault.at(now_us, wire.data_centre == 0) {
            TargetFault::Dead => self.queue.push(
                now_us + way_us,
                Event::Failed(id, attempt, Failure::NotSent),
            ),
            TargetFault::Hung => self.ran(&wire),
            TargetFault::Shedding => self
                .queue
                .push(now_us + way_us, Event::Head(id, attempt, 503)),
            _ => match target.take(id, attempt) {
                Taken::Start => self.start_work(id, attempt),
                Taken::Queued => {}
                Taken::Refused => self
                    .queue
                    .push(now_us + way_us, Event::Head(id, attempt, 503)),
            },
        }
    }

    pub(super) fn ran(&mut self, wire: &Wire) {
        if let Some(command) = &wire.command {
            *self.stats.runs.entry(command.clone()).or_default() += 1;
        }
    }

    pub(super) fn start_work(&mut self, id: u64, attempt: usize) {
        let Some(wire) = self.wires.get(&(id, attempt)).cloned() else {
            return;
        };
        self.ran(&wire);
        let now_us = self.now_us;
        let draw = -(1.0 - self.rng.random::<f64>()).ln();
        let fails = self.rng.random::<f64>();
        let Some(target) = self.targets.get_mut(&wire.target) else {
            return;
        };
        let fault = target.fault.at(now_us, wire.data_centre == 0);
        let (times, share) = match fault {
            TargetFault::Slow(times) => (times, target.background),
            TargetFault::Failing(share) => (1.0, share),
            _ => (1.0, target.background),
        };
        let work_us = (target.work_us as f64 * times * draw) as u64;
        let status = if fails < share { 500 } else { 200 };
        self.queue
            .push(now_us + work_us, Event::Worked(id, attempt, status));
    }

    /// A target has done its work: the answer leaves and the next one starts.
    pub(super) fn worked(&mut self, id: u64, attempt: usize, status: u16) {
        let Some(wire) = self.wires.remove(&(id, attempt)) else {
            return;
        };
        let Some(target) = self.targets.get_mut(&wire.target) else {
            return;
        };
        let next = target.finish();
        let (from, fault) = (target.data_centre, target.fault);
        let way_us = self.one_way_us(wire.data_centre, from);
        match fault {
            TargetFault::Dead => {
                let event = Event::Failed(id, attempt, Failure::Cut);
                self.queue.push(self.now_us + way_us, event);
            }
            TargetFault::Hung => {}
            _ => self
                .queue
                .push(self.now_us + way_us, Event::Head(id, attempt, status)),
        }
        if let Some((id, attempt)) = next {
            self.start_work(id, attempt);
        }
    }

    /// The head of an answer reaches the node.
    pub(super) fn head(&mut self, id: u64, attempt: usize, status: u16) {
        let Some(sent_us) = self.open_attempt(id, attempt) else {
            return;
        };
        self.meet_at(Moment::FirstByte, id, attempt);
        let end = if status == 503 {
            AttemptEnd::Shed
        } else {
            AttemptEnd::Answered {
                good: status < 500,
                latency_us: self.now_us - sent_us,
            }
        };
        self.observe(id, attempt, end);
        if self.mode == Mode::RoundRobin {
            return self.end_round_robin(id, attempt, status < 500);
        }
        self.on(id, Happened::Head { attempt, status });
    }

    /// An attempt failed before any head.
    pub(super) fn failed(&mut self, id: u64, attempt: usize, failure: Failure) {
        if self.open_attempt(id, attempt).is_none() {
            return;
        }
        let end = if failure == Failure::NotSent {
            AttemptEnd::NotSent
        } else {
            AttemptEnd::Cut
        };
        self.observe(id, attempt, end);
        if self.mode == Mode::RoundRobin {
            return self.end_round_robin(id, attempt, false);
        }
        self.on(id, Happened::Failed { attempt, failure });
    }

    /// Marks an attempt as over; none if it was already or its flight is.
    pub(super) fn open_attempt(&mut self, id: u64, attempt: usize) -> Option<u64> {
        let flight = self.flights.get_mut(&id)?;
        let attempt = flight.attempts.get_mut(attempt)?;
        if attempt.over {
            return None;
        }
        attempt.over = true;
        Some(attempt.sent_us)
    }

    pub(super) fn observe(&mut self, id: u64, attempt: usize, end: AttemptEnd) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let node = flight.node;
        let service = flight.service.clone();
        let sent = &mut flight.attempts[attempt];
        let observation = Observation {
            service,
            target: sent.target.clone(),
            end,
            counted: sent.counted,
        };
        sent.counted = true;
        if self.mode != Mode::RoundRobin {
            self.input(node, Input::Observed(observation));
        }
    }

    /// An answer takes longer than nearly all others.
    pub(super) fn slow(&mut self, id: u64, attempt: usize) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        if flight.attempts[attempt].over || flight.attempts[attempt].counted {
            return;
        }
        self.observe(id, attempt, AttemptEnd::Overdue);
        self.on(id, Happened::HedgeDue);
    }

    /// A deadline passes.
    pub(super) fn deadline(&mut self, id: u64) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        if flight.passing.is_some() {
            return;
        }
        let open: Vec<usize> = (0..flight.attempts.len())
            .filter(|at| !flight.attempts[*at].over && !flight.attempts[*at].counted)
            .collect();
        for attempt in open {
            self.observe(id, attempt, AttemptEnd::Overdue);
        }
        if self.mode == Mode::RoundRobin {
            return self.end_round_robin(id, 0, false);
        }
        self.on(id, Happened::Deadline);
    }

    pub(super) fn pass(&mut self, id: u64, attempt: usize) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.passing = Some(attempt);
        self.meet_at(Moment::Body, id, attempt);
        let flight = &self.flights[&id];
        let target = self.targets.get(&flight.attempts[attempt].target);
        let whole = target.is_none_or(|target| target.fault != TargetFault::Cutting);
        self.queue
            .push(self.now_us + BODY_US, Event::BodyEnd(id, attempt, whole));
    }

    /// The body of an answer has ended, whole or not.
    pub(super) fn body_end(&mut self, id: u64, attempt: usize, whole: bool) {
        if self
            .flights
            .get(&id)
            .is_none_or(|flight| flight.passing != Some(attempt))
        {
            return;
        }
        if !whole {
            let flight = &mut self.flights.get_mut(&id);
            if let Some(flight) = flight {
                flight.attempts[attempt].counted = false;
            }
            self.observe(id, attempt, AttemptEnd::Cut);
        }
        self.meet_at(Moment::End, id, attempt);
        self.on(
            id,
            if whole {
                Happened::Ended
            } else {
                Happened::Cut
            },
        );
    }
}
