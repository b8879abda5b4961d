//! Header names, and removal of headers that must not be forwarded.

use hyper::HeaderMap;
use hyper::header::CONNECTION;
use hyper::header::HeaderName;

/// Names of the headers between callers and instances.
pub mod names {
    /// Customer on whose behalf a request is made.
    pub const CUSTOMER: &str = "sniperun-customer";
    /// Key of the customer on whose behalf a request is made, if customers have keys.
    pub const CUSTOMER_KEY: &str = "sniperun-customer-key";
    /// Time after which the caller no longer needs the response, in milliseconds.
    pub const DEADLINE_MS: &str = "sniperun-deadline-ms";
    /// Idempotency key of a command, chosen by the caller.
    pub const KEY: &str = "idempotency-key";
    /// Ticket of a command, issued by an instance.
    pub const TICKET: &str = "sniperun-ticket";
    /// Marks a request that another instance has relayed.
    pub const RELAYED: &str = "sniperun-relayed";
    /// Marks a relayed request that must run at most once, whatever the release of the receiver says.
    pub const AT_MOST_ONCE: &str = "sniperun-at-most-once";
    /// Target that has responded to a relayed request.
    pub const TARGET: &str = "sniperun-target";
    /// Incarnation of that target's process.
    pub const INCARNATION: &str = "sniperun-target-incarnation";
    /// Outcome of the request: whether it has run, or that this is unknown.
    pub const OUTCOME: &str = "sniperun-outcome";
    /// Number of the result code.
    pub const CODE: &str = "sniperun-code";
    /// Delay before the caller should retry, in milliseconds.
    pub const RETRY_AFTER_MS: &str = "sniperun-retry-after-ms";
}

const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// Removes hop-by-hop headers, including those listed in `Connection`.
pub(super) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Removes request headers that are addressed to the instance.
pub(super) fn remove_instance_headers(headers: &mut HeaderMap) {
    let instance_headers = [
        names::CUSTOMER,
        names::CUSTOMER_KEY,
        names::DEADLINE_MS,
        names::TICKET,
        names::RELAYED,
        names::AT_MOST_ONCE,
    ];
    for name in instance_headers {
        headers.remove(name);
    }
}

/// Removes response headers that only an instance may set.
pub(super) fn remove_reserved(headers: &mut HeaderMap) {
    for name in [names::OUTCOME, names::CODE, names::RETRY_AFTER_MS] {
        headers.remove(name);
    }
}
