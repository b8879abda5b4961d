//! Layer that rejects malformed requests before they are routed.

use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use border::HeaderProtocol;
use futures::future::BoxFuture;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::header::TRANSFER_ENCODING;
use model::ResultCode;
use tower::Layer;
use tower::Service;

use super::body::ResponseBody;
use super::reply::build_refusal;

/// Rejects requests with ambiguous framing, oversized headers or an unsupported form.
#[derive(Clone)]
pub(super) struct CheckLayer {
    pub(super) header_bytes: usize,
    pub(super) header_protocol: Arc<dyn HeaderProtocol>,
}

impl<S> Layer<S> for CheckLayer {
    type Service = Check<S>;

    fn layer(&self, inner: S) -> Check<S> {
        Check {
            inner,
            header_bytes: self.header_bytes,
            header_protocol: self.header_protocol.clone(),
        }
    }
}

/// The service created by [`CheckLayer`].
#[derive(Clone)]
pub(super) struct Check<S> {
    inner: S,
    header_bytes: usize,
    header_protocol: Arc<dyn HeaderProtocol>,
}

impl<S> Service<Request<Incoming>> for Check<S>
where
    S: Service<Request<Incoming>, Response = Response<ResponseBody>>,
    S::Future: Send + 'static,
    S::Error: Send + 'static,
{
    type Response = Response<ResponseBody>;
    type Error = S::Error;
    type Future = BoxFuture<'static, Result<Self::Response, S::Error>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        if let Err(code) = check(&request, self.header_bytes) {
            return Box::pin(std::future::ready(Ok(build_refusal(
                &*self.header_protocol,
                code,
                None,
            ))));
        }
        Box::pin(self.inner.call(request))
    }
}

fn check(request: &Request<Incoming>, header_bytes: usize) -> Result<(), ResultCode> {
    let headers = request.headers();
    let size: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    if size + request.uri().to_string().len() > header_bytes {
        return Err(ResultCode::HeadersTooLarge);
    }
    if has_ambiguous_length(headers) {
        return Err(ResultCode::AmbiguousLength);
    }
    let has_unsupported_form =
        request.method() == Method::CONNECT || !request.uri().path().starts_with('/');
    if has_unsupported_form || headers.get_all("host").iter().count() > 1 {
        return Err(ResultCode::BadRequest);
    }
    Ok(())
}

fn has_ambiguous_length(headers: &HeaderMap) -> bool {
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    let encodings = headers.get_all(TRANSFER_ENCODING).iter().count();
    let chunked = headers
        .get(TRANSFER_ENCODING)
        .is_none_or(|value| value == "chunked");
    lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0) || !chunked
}
