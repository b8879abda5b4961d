//! Bodies of requests and responses.
//!
//! Small request bodies are buffered so that a retry can send them again.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::BoxBody;
use hyper::body::Body;
use hyper::body::Incoming;
use parking_lot::Mutex;

use crate::targets::OutBody;

/// An error while reading a body.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// The body of a response to a caller.
pub type ResponseBody = BoxBody<Bytes, BoxError>;

/// Creates a body from bytes in memory.
pub(super) fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    let never = |error: Infallible| match error {};
    Full::new(bytes.into()).map_err(never).boxed()
}

/// The body of a caller's request.
#[derive(Clone)]
pub(super) enum CallerBody {
    /// Small and buffered, so that it can be sent again.
    Buffered(Bytes),
    /// Streamed to one target as it arrives; can be sent once.
    Stream(Arc<Mutex<Option<Incoming>>>),
}

impl CallerBody {
    /// Reads a body into memory if its length is known and at most `limit` bytes; any other
    /// body is left to be streamed.
    pub(super) async fn read(body: Incoming, limit: usize) -> Result<Self, hyper::Error> {
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length <= limit as u64) {
            return Ok(Self::Buffered(body.collect().await?.to_bytes()));
        }
        Ok(Self::Stream(Arc::new(Mutex::new(Some(body)))))
    }

    /// Whether the body can be sent, for the first time or again.
    pub(super) fn is_replayable(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Stream(body) => body.lock().is_some(),
        }
    }

    /// Returns the body as far as it is in memory.
    pub(super) fn buffered(&self) -> &[u8] {
        match self {
            Self::Buffered(bytes) => bytes,
            Self::Stream(_) => &[],
        }
    }

    /// Length of the body in bytes; `None` if it is not known or the body was already streamed.
    pub(super) fn length(&self) -> Option<u64> {
        match self {
            Self::Buffered(bytes) => Some(bytes.len() as u64),
            Self::Stream(body) => body.lock().as_ref()?.size_hint().exact(),
        }
    }

    /// Returns the body to send; `None` if it was already streamed.
    pub(super) fn take(&self) -> Option<OutBody> {
        match self {
            Self::Buffered(bytes) => {
                let never = |error: Infallible| match error {};
                Some(Full::new(bytes.clone()).map_err(never).boxed())
            }
            Self::Stream(body) => body.lock().take().map(BodyExt::boxed),
        }
    }
}
