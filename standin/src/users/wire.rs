//! Raw HTTP/1.1 messages.
//!
//! Fakes and test callers read and write the bytes themselves, because an HTTP
//! library would normalise them.

use std::io;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;

/// A request or a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawMessage {
    /// Start line and headers.
    pub head: String,
    /// Body, with the length that `content-length` gives.
    pub body: Vec<u8>,
}

impl RawMessage {
    /// Formats a caller's request with the attempt id `id` and a time limit.
    pub fn request(method: &str, path: &str, id: &str, limit_ms: u64, body: &str) -> String {
        let length = body.len();
        format!(
            "{method} {path} HTTP/1.1\r\nhost: a.example\r\nx-attempt-id: {id}\r\nx-deadline-ms: {limit_ms}\r\ncontent-length: {length}\r\n\r\n{body}"
        )
    }

    /// Whether this response is signed and echoes the attempt id `id`.
    pub fn is_signed_response_to(&self, id: &str) -> bool {
        let echoed = header(&self.head, "x-attempt-id");
        let is_signed = header(&self.head, "x-response-signature").is_some();
        is_signed && echoed.as_deref() == Some(id)
    }
}

/// Reads one message; `None` if the connection ends before the message is
/// complete.
///
/// `bytes` buffers what was received beyond the messages already returned.
///
/// # Errors
///
/// Returns the connection's error.
pub async fn read_message(
    stream: &mut (impl AsyncRead + Unpin),
    bytes: &mut Vec<u8>,
) -> io::Result<Option<RawMessage>> {
    loop {
        if let Some(end) = find(bytes, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let length = header(&head, "content-length");
            let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
            if bytes.len() >= end + 4 + length {
                let body = bytes[end + 4..end + 4 + length].to_vec();
                bytes.drain(..end + 4 + length);
                return Ok(Some(RawMessage { head, body }));
            }
        }
        if stream.read_buf(bytes).await? == 0 {
            return Ok(None);
        }
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// Value of the first header with this name, ignoring case.
pub fn header(head: &str, name: &str) -> Option<String> {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let mut found = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.trim().to_owned())
}
