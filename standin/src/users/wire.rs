//! Messages as bytes, for fakes and callers that no library may tidy up.

use std::io;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;

/// A request or an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Its first line and headers.
    pub head: String,
    /// Its body, as long as its head says.
    pub body: Vec<u8>,
}

impl Frame {
    /// A request of a caller that gives it `limit_ms`.
    pub fn request(method: &str, path: &str, id: &str, limit_ms: u64, body: &str) -> String {
        let length = body.len();
        format!(
            "{method} {path} HTTP/1.1\r\nhost: a.example\r\nx-attempt-id: {id}\r\nx-deadline-ms: {limit_ms}\r\ncontent-length: {length}\r\n\r\n{body}"
        )
    }

    /// Whether this answer is marked as a target's answer to a request.
    pub fn is_marked_for(&self, id: &str) -> bool {
        let echoed = header(&self.head, "x-attempt-id");
        let is_signed = header(&self.head, "x-response-signature").is_some();
        is_signed && echoed.as_deref() == Some(id)
    }
}

/// Reads one message; none if the connection ends before it does.
///
/// `bytes` holds what has come and is not read yet.
///
/// # Errors
///
/// Returns the connection's error.
pub async fn read_frame(
    stream: &mut (impl AsyncRead + Unpin),
    bytes: &mut Vec<u8>,
) -> io::Result<Option<Frame>> {
    loop {
        if let Some(end) = find(bytes, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let length = header(&head, "content-length");
            let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
            if bytes.len() >= end + 4 + length {
                let body = bytes[end + 4..end + 4 + length].to_vec();
                bytes.drain(..end + 4 + length);
                return Ok(Some(Frame { head, body }));
            }
        }
        if stream.read_buf(bytes).await? == 0 {
            return Ok(None);
        }
    }
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

/// The value of a header of a message's head.
pub fn header(head: &str, name: &str) -> Option<String> {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let mut found = lines.filter(|(known, _)| known.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.trim().to_owned())
}
