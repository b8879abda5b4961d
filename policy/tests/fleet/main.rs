//! Tests of a fleet of instances in one process, without a network.

mod deadly_requests;
mod departures;
mod fleet;
mod hanging;
mod hanging_simulation;
mod leaving;
mod membership;
mod overload;
mod overload_simulation;
mod permits;
mod rate_limits;
mod retry_loans;
mod scenarios;
mod superseded_releases;
#[path = "../support/mod.rs"]
mod support;
