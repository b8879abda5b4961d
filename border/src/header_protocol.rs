//! Header conventions of callers and targets.
//!
//! The decision logic does not depend on how callers and targets name their headers. A
//! [`HeaderProtocol`] maps its parameters and results to and from concrete headers and
//! status codes.

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use model::ResultCode;
use model::configuration::Target;
use policy::exchange::Reply;
use policy::exchange::TargetNotices;

/// Request parameters parsed from a caller's headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestParams {
    /// Id assigned by the caller; `None` if the request carries none.
    pub request_id: Option<HeaderValue>,
    /// Time after which the caller no longer needs the response, in milliseconds; `None` if the
    /// headers set no limit.
    pub time_limit_ms: Option<u64>,
}

impl RequestParams {
    /// Returns the request id for log lines; `-` if there is none or it is not printable ASCII.
    pub fn id(&self) -> &str {
        let id = self.request_id.as_ref().and_then(|id| id.to_str().ok());
        id.unwrap_or("-")
    }
}

/// Classification of a target's response by its status and headers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The target itself responded to this request, whatever the status.
    Own,
    /// The target reports that it did not run the request.
    NotRun,
    /// A different target now has the address; it did not run the request.
    OtherTarget,
    /// The response belongs to a different request or to none.
    Foreign,
}

/// Maps requests and responses to the headers that callers and targets use.
pub trait HeaderProtocol: Send + Sync {
    /// Parses the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns the result code with which to refuse the request if a header is invalid.
    fn parse_request_params(&self, headers: &HeaderMap) -> Result<RequestParams, ResultCode>;

    /// Rewrites a request's headers for the target; `left_ms` is the time left for its response.
    fn prepare_request_headers(
        &self,
        request_params: &RequestParams,
        target: &Target,
        left_ms: u64,
        headers: &mut HeaderMap,
    );

    /// Returns the key by which the caller identifies its customer; `None` if the headers carry
    /// none, or several.
    fn caller_key<'a>(&self, headers: &'a HeaderMap) -> Option<&'a [u8]>;

    /// Replaces the caller's key, and the customer that the caller may have named, by the customer
    /// that holds the key; `None` for a request that needs no key.
    fn set_customer(&self, customer: Option<&str>, headers: &mut HeaderMap);

    /// Sets the time left for the response in the headers of a request to another instance.
    fn set_time_left(&self, left_ms: u64, headers: &mut HeaderMap);

    /// Classifies a target's response by its status and headers.
    fn classify_response(
        &self,
        request_params: &RequestParams,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ResponseKind;

    /// Parses what a target says about itself in a response; nothing by default.
    fn parse_target_notices(&self, _status: StatusCode, _headers: &HeaderMap) -> TargetNotices {
        TargetNotices::default()
    }

    /// Whether the response to a request for the health path comes from the target, as far as it
    /// tells; by default it does.
    fn is_from_target(&self, _target: &Target, _status: StatusCode, _headers: &HeaderMap) -> bool {
        true
    }

    /// Rewrites the headers of a target's response for the caller.
    fn prepare_response_headers(&self, headers: &mut HeaderMap);

    /// Returns the status and headers of a response that the instance itself generates.
    fn build_response_head(&self, reply: &Reply) -> (StatusCode, HeaderMap);
}
