//! The native header protocol, which uses the `sniperun-*` headers.

use border::HeaderProtocol;
use border::RequestParams;
use border::ResponseKind;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use model::Outcome;
use model::ResultCode;
use model::configuration::Target;
use policy::exchange::Reply;

use super::headers::names;
use super::headers::remove_instance_headers;
use super::headers::remove_reserved;
use super::reply::outcome_value;

const MAX_DEADLINE_MS: u64 = 24 * 3_600_000;

/// Reads and writes the `sniperun-*` headers.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeHeaderProtocol;

impl HeaderProtocol for NativeHeaderProtocol {
    fn parse_request_params(&self, headers: &HeaderMap) -> Result<RequestParams, ResultCode> {
        let Some(value) = headers.get(names::DEADLINE_MS) else {
            return Ok(RequestParams::default());
        };
        let invalid = ResultCode::BadDeadline;
        let limit_ms: u64 = value
            .to_str()
            .map_err(|_| invalid)?
            .parse()
            .map_err(|_| invalid)?;
        Ok(RequestParams {
            request_id: None,
            time_limit_ms: Some(limit_ms.min(MAX_DEADLINE_MS)),
        })
    }

    fn prepare_request_headers(
        &self,
        _request_params: &RequestParams,
        _target: &Target,
        left_ms: u64,
        headers: &mut HeaderMap,
    ) {
        remove_instance_headers(headers);
        headers.insert(names::DEADLINE_MS, left_ms.into());
    }

    fn caller_key<'a>(&self, headers: &'a HeaderMap) -> Option<&'a [u8]> {
        let mut values = headers.get_all(names::CUSTOMER_KEY).iter();
        let value = values.next()?;
        values.next().is_none().then(|| value.as_bytes())
    }

    fn set_customer(&self, customer: Option<&str>, headers: &mut HeaderMap) {
        headers.remove(names::CUSTOMER_KEY);
        headers.remove(names::CUSTOMER);
        let name = customer.and_then(|customer| HeaderValue::from_str(customer).ok());
        if let Some(name) = name {
            headers.insert(names::CUSTOMER, name);
        }
    }

    fn set_time_left(&self, left_ms: u64, headers: &mut HeaderMap) {
        headers.insert(names::DEADLINE_MS, left_ms.into());
    }

    fn classify_response(
        &self,
        _request_params: &RequestParams,
        _status: StatusCode,
        _headers: &HeaderMap,
    ) -> ResponseKind {
        ResponseKind::Own
    }

    fn prepare_response_headers(&self, headers: &mut HeaderMap) {
        remove_reserved(headers);
        headers.insert(names::OUTCOME, outcome_value(Outcome::Ran));
        headers.insert(names::CODE, ResultCode::Served.number().into());
    }

    fn build_response_head(&self, reply: &Reply) -> (StatusCode, HeaderMap) {
        let status = StatusCode::from_u16(reply.code.http_status());
        let mut headers = HeaderMap::new();
        headers.insert(names::OUTCOME, outcome_value(reply.outcome));
        if let Some(retry_after_ms) = reply.retry_after_ms {
            headers.insert(RETRY_AFTER, retry_after_ms.div_ceil(1_000).into());
            headers.insert(names::RETRY_AFTER_MS, retry_after_ms.into());
        }
        (status.unwrap_or(StatusCode::BAD_GATEWAY), headers)
    }
}
