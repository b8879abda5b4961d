//! At-most-once execution of commands, by claimed idempotency keys and by tickets.

mod claim;
mod ticket;
mod ticket_table;

pub use claim::Claim;
pub use claim::ClaimAnswer;
pub use claim::ClaimState;
pub use ticket::Ticket;
pub use ticket_table::TicketAnswer;
pub use ticket_table::TicketTable;
