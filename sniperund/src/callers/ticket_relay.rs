//! Relays a command to the instance that issued its ticket.
//!
//! Only that instance holds the ticket's state and can ensure that the command runs at
//! most once.

use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use model::ResultCode;
use policy::command::Ticket;

use super::ProxyState;
use super::body::ResponseBody;
use super::caller_connection::ResponseLimits;
use super::headers::names;
use super::headers::remove_hop_by_hop;
use super::relayed_body::RelayedBody;
use super::reply::build_refusal;
use super::wait_limits::WaitLimits;
use crate::targets::SendFailure;

/// Relays a request to the instance that issued its ticket, and returns the response.
///
/// The instance is looked up by id among the members, so that a caller cannot direct the relay
/// to an address of its choice. If it is no longer a member or cannot be reached, the ticket is
/// reported as lost; if the instance has stopped, commands with its tickets never run again. If it
/// does not respond within the limits, the outcome is unknown.
pub(super) async fn relay_to_issuer(
    proxy_state: &Arc<ProxyState>,
    ticket: &Ticket,
    request: Request<Incoming>,
    mut limits: WaitLimits,
    response_limits: ResponseLimits,
) -> Response<ResponseBody> {
    let directory = proxy_state.control.shared().directory();
    let Some(issuer) = directory.get(&ticket.instance) else {
        return build_refusal(&*proxy_state.header_protocol, ResultCode::TicketLost, None);
    };
    let Ok(mut connection) = proxy_state.pool.open(issuer.caller_address).await else {
        return build_refusal(&*proxy_state.header_protocol, ResultCode::TicketLost, None);
    };
    let mut request = request.map(BodyExt::boxed);
    remove_hop_by_hop(request.headers_mut());
    for name in [names::RELAYED, names::AT_MOST_ONCE] {
        let headers = request.headers_mut();
        headers.insert(name, HeaderValue::from_static("1"));
    }
    let Ok(sent) = limits.wait(connection.send(request)).await else {
        return build_refusal(
            &*proxy_state.header_protocol,
            ResultCode::TargetTimeout,
            None,
        );
    };
    match sent {
        Ok(response) => {
            let (mut parts, incoming) = response.into_parts();
            remove_hop_by_hop(&mut parts.headers);
            let clock = proxy_state.clock;
            let body = RelayedBody::new(incoming, response_limits, clock, connection, None);
            Response::from_parts(parts, body.boxed())
        }
        Err(SendFailure::NotSent | SendFailure::Unreachable) => {
            build_refusal(&*proxy_state.header_protocol, ResultCode::TicketLost, None)
        }
        Err(_) => build_refusal(
            &*proxy_state.header_protocol,
            ResultCode::TargetTruncated,
            None,
        ),
    }
}
