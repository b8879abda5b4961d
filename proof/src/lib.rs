//! Deterministic simulation of a fleet, used by tests and measurements.
//!
//! A single event queue drives the decision code of `policy`, the same code that
//! runs in an instance, with a simulated clock, network, targets and platform.
//! A run is fully determined by its seed.

mod active_request;
mod attempts;
mod baseline;
pub mod capacity;
pub mod chaos;
mod deployment;
mod events;
mod fault;
pub mod matrix;
mod monitor_run;
mod network;
mod node;
mod operators;
mod platform_fake;
mod requests;
mod sim;
mod stats;
mod target_fake;

pub use active_request::CommandIdentity;
pub use baseline::RoundRobin;
pub use deployment::Deployment;
pub use deployment::Load;
pub use events::Event;
pub use events::Queue;
pub use fault::TargetFault;
pub use matrix::InjectionPoint;
pub use matrix::InjectionSite;
pub use monitor_run::MonitorRun;
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
