//! Passing a command on to the instance that issued its ticket.

use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use model::ResultCode;
use policy::command::Ticket;

use super::Entry;
use super::body::AnswerBody;
use super::body::BoxError;
use super::headers::names;
use super::headers::remove_hop_by_hop;
use super::reply::refuse;
use crate::targets::Connection;
use crate::targets::SendFailure;

/// Passes a request on to the ticket's instance and its answer back.
///
/// An instance is looked up by its id among the members, so that no caller can
/// name an address. If it is not there, its tickets are lost and the command
/// never runs again.
pub(super) async fn relay_to_owner(
    entry: &Arc<Entry>,
    ticket: &Ticket,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let directory = entry.control.shared().directory();
    let Some(owner) = directory.get(&ticket.instance) else {
        return refuse(&*entry.header_protocol, ResultCode::TicketLost, None);
    };
    let Ok(mut connection) = Connection::open(owner.caller_address).await else {
        return refuse(&*entry.header_protocol, ResultCode::TicketLost, None);
    };
    let mut request = request.map(BodyExt::boxed);
    remove_hop_by_hop(request.headers_mut());
    request
        .headers_mut()
        .insert(names::RELAYED, HeaderValue::from_static("1"));
    match connection.send(request).await {
        Ok(response) => {
            let (mut parts, incoming) = response.into_parts();
            remove_hop_by_hop(&mut parts.headers);
            let body = incoming.map_err(BoxError::from);
            Response::from_parts(
                parts,
                Held {
                    body,
                    _connection: connection,
                }
                .boxed(),
            )
        }
        Err(SendFailure::NotSent | SendFailure::Unreachable) => {
            refuse(&*entry.header_protocol, ResultCode::TicketLost, None)
        }
        Err(_) => refuse(&*entry.header_protocol, ResultCode::TargetTruncated, None),
    }
}

/// A body that keeps its connection open until its end.
struct Held<B> {
    body: B,
    _connection: Connection,
}

impl<B: hyper::body::Body + Unpin> hyper::body::Body for Held<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<hyper::body::Frame<B::Data>, B::Error>>> {
        std::pin::Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.body.size_hint()
    }
}
