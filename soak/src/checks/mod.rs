//! Invariants, each checked by a function of the [`Record`] of a run.
//!
//! Bounds come from the users' documentation and are referred to by their names there.
//! Each check returns its violations with the request concerned, so that a report can
//! show the log lines of that request.

pub(crate) mod customers;
mod fleet;
mod requests;
mod routing;
mod violation;

pub use violation::Violation;

use crate::Record;

/// Checks a record against all invariants.
pub fn check(record: &Record) -> Vec<Violation> {
    let checks = [
        requests::runs_once,
        requests::orders_run_once,
        requests::refusals_are_true,
        requests::answers_are_own,
        requests::attempts_are_bound,
        requests::answers_come_in_time,
        requests::nothing_is_cut,
        routing::draining_targets_get_nothing,
        routing::targets_that_say_they_leave_get_nothing,
        routing::foreign_entries_get_nothing,
        routing::configurations_are_in_force,
        routing::configurations_never_revert,
        customers::targets_see_the_customer,
        customers::withdrawn_keys_are_refused,
        customers::known_keys_are_accepted,
        fleet::retries_are_bound,
        fleet::the_floor_holds,
        fleet::service_returns,
        fleet::instances_stay,
        fleet::instances_return,
    ];
    checks.iter().flat_map(|check| check(record)).collect()
}

/// `timeout` of the routes.
const TIMEOUT_MS: u64 = 3_000;
