//! Administrative endpoints: liveness, readiness, metrics and status.

mod admin;

pub use admin::Admin;
