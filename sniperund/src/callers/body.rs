//! Bodies of requests and answers.

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

/// An error of a body.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// The body of an answer to a caller.
pub type AnswerBody = BoxBody<Bytes, BoxError>;

/// A body of one piece.
pub(super) fn whole(bytes: impl Into<Bytes>) -> AnswerBody {
    let never = |error: Infallible| match error {};
    Full::new(bytes.into()).map_err(never).boxed()
}

/// The body of a caller's request.
#[derive(Clone)]
pub(super) enum CallerBody {
    /// Small and kept, so that it can be sent again.
    Kept(Bytes),
    /// Passed on as it comes, once.
    Stream(Arc<Mutex<Option<Incoming>>>),
}

impl CallerBody {
    /// Takes a body in; keeps it if its length is known and at most `limit` bytes.
    pub(super) async fn read(body: Incoming, limit: usize) -> Result<Self, hyper::Error> {
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length <= limit as u64) {
            return Ok(Self::Kept(body.collect().await?.to_bytes()));
        }
        Ok(Self::Stream(Arc::new(Mutex::new(Some(body)))))
    }

    /// Whether the body can be sent, a first time or again.
    pub(super) fn is_replayable(&self) -> bool {
        match self {
            Self::Kept(_) => true,
            Self::Stream(body) => body.lock().is_some(),
        }
    }

    /// The body to send; none if it was sent and not kept.
    pub(super) fn take(&self) -> Option<OutBody> {
        match self {
            Self::Kept(bytes) => {
                let never = |error: Infallible| match error {};
                Some(Full::new(bytes.clone()).map_err(never).boxed())
            }
            Self::Stream(body) => body.lock().take().map(BodyExt::boxed),
        }
    }
}
