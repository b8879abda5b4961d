//! Reads the answers of external systems into memory, up to a size and within a time.
//!
//! The time that an answer takes grows with its size, so it is limited by a pause and a rate, not by a
//! fixed duration: a large answer takes over a second on a small link, while a connection that has
//! silently failed shows after one pause.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::PlatformError;
use super::Result;

/// Maximum size of an answer in bytes: several of the largest values, encoded. Instances have 160
/// MB of memory and more.
pub const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Limit of the time that the body of an answer takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferLimit {
    /// Longest pause without a byte, in milliseconds.
    pub max_pause_ms: u64,
    /// Lowest average rate in bytes per second, apart from one pause.
    pub min_bytes_per_s: u64,
}

impl TransferLimit {
    /// Returns how long the next part of a body may take, in milliseconds, if `received_bytes` came in
    /// `elapsed_ms`; `None` if the body takes too long.
    pub fn next_part_ms(&self, elapsed_ms: u64, received_bytes: usize) -> Option<u64> {
        let transfer_ms = (received_bytes as u64).saturating_mul(1_000) / self.min_bytes_per_s;
        let left_ms = (self.max_pause_ms + transfer_ms).saturating_sub(elapsed_ms);
        (left_ms > 0).then_some(left_ms.min(self.max_pause_ms))
    }
}

/// Reads the body of an answer.
///
/// # Errors
///
/// Returns [`PlatformError::TooLarge`] if it has more than [`MAX_ANSWER_BYTES`],
/// [`PlatformError::TimedOut`] if it takes longer than `limit` permits, or the error of the connection.
pub async fn read_answer(mut body: Incoming, limit: TransferLimit) -> Result<Bytes> {
    let started = Instant::now();
    let stated_bytes = body.size_hint().lower().min(MAX_ANSWER_BYTES as u64);
    let mut answer = BytesMut::with_capacity(stated_bytes as usize);
    loop {
        let elapsed_ms = started.elapsed().as_millis() as u64;
        let part_ms = limit.next_part_ms(elapsed_ms, answer.len());
        let part_ms = part_ms.ok_or(PlatformError::TimedOut {
            limit_ms: elapsed_ms,
        })?;
        let frame = tokio::time::timeout(Duration::from_millis(part_ms), body.frame()).await;
        let frame = frame.map_err(|_| PlatformError::TimedOut {
            limit_ms: elapsed_ms + part_ms,
        })?;
        let Some(frame) = frame else {
            return Ok(answer.freeze());
        };
        let frame = frame.map_err(|error| PlatformError::Unreachable {
            reason: error.to_string(),
        })?;
        // Trailers have no meaning here.
        let Ok(part) = frame.into_data() else {
            continue;
        };
        if answer.len() + part.len() > MAX_ANSWER_BYTES {
            return Err(PlatformError::TooLarge {
                limit_bytes: MAX_ANSWER_BYTES,
            });
        }
        answer.extend_from_slice(&part);
    }
}
