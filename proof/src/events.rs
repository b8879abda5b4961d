//! Events of the simulation and their queue.

use std::collections::BTreeMap;
use std::sync::Arc;

use policy::Input;
use policy::instance::Envelope;
use policy::instance::PlatformCall;

/// An event, which happens at a simulated time.
#[derive(Clone, Debug)]
pub enum Event {
    /// Periodic tick of a node.
    Tick(usize),
    /// A message reaches a node.
    Deliver(usize, Box<Envelope>),
    /// An input reaches the decision code of a node.
    Input(usize, Box<Input>),
    /// A call reaches the platform.
    Call(usize, PlatformCall),
    /// The load with this index generates a request.
    NewRequest(usize),
    /// A node dequeues requests for targets that have room.
    PollQueues(usize),
    /// A request reaches its target.
    RequestArrived(u64, usize),
    /// A target finishes processing a request.
    WorkDone(u64, usize, usize),
    /// The head of a response, with its status code, reaches the node.
    ResponseHead(u64, usize, u16),
    /// A node detects that an attempt has failed.
    AttemptFailed(u64, usize, policy::exchange::Failure),
    /// An attempt has exceeded the latency above which it counts as slow.
    Overdue(u64, usize),
    /// A response body ends at the node; the flag is true if it is complete.
    BodyEnd(u64, usize, bool),
    /// The deadline of a request passes.
    Deadline(u64),
    /// A claim reaches the platform; the last field is the number of earlier attempts to claim.
    ClaimArrived(u64, u32),
    /// The answer to a claim reaches the node.
    ClaimAnswered(u64, policy::command::ClaimAnswer),
    /// The caller of a command sends it to a node.
    SubmitCommand(Arc<str>),
}

/// Event queue ordered by time. Events at the same time keep the order of insertion.
#[derive(Debug, Default)]
pub struct Queue {
    events: BTreeMap<(u64, u64), Event>,
    next_sequence: u64,
}

impl Queue {
    /// Adds an event.
    pub fn push(&mut self, at_us: u64, event: Event) {
        self.next_sequence += 1;
        self.events.insert((at_us, self.next_sequence), event);
    }

    /// Removes and returns the next event, or `None` if no event is due by `until_us`.
    pub fn pop(&mut self, until_us: u64) -> Option<(u64, Event)> {
        let entry = self.events.first_entry()?;
        if entry.key().0 > until_us {
            return None;
        }
        let ((at_us, _), event) = entry.remove_entry();
        Some((at_us, event))
    }
}
