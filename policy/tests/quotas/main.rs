//! Quotas of customers: the account, the gate, and fleets under random faults.

mod fleet;
mod scenario;
mod tally;
mod units;
