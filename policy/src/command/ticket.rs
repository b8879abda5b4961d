//! Tickets: single-use command identifiers, each bound to the instance that issued it.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

const MAX_TICKET_BYTES: usize = 200;

/// Identifies one command by the issuing instance, that instance's start and a number.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// Id of the issuing instance.
    pub instance: Arc<str>,
    /// Start time of the instance, in milliseconds since the Unix epoch (1970).
    pub started_ms: u64,
    /// Sequence number since that start.
    pub number: u64,
    /// Random value, so that a ticket cannot be guessed.
    pub nonce: u64,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}~{}~{}~{:016x}",
            self.instance, self.started_ms, self.number, self.nonce
        )
    }
}

/// The text is not a valid ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("invalid ticket: expected instance~started_ms~number~nonce of at most 200 bytes")]
pub struct ParseTicketError;

impl FromStr for Ticket {
    type Err = ParseTicketError;

    fn from_str(text: &str) -> Result<Self, ParseTicketError> {
        if text.len() > MAX_TICKET_BYTES {
            return Err(ParseTicketError);
        }
        let mut parts = text.split('~');
        let mut next = || parts.next().ok_or(ParseTicketError);
        let instance = next()?.into();
        let started_ms = next()?.parse().map_err(|_| ParseTicketError)?;
        let number = next()?.parse().map_err(|_| ParseTicketError)?;
        let nonce = u64::from_str_radix(next()?, 16).map_err(|_| ParseTicketError)?;
        if next().is_ok() {
            return Err(ParseTicketError);
        }
        Ok(Self {
            instance,
            started_ms,
            number,
            nonce,
        })
    }
}
