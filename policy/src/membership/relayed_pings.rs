//! Pings that an instance sends on behalf of others, as their indirect probes.

use std::collections::VecDeque;
use std::sync::Arc;

const PING_TTL_US: u64 = 2_000_000;
const MAX_PENDING: usize = 256;
/// First sequence number of relayed pings, above those of the instance's own pings.
const FIRST_SEQUENCE: u64 = 1 << 48;

#[derive(Debug)]
struct RelayedPing {
    sequence: u64,
    requester: Arc<str>,
    requester_sequence: u64,
    until_us: u64,
}

/// The relayed pings in flight and their requesters.
#[derive(Debug, Default)]
pub struct RelayedPings {
    pings: VecDeque<RelayedPing>,
    next_offset: u64,
}

impl RelayedPings {
    /// Registers a ping for `requester` and returns the sequence number to send it with.
    pub fn begin(&mut self, now_us: u64, requester: &Arc<str>, requester_sequence: u64) -> u64 {
        while self.pings.len() >= MAX_PENDING
            || self
                .pings
                .front()
                .is_some_and(|ping| ping.until_us <= now_us)
        {
            self.pings.pop_front();
        }
        let sequence = FIRST_SEQUENCE + self.next_offset;
        self.next_offset += 1;
        self.pings.push_back(RelayedPing {
            sequence,
            requester: requester.clone(),
            requester_sequence,
            until_us: now_us + PING_TTL_US,
        });
        sequence
    }

    /// Removes an answered ping and returns its requester, with the sequence number that the
    /// requester gave it; `None` if no such ping is in flight.
    pub fn end(&mut self, sequence: u64) -> Option<(Arc<str>, u64)> {
        let position = self
            .pings
            .iter()
            .position(|ping| ping.sequence == sequence)?;
        let ping = self.pings.remove(position)?;
        Some((ping.requester, ping.requester_sequence))
    }
}
