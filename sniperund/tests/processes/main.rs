//! Tests of instances that run as processes against fake platforms and backend servers.

mod fleet;
mod path;
mod refusals;
