//! The promises, each as a function over what was seen.
//!
//! Bounds are those of the users' pages, by their names there. Each check gives
//! the things that broke it, so that a report names a request.

mod broken;
mod fleet;
mod requests;
mod routing;

pub use broken::Broken;

use crate::Record;

/// Holds a record against all promises.
pub fn check(record: &Record) -> Vec<Broken> {
    let checks = [
        requests::runs_once,
        requests::refusals_are_true,
        requests::answers_are_own,
        requests::attempts_are_bound,
        requests::answers_come_in_time,
        requests::nothing_is_cut,
        routing::draining_targets_get_nothing,
        routing::configurations_are_in_force,
        routing::configurations_never_revert,
        fleet::retries_are_bound,
        fleet::the_floor_holds,
        fleet::service_returns,
        fleet::instances_stay,
    ];
    checks.iter().flat_map(|check| check(record)).collect()
}

/// The routes' `timeout`, in milliseconds.
const TIMEOUT_MS: u64 = 3_000;
