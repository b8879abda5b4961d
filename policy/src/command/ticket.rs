//! A ticket: a command's name, bound to the instance that issued it.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

const MAX_TICKET_BYTES: usize = 200;

/// Names one command at one start of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// Id of the instance that issued it.
    pub instance: Arc<str>,
    /// The instance's start, in milliseconds since 1970.
    pub started_ms: u64,
    /// Number within that start.
    pub number: u64,
    /// Random part, so that a ticket cannot be guessed.
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

/// The text is not a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("not a ticket")]
pub struct NotATicket;

impl FromStr for Ticket {
    type Err = NotATicket;

    fn from_str(text: &str) -> Result<Self, NotATicket> {
        if text.len() > MAX_TICKET_BYTES {
            return Err(NotATicket);
        }
        let mut parts = text.split('~');
        let mut next = || parts.next().ok_or(NotATicket);
        let instance = next()?.into();
        let started_ms = next()?.parse().map_err(|_| NotATicket)?;
        let number = next()?.parse().map_err(|_| NotATicket)?;
        let nonce = u64::from_str_radix(next()?, 16).map_err(|_| NotATicket)?;
        if next().is_ok() {
            return Err(NotATicket);
        }
        Ok(Self {
            instance,
            started_ms,
            number,
            nonce,
        })
    }
}
