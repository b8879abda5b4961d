//! A randomized soak of real processes.
//!
//! Instances run as separate processes between the fakes of the users' platform,
//! with a proxy in every connection. A plan of faults follows from a seed;
//! callers go on all the while and keep using open connections until a process
//! is gone. What callers and targets saw is a [`Record`], and each promise is a
//! function over it, so that each check can be shown able to fail without a run.
//!
//! The time of day is not stepped: that takes rights that the soak does not ask
//! for. Instances use it in log lines only.

mod caller;
pub mod checks;
mod link;
mod outcome;
mod plan;
mod process;
mod record;
mod run;
mod scene;

pub use link::Link;
pub use link::Mode;
pub use outcome::Outcome;
pub use plan::Fault;
pub use plan::Plan;
pub use plan::Step;
pub use record::Arrival;
pub use record::Change;
pub use record::End;
pub use record::Kind;
pub use record::Place;
pub use record::Record;
pub use record::Request;
pub use record::STABLE_MS;
pub use record::Trouble;
pub use run::Size;
pub use run::run;
