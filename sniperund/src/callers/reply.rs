//! Answers that the instance gives itself.

use border::HeaderProtocol;
use hyper::Response;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use model::Outcome;
use model::ResultCode;
use policy::exchange::Reply;

use super::body::AnswerBody;
use super::body::whole;
use super::headers::names;

/// An answer for a code whose outcome stands by itself.
pub(super) fn refuse(
    header_protocol: &dyn HeaderProtocol,
    code: ResultCode,
    retry_after_ms: Option<u64>,
) -> Response<AnswerBody> {
    let reply = Reply {
        code,
        outcome: code.outcome(),
        retry_after_ms,
    };
    answer(header_protocol, &reply)
}

/// An answer with code, outcome and when to come back.
pub(super) fn answer(header_protocol: &dyn HeaderProtocol, reply: &Reply) -> Response<AnswerBody> {
    let text = format!("{}; outcome {}\n", reply.code, reply.outcome);
    let mut response = Response::new(whole(text));
    let (status, headers) = header_protocol.reply(reply);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    headers.insert(names::CODE, reply.code.number().into());
    response
}

/// An outcome as a header's value.
pub(super) fn outcome_value(outcome: Outcome) -> HeaderValue {
    HeaderValue::from_static(match outcome {
        Outcome::NotRun => "not-run",
        Outcome::Ran => "ran",
        Outcome::Unknown => "unknown",
    })
}
