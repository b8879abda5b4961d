//! Administration: readiness, metrics and status.

mod admin;

pub use admin::Admin;
