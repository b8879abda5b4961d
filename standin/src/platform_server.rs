//! The fake platform over HTTP.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use border::Created;
use border::Platform;
use border::RangeQuery;
use border::Swapped;
use border::Written;
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
use super::full;
use super::http::status;

/// The fake platform behind the interface of `docs/PLATFORM.md`.
///
/// `POST /stand-in/fault` sets its behaviour, `POST /stand-in/list` lists an
/// instance.
pub struct PlatformServer {
    /// The state behind the interface.
    pub memory: Arc<MemoryPlatform>,
    server: Server,
}

impl PlatformServer {
    /// Serves at `address`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let memory = Arc::new(MemoryPlatform::default());
        let shared = memory.clone();
        let handler = Arc::new(move |request| answer(shared.clone(), request).boxed());
        let server = Server::bind(address, handler).await?;
        Ok(Self { memory, server })
    }

    /// The address served at.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

async fn answer(
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
            let get: wire::Get = read(&body)?;
            json(memory.get(get.key).await.map_err(io::Error::other)?)
        }
        "/v1/write" => json(write(&memory, read(&body)?).await?),
        "/v1/range" => {
            let range: wire::Range = read(&body)?;
            let query = RangeQuery {
                prefix: range.prefix,
                after: range.after,
                max_bytes: range.max_bytes,
                wait_ms: range.wait_ms,
            };
            json(memory.range(query).await.map_err(io::Error::other)?)
        }
        "/v1/instances" => json(memory.instances().await.map_err(io::Error::other)?),
        "/stand-in/fault" => {
            memory.set_fault(read(&body)?);
            json(())
        }
        "/stand-in/list" => {
            memory.list(read::<Member>(&body)?);
            json(())
        }
        _ => status(StatusCode::NOT_FOUND),
    }
}

async fn write(memory: &MemoryPlatform, write: wire::Write) -> io::Result<wire::WriteAnswer> {
    let written = Written {
        key: write.key,
        value: write.value,
        ttl_ms: write.ttl_ms,
    };
    let standing = if write.version == 0 {
        match memory.create(written).await.map_err(io::Error::other)? {
            Created::Done => return Ok(done()),
            Created::Exists(entry) => Some(entry),
        }
    } else {
        match memory
            .swap(written, write.version)
            .await
            .map_err(io::Error::other)?
        {
            Swapped::Done => return Ok(done()),
            Swapped::Conflict(entry) => entry,
        }
    };
    Ok(wire::WriteAnswer {
        written: false,
        standing,
    })
}

fn done() -> wire::WriteAnswer {
    wire::WriteAnswer {
        written: true,
        standing: None,
    }
}

fn read<T: serde::de::DeserializeOwned>(body: &Bytes) -> io::Result<T> {
    serde_json::from_slice(body).map_err(io::Error::other)
}

fn json(value: impl Serialize) -> io::Result<Response<Body>> {
    let text = serde_json::to_vec(&value).map_err(io::Error::other)?;
    Ok(Response::new(full(text)))
}
