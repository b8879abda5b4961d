//! In-memory table of the tickets that an instance has issued.
//!
//! Only the issuing instance sends a ticket's command, so at-most-once execution
//! needs no consensus. A ticket that is no longer in the table never runs again.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use rand::Rng;
use rand::RngExt;

use super::ClaimState;
use super::Ticket;

/// Time after which a ticket expires.
const TICKET_TTL_US: u64 = 3_600_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Unused,
    Used(ClaimState),
}

#[derive(Debug)]
struct Entry {
    nonce: u64,
    state: State,
}

/// Result of using a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketAnswer {
    /// The command may be sent, now and once.
    Begin,
    /// The ticket was used before, and its command is in this state.
    Held(ClaimState),
    /// The ticket is not in the table: issued before a restart, expired or forged.
    NotFound,
}

/// The tickets issued since the start of an instance.
#[derive(Debug)]
pub struct TicketTable {
    instance: Arc<str>,
    started_ms: u64,
    next_number: u64,
    limit: usize,
    entries: HashMap<u64, Entry>,
    by_issue_time: VecDeque<(u64, u64)>,
}

impl TicketTable {
    /// Creates an empty table for at most `limit` tickets.
    pub fn new(instance: Arc<str>, started_ms: u64, limit: usize) -> Self {
        Self {
            instance,
            started_ms,
            next_number: 1,
            limit,
            entries: HashMap::new(),
            by_issue_time: VecDeque::new(),
        }
    }

    /// Returns the number of tickets in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Issues a ticket; `None` while the table is full.
    pub fn issue(&mut self, now_us: u64, rng: &mut impl Rng) -> Option<Ticket> {
        self.expire(now_us);
        if self.entries.len() >= self.limit {
            return None;
        }
        let ticket = Ticket {
            instance: self.instance.clone(),
            started_ms: self.started_ms,
            number: self.next_number,
            nonce: rng.random(),
        };
        self.next_number += 1;
        let state = State::Unused;
        self.entries.insert(
            ticket.number,
            Entry {
                nonce: ticket.nonce,
                state,
            },
        );
        self.by_issue_time.push_back((now_us, ticket.number));
        Some(ticket)
    }

    /// Marks a ticket as used, unless its command has run or may have run.
    pub fn begin(&mut self, now_us: u64, ticket: &Ticket) -> TicketAnswer {
        self.expire(now_us);
        let Some(entry) = self.entry(ticket) else {
            return TicketAnswer::NotFound;
        };
        match entry.state {
            State::Unused | State::Used(ClaimState::NotRun) => {
                entry.state = State::Used(ClaimState::Begun);
                TicketAnswer::Begin
            }
            State::Used(state) => TicketAnswer::Held(state),
        }
    }

    /// Records the final state of a ticket's command.
    pub fn finish(&mut self, ticket: &Ticket, state: ClaimState) {
        if let Some(entry) = self.entry(ticket) {
            entry.state = State::Used(state);
        }
    }

    fn entry(&mut self, ticket: &Ticket) -> Option<&mut Entry> {
        let is_own = ticket.instance == self.instance && ticket.started_ms == self.started_ms;
        let entry = self.entries.get_mut(&ticket.number)?;
        (is_own && entry.nonce == ticket.nonce).then_some(entry)
    }

    fn expire(&mut self, now_us: u64) {
        while let Some((issued_us, number)) = self.by_issue_time.front().copied() {
            if now_us.saturating_sub(issued_us) < TICKET_TTL_US {
                break;
            }
            self.by_issue_time.pop_front();
            self.entries.remove(&number);
        }
    }
}
