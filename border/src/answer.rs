//! Reads the answers of external systems into memory, up to a size.

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;

use super::PlatformError;
use super::Result;

/// Maximum size of an answer in bytes: several of the largest values, encoded. Instances have 160
/// MB of memory and more.
pub const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Reads the body of an answer.
///
/// # Errors
///
/// Returns [`PlatformError::TooLarge`] if it has more than [`MAX_ANSWER_BYTES`], or the error of the
/// connection.
pub async fn read_answer(body: Incoming) -> Result<Bytes> {
    let collected = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    let collected = collected.map_err(|error| match error.is::<LengthLimitError>() {
        true => PlatformError::TooLarge {
            limit_bytes: MAX_ANSWER_BYTES,
        },
        false => PlatformError::Unreachable {
            reason: error.to_string(),
        },
    })?;
    Ok(collected.to_bytes())
}
