//! Minimal HTTP/1.1 reading and writing for the stand-ins.

use std::io;
use std::io::Read;
use std::net::TcpStream;
use std::time::Duration;

/// Head of a request or response.
#[derive(Clone, Debug)]
pub struct Head {
    pub first_line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    /// Path and query of a request.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    /// Status of a response; 0 if it cannot be read.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Value of a parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(other, _)| *other == name)
            .map(|(_, value)| value)
    }
}

/// A connection with what was read beyond the current message.
pub struct Channel {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    part_bytes: usize,
    pause: Duration,
}

/// Bytes that are read at once.
const PART_BYTES: usize = 16 * 1024;

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
            part_bytes: PART_BYTES,
            pause: Duration::ZERO,
        }
    }

    /// From now on reads at most so many bytes at once, after each pause.
    pub fn read_parts(&mut self, part_bytes: usize, pause: Duration) {
        self.part_bytes = part_bytes.min(PART_BYTES);
        self.pause = pause;
    }

    fn fill(&mut self) -> io::Result<()> {
        std::thread::sleep(self.pause);
        let mut part = [0; PART_BYTES];
        let bytes = self.stream.read(&mut part[..self.part_bytes])?;
        if bytes == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&part[..bytes]);
        Ok(())
    }

    /// Reads a head; `None` if the peer has closed the connection before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first_line = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Head {
                    first_line,
                    headers,
                }));
            }
            if self.fill().is_err() {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    fn take(&mut self, bytes: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < bytes {
            self.fill()?;
        }
        Ok(self.buffer.drain(..bytes).collect())
    }

    /// Reads the body that belongs to a head: chunked, or of the declared length.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.header("transfer-encoding") != Some("chunked") {
            let length = head.header("content-length").unwrap_or("0");
            let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            return self.take(length);
        }
        let mut body = Vec::new();
        loop {
            let end = loop {
                match find(&self.buffer, b"\r\n") {
                    Some(end) => break end,
                    None => self.fill()?,
                }
            };
            let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
            self.buffer.drain(..end + 2);
            let size = usize::from_str_radix(line.trim(), 16);
            let size = size.map_err(|_| io::ErrorKind::InvalidData)?;
            let chunk = self.take(size + 2)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|part| part == pattern)
}
