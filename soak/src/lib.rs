//! Randomized fault-injection test of real instance processes.
//!
//! Instances run as separate processes against fakes of the users' platform, with a
//! fault-injecting proxy in every connection. A seed determines the plan of faults.
//! Callers send requests throughout and reuse open connections until the process
//! exits. The observations of callers and targets form a [`Record`]. Each invariant
//! is a function of the record, so that tests can show each check failing without a
//! run.
//!
//! The wall clock is not stepped, as that needs privileges that the soak test does not
//! require. Instances use the wall clock in log lines only.

mod caller;
pub mod checks;
mod foreign_entries;
mod link;
mod outcome;
mod plan;
mod process;
mod record;
mod run;
mod testbed;

pub use link::Link;
pub use link::Mode;
pub use outcome::Outcome;
pub use plan::Fault;
pub use plan::Plan;
pub use plan::Step;
pub use record::Arrival;
pub use record::Change;
pub use record::Component;
pub use record::FOREIGN_TARGET;
pub use record::FaultPeriod;
pub use record::Record;
pub use record::Request;
pub use record::RequestEnd;
pub use record::RequestKind;
pub use record::STABLE_WINDOW_MS;
pub use run::Size;
pub use run::run;
