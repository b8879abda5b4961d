//! Health probes of targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use border::HeaderProtocol;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use model::configuration::Target;
use policy::exchange::Notice;
use policy::limits::BodyMemory;
use policy::limits::DEFAULT_BODY_MEMORY_BYTES;

use super::Connection;

/// Timeout of a probe, including the time to connect.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a check whether a target leaves. It is longer, as the response waits for a free slot of
/// the target like that to any request.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);

/// Probes targets at their health paths.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prober;

impl Prober {
    /// Whether a target responds to a request for its health path with status 200 within the
    /// timeout.
    pub async fn probe(&self, address: SocketAddr, path: &str) -> bool {
        let response = tokio::time::timeout(PROBE_TIMEOUT, get(address, path)).await;
        let response = response.ok().flatten();
        response.is_some_and(|response| response.status() == StatusCode::OK)
    }

    /// Whether a target says that it leaves in its response to a request for its health path,
    /// whatever the status; `None` without a readable response of the target within the timeout.
    pub async fn is_leaving(
        &self,
        target: &Target,
        path: &str,
        header_protocol: &dyn HeaderProtocol,
    ) -> Option<bool> {
        let response = tokio::time::timeout(CHECK_TIMEOUT, get(target.address, path)).await;
        let response = response.ok().flatten()?;
        let (status, headers) = (response.status(), response.headers());
        if !header_protocol.is_from_target(target, status, headers) {
            return None;
        }
        match header_protocol
            .parse_target_notices(status, headers)
            .is_leaving
        {
            Notice::Absent => Some(false),
            Notice::Stated(is_leaving) => Some(is_leaving),
            Notice::Unreadable => None,
        }
    }
}

/// Requests a path on a new connection, which is closed after the head of the response.
async fn get(address: SocketAddr, path: &str) -> Option<Response<Incoming>> {
    // A probe has no body.
    let memory = Arc::new(BodyMemory::new(DEFAULT_BODY_MEMORY_BYTES));
    let mut connection = Connection::open(address, memory).await.ok()?;
    let request = Request::get(path)
        .header("host", address.to_string())
        .body(
            Empty::<Bytes>::new()
                .map_err(|never| match never {})
                .boxed(),
        )
        .ok()?;
    connection.send(request).await.ok()
}
