//! Serves the fake platform over HTTP.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use border::CreateOutcome;
use border::Platform;
use border::RangeQuery;
use border::SwapOutcome;
use border::WriteRequest;
use border::wire;
use bytes::Bytes;
use futures::FutureExt;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use policy::membership::Member;
use serde::Serialize;

use super::Body;
use super::MemoryPlatform;
use super::Server;
use super::full_body;
use super::http::empty_response;

/// A fake of the platform with the HTTP interface of `docs/PLATFORM.md`.
///
/// Two more paths control the fake: `POST /stand-in/fault` sets the fault, and
/// `POST /stand-in/list` adds an instance to the list.
pub struct PlatformServer {
    /// The in-memory platform that is served.
    pub memory: Arc<MemoryPlatform>,
    server: Server,
}

impl PlatformServer {
    /// Starts a server with an empty platform at `address`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let memory = Arc::new(MemoryPlatform::default());
        let shared = memory.clone();
        let handler = Arc::new(move |request| handle_request(shared.clone(), request).boxed());
        let server = Server::bind(address, handler).await?;
        Ok(Self { memory, server })
    }

    /// Address that the server is bound to.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

async fn handle_request(
    memory: Arc<MemoryPlatform>,
    request: Request<Incoming>,
) -> io::Result<Response<Body>> {
    let path = request.uri().path().to_owned();
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(io::Error::other)?
        .to_bytes();
    match path.as_str() {
        "/v1/get" => {
            let get: wire::Get = parse(&body)?;
            json_response(memory.get(get.key).await.map_err(io::Error::other)?)
        }
        "/v1/write" => json_response(write(&memory, parse(&body)?).await?),
        "/v1/range" => {
            let range: wire::Range = parse(&body)?;
            let query = RangeQuery {
                prefix: range.prefix,
                after: range.after,
                max_bytes: range.max_bytes,
                wait_ms: range.wait_ms,
            };
            json_response(memory.range(query).await.map_err(io::Error::other)?)
        }
        "/v1/instances" => json_response(memory.instances().await.map_err(io::Error::other)?),
        "/stand-in/fault" => {
            memory.set_fault(parse(&body)?);
            json_response(())
        }
        "/stand-in/list" => {
            memory.add_instance(parse::<Member>(&body)?);
            json_response(())
        }
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

async fn write(memory: &MemoryPlatform, write: wire::Write) -> io::Result<wire::WriteAnswer> {
    let request = WriteRequest {
        key: write.key,
        value: write.value,
        ttl_ms: write.ttl_ms,
    };
    let standing = if write.version == 0 {
        match memory.create(request).await.map_err(io::Error::other)? {
            CreateOutcome::Done => return Ok(write_succeeded()),
            CreateOutcome::Exists(entry) => Some(entry),
        }
    } else {
        match memory
            .swap(request, write.version)
            .await
            .map_err(io::Error::other)?
        {
            SwapOutcome::Done => return Ok(write_succeeded()),
            SwapOutcome::Conflict(entry) => entry,
        }
    };
    Ok(wire::WriteAnswer {
        written: false,
        standing,
    })
}

fn write_succeeded() -> wire::WriteAnswer {
    wire::WriteAnswer {
        written: true,
        standing: None,
    }
}

fn parse<T: serde::de::DeserializeOwned>(body: &Bytes) -> io::Result<T> {
    serde_json::from_slice(body).map_err(io::Error::other)
}

fn json_response(value: impl Serialize) -> io::Result<Response<Body>> {
    let text = serde_json::to_vec(&value).map_err(io::Error::other)?;
    Ok(Response::new(full_body(text)))
}
