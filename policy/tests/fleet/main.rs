//! Simulations of a fleet of instances without a network.

mod crowd;
mod crowded;
mod fleet;
mod leaving;
#[path = "../support/mod.rs"]
mod support;
