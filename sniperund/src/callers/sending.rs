//! Sends a request to one target.

use std::io::ErrorKind;

use hyper::Request;
use hyper::Response;
use hyper::Uri;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use policy::routing::ServiceTable;

use super::ProxyState;
use super::body::CallerBody;
use super::headers::names;
use super::headers::remove_hop_by_hop;
use super::reachability_log::record_connection;
use crate::targets::Connection;
use crate::targets::SendFailure;

/// The head of a response, and the connection on which its body follows.
pub(super) struct ResponseHead {
    pub(super) response: Response<Incoming>,
    pub(super) connection: Connection,
}

/// Builds the head of the request to a target from the head of the caller's request.
pub(super) fn build_request(parts: &Parts) -> Request<()> {
    let mut request = Request::new(());
    *request.method_mut() = parts.method.clone();
    *request.uri_mut() = origin_form(&parts.uri);
    *request.headers_mut() = parts.headers.clone();
    let headers = request.headers_mut();
    if let Some(authority) = parts.uri.authority()
        && let Ok(host) = HeaderValue::from_str(authority.as_str())
    {
        headers.insert("host", host);
    }
    remove_hop_by_hop(headers);
    headers.remove(names::RELAYED);
    headers.remove(names::AT_MOST_ONCE);
    request
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_default()
}

/// Sends a request on one connection and waits for the head of its response.
///
/// `needs_new_connection` is set for requests that must not be sent twice: a pooled
/// connection may be closed by the target just as the request is sent, and it is then unknown
/// whether the request has run.
pub(super) async fn send_attempt(
    proxy_state: &ProxyState,
    table: &ServiceTable,
    candidate: usize,
    needs_new_connection: bool,
    request_head: Request<()>,
    body: &CallerBody,
) -> Result<ResponseHead, SendFailure> {
    let target = &table.candidates[candidate].target;
    let idle = match needs_new_connection {
        true => None,
        false => proxy_state.pool.take_idle(target.address),
    };
    let opened = match idle {
        Some(connection) => Ok(connection),
        None => {
            let opened = proxy_state.pool.open(target.address).await;
            record_connection(proxy_state.clock.now_us(), table, candidate, opened.is_ok());
            opened
        }
    };
    let mut connection = opened.map_err(|error| match error.kind() {
        ErrorKind::TimedOut => SendFailure::Unreachable,
        _ => SendFailure::NotSent,
    })?;
    // The target may have started to leave while the request waited for a permit, or while the
    // connection was being opened.
    if !table.is_usable(proxy_state.clock.now_us(), candidate) {
        return Err(SendFailure::Leaving);
    }
    let body = body.take().ok_or(SendFailure::NotSent)?;
    let response = connection.send(request_head.map(|()| body)).await?;
    Ok(ResponseHead {
        response,
        connection,
    })
}
