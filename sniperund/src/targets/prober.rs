//! Health probes of targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::Request;
use hyper::StatusCode;
use policy::limits::BodyMemory;
use policy::limits::DEFAULT_BODY_MEMORY_BYTES;

use super::Connection;

/// Timeout of a probe, including the time to connect.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Probes targets at their health paths.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prober;

impl Prober {
    /// Whether a target responds to a request for its health path with status 200 within the
    /// timeout.
    pub async fn probe(&self, address: SocketAddr, path: &str) -> bool {
        let status = tokio::time::timeout(PROBE_TIMEOUT, get_status(address, path)).await;
        status.ok().flatten() == Some(StatusCode::OK)
    }
}

async fn get_status(address: SocketAddr, path: &str) -> Option<StatusCode> {
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
    let response = connection.send(request).await.ok()?;
    Some(response.status())
}
