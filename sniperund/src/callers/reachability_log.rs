//! Records and logs whether this instance reaches the targets of a service.

use std::sync::Arc;

use policy::routing::ServiceTable;

/// Records whether a connection to a target could be opened.
pub(super) fn record_connection(table: &ServiceTable, target: &Arc<str>, is_open: bool) {
    let service = &table.service.name;
    let reachability = &table.load.reachability;
    if is_open {
        if reachability.record_reached() {
            log::info!("event=service-reached service={service} target={target}");
        }
        return;
    }
    let targets = table.candidates.len();
    if reachability.record_unreachable(target, targets) {
        log::warn!(
            "event=service-unreachable service={service} last_target={target} targets={targets}"
        );
    }
}
