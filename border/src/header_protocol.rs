//! How callers and targets mark requests and answers.
//!
//! The exchange knows what a request asks for and what an answer means; which
//! headers say so is the dialect's.

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use model::ResultCode;
use model::configuration::Target;
use policy::exchange::Reply;

/// What a caller's headers ask for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Asked {
    /// The request's own id, if it has one.
    pub request_id: Option<HeaderValue>,
    /// Time until the answer is of no more use, in milliseconds.
    pub time_limit_ms: Option<u64>,
}

impl Asked {
    /// The request's id for logs; `-` if it has none.
    pub fn id(&self) -> &str {
        let id = self.request_id.as_ref().and_then(|id| id.to_str().ok());
        id.unwrap_or("-")
    }
}

/// What the head of a target's answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// The answer is the target's own, whatever its status.
    Own,
    /// The target has not run the request.
    NotRun,
    /// Another target has the address; it has not run the request.
    OtherTarget,
    /// The answer belongs to another request, or to none.
    Foreign,
}

/// How callers and targets mark requests and answers.
pub trait HeaderProtocol: Send + Sync {
    /// Reads what a request asks for.
    ///
    /// # Errors
    ///
    /// Returns the code of the refusal if the headers do not fit.
    fn asked(&self, headers: &HeaderMap) -> Result<Asked, ResultCode>;

    /// Makes a request's headers those that a target gets.
    fn dress(&self, asked: &Asked, target: &Target, left_ms: u64, headers: &mut HeaderMap);

    /// Says what the head of an answer means.
    fn judge(&self, asked: &Asked, status: StatusCode, headers: &HeaderMap) -> Judgement;

    /// Makes the headers of a target's answer those that the caller gets.
    fn pass_on(&self, headers: &mut HeaderMap);

    /// The status and headers of an answer that the instance gives itself.
    fn reply(&self, reply: &Reply) -> (StatusCode, HeaderMap);
}
