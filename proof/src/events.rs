//! The event queue.

use std::collections::BTreeMap;
use std::sync::Arc;

use policy::Input;
use policy::instance::Envelope;
use policy::instance::PlatformCall;

/// Something that happens at a time.
#[derive(Clone, Debug)]
pub enum Event {
    /// A node's regular tick.
    Tick(usize),
    /// A message reaches a node.
    Deliver(usize, Box<Envelope>),
    /// An input reaches a node's decisions.
    Input(usize, Box<Input>),
    /// A call reaches the platform.
    Call(usize, PlatformCall),
    /// A new request of a load arrives.
    Arrive(usize),
    /// A request's turn in a queue is looked for.
    Sweep(usize),
    /// A request reaches its target.
    Reach(u64, usize),
    /// A target has done a request's work.
    Worked(u64, usize, usize),
    /// The head of an answer reaches the node.
    Head(u64, usize, u16),
    /// An attempt is found to have failed.
    Failed(u64, usize, policy::exchange::Failure),
    /// An answer has taken longer than nearly all others.
    Slow(u64, usize),
    /// A body has ended at the node.
    BodyEnd(u64, usize, bool),
    /// A deadline passes.
    Deadline(u64),
    /// A claim reaches the platform.
    Claim(u64, u32),
    /// A claim's answer reaches the node.
    Claimed(u64, policy::command::ClaimAnswer),
    /// The caller of a command asks for it.
    Ask(Arc<str>),
}

/// Events in the order of their times.
#[derive(Debug, Default)]
pub struct Queue {
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
}

impl Queue {
    /// Puts an event in.
    pub fn push(&mut self, at_us: u64, event: Event) {
        self.next += 1;
        self.events.insert((at_us, self.next), event);
    }

    /// Takes the next event out, if it is due by `until_us`.
    pub fn pop(&mut self, until_us: u64) -> Option<(u64, Event)> {
        let entry = self.events.first_entry()?;
        if entry.key().0 > until_us {
            return None;
        }
        let ((at_us, _), event) = entry.remove_entry();
        Some((at_us, event))
    }
}
