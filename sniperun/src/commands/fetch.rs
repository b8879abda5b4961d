//! Reads notes from files and the status from instances.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use model::Note;
use sniperund::control::Status;

use super::CommandError;
use super::Result;

const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads a note from a file.
pub(super) fn read_note(path: &Path) -> Result<Note> {
    let text = std::fs::read_to_string(path).map_err(|source| CommandError::File {
        path: path.to_owned(),
        source,
    })?;
    Ok(model::document::read(&text)?)
}

/// Reads the status of an instance from its administrative address.
pub(super) async fn fetch_status(address: SocketAddr) -> Result<Status> {
    let unreachable = |reason: String| CommandError::InstanceUnreachable { address, reason };
    let client: Client<_, Empty<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{address}/status")
        .parse()
        .map_err(|error: hyper::http::uri::InvalidUri| unreachable(error.to_string()))?;
    let response = tokio::time::timeout(STATUS_TIMEOUT, client.get(uri))
        .await
        .map_err(|_| unreachable(format!("no response within {} s", STATUS_TIMEOUT.as_secs())))?
        .map_err(|error| unreachable(error.to_string()))?;
    let body = response.into_body().collect().await;
    let body = body
        .map_err(|error| unreachable(error.to_string()))?
        .to_bytes();
    serde_json::from_slice(&body).map_err(|error| unreachable(error.to_string()))
}
