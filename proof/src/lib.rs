//! One event queue with fakes at the interfaces of `policy`.
//!
//! Proofs and measurements drive the same decisions that run in an instance,
//! with their own clock, links, targets and platform. The same seed gives the
//! same run.

mod attempts;
mod baseline;
pub mod capacity;
pub mod chaos;
mod deployment;
mod events;
mod fault;
mod flight;
mod home_run;
pub mod matrix;
mod network;
mod node;
mod operators;
mod platform_fake;
mod requests;
mod sim;
mod stats;
mod target_fake;

pub use baseline::RoundRobin;
pub use deployment::Deployment;
pub use deployment::Load;
pub use events::Event;
pub use events::Queue;
pub use fault::TargetFault;
pub use flight::Naming;
pub use home_run::HomeRun;
pub use matrix::Met;
pub use matrix::Moment;
pub use network::LinkFault;
pub use network::Network;
pub use platform_fake::PlatformState;
pub use sim::Mode;
pub use sim::Sim;
pub use stats::Stats;
pub use stats::quantile_of;

/// One second in microseconds.
pub const SECOND_US: u64 = 1_000_000;
/// One millisecond in microseconds.
pub const MILLI_US: u64 = 1_000;
