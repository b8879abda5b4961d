//! HTTP/1.1 messages over blocking sockets.

use std::io;
use std::io::Read;
use std::net::TcpStream;

/// A request, or the head of a response with the body that followed it.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads from a connection, and keeps what came beyond a message.
pub struct Channel {
    pub stream: TcpStream,
    pub rest: Vec<u8>,
}

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// As its head says.
    Complete,
    /// With the connection, as the head names no length.
    Closed,
    /// Too early.
    Broken,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, rest: Vec::new() }
    }

    fn more(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16_384];
        let count = self.stream.read(&mut buffer)?;
        self.rest.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the connection was closed before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = self.rest.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 4);
                let mut lines = head.split("\r\n");
                let line = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers.map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()));
                return Ok(Some(Message { line, headers: headers.collect(), body: Vec::new() }));
            }
            if self.more()? == 0 {
                return match self.rest.is_empty() {
                    true => Ok(None),
                    false => Err(io::Error::new(io::ErrorKind::UnexpectedEof, "head broke off")),
                };
            }
        }
    }

    /// Reads a body as its head frames it. `until_close`: without a length it goes on to the end of the
    /// connection (responses), otherwise there is none (requests).
    pub fn body(&mut self, message: &mut Message, until_close: bool) -> io::Result<End> {
        if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            loop {
                let line = loop {
                    if let Some(end) = self.rest.windows(2).position(|bytes| bytes == b"\r\n") {
                        let line = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                        self.rest.drain(..end + 2);
                        break line;
                    }
                    if self.more()? == 0 {
                        return Ok(End::Broken);
                    }
                };
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
                let size = size.map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "odd chunk"))?;
                while self.rest.len() < size + 2 {
                    if self.more()? == 0 {
                        return Ok(End::Broken);
                    }
                }
                message.body.extend(self.rest.drain(..size));
                self.rest.drain(..2);
                if size == 0 {
                    return Ok(End::Complete);
                }
            }
        }
        if let Some(length) = message.header("content-length") {
            let length: usize = length.parse().map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "odd length"))?;
            while self.rest.len() < length {
                if self.more()? == 0 {
                    message.body.append(&mut self.rest);
                    return Ok(End::Broken);
                }
            }
            message.body = self.rest.drain(..length).collect();
            return Ok(End::Complete);
        }
        if !until_close {
            return Ok(End::Complete);
        }
        while self.more()? > 0 {}
        message.body.append(&mut self.rest);
        Ok(End::Closed)
    }

    /// Reads a request; `None` if the connection was closed.
    pub fn request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        match self.body(&mut message, false)? {
            End::Complete => Ok(Some(message)),
            _ => Err(io::Error::new(io::ErrorKind::UnexpectedEof, "body broke off")),
        }
    }
}
