//! Records and logs whether this instance reaches the targets of a service.

use policy::routing::Candidate;
use policy::routing::ServiceTable;

/// Records whether a connection to a candidate could be opened. The end of a target that leaves
/// tells nothing about the link.
pub(super) fn record_connection(
    now_us: u64,
    table: &ServiceTable,
    candidate: usize,
    is_open: bool,
) {
    let Candidate { target, load, .. } = &table.candidates[candidate];
    let target = &target.name;
    let service = &table.service.name;
    let reachability = &table.load.reachability;
    if is_open {
        if reachability.record_reached() {
            log::info!("event=service-reached service={service} target={target}");
        }
        return;
    }
    if load.is_leaving() {
        return;
    }
    let targets = table.usable(now_us).count().max(1);
    if reachability.record_unreachable(target, targets) {
        log::warn!(
            "event=service-unreachable service={service} last_target={target} targets={targets}"
        );
    }
}
