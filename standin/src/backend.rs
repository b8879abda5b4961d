//! A fake backend server.
//!
//! Health checks at `/health` always succeed, whatever the script does to other
//! requests. The server counts how often each command was run, identified by the
//! header `command-id`. A request with the header `stand-in-quick` is answered
//! without the scripted processing time.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::sync::Semaphore;

use super::Body;
use super::Script;
use super::Server;
use super::full_body;
use super::http::empty_response;

/// Size of the chunks in which a response body is sent.
const CHUNK_BYTES: usize = 16 * 1024;
/// Time to answer a health check.
const HEALTH_CHECK_MS: u64 = 1;

/// Counters of a backend server.
#[derive(Debug, Default)]
pub struct BackendCounts {
    /// Requests received, except health checks and changes of the script.
    pub requests: AtomicU64,
    /// Number of runs of each command, by `command-id`.
    pub commands: Mutex<HashMap<String, u32>>,
}

struct State {
    name: String,
    script: Mutex<Script>,
    counts: Arc<BackendCounts>,
    slots: Semaphore,
    waiting: AtomicUsize,
}

/// A fake backend server; `POST /stand-in/script` replaces its script.
pub struct Backend {
    state: Arc<State>,
    server: Server,
}

impl Backend {
    /// Starts a server at `address`; `name` is sent in the `served-by` header of
    /// its responses.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn bind(address: SocketAddr, name: &str, script: Script) -> io::Result<Self> {
        let state = Arc::new(State {
            name: name.to_owned(),
            slots: Semaphore::new(script.slots),
            script: Mutex::new(script),
            counts: Arc::new(BackendCounts::default()),
            waiting: AtomicUsize::new(0),
        });
        let shared = state.clone();
        let handler = Arc::new(move |request| handle_request(shared.clone(), request).boxed());
        let server = Server::bind(address, handler).await?;
        Ok(Self { state, server })
    }

    /// Address that the server is bound to.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Counters since the start.
    pub fn counts(&self) -> &Arc<BackendCounts> {
        &self.state.counts
    }

    /// Updates the script, which applies to later requests.
    pub fn update_script(&self, update: impl FnOnce(&mut Script)) {
        update(&mut self.state.script.lock());
    }
}

async fn handle_request(
    state: Arc<State>,
    request: Request<Incoming>,
) -> io::Result<Response<Body>> {
    if request.uri().path() == "/health" {
        tokio::time::sleep(Duration::from_millis(HEALTH_CHECK_MS)).await;
        return Ok(Response::new(full_body("ok")));
    }
    if request.uri().path() == "/stand-in/script" {
        let body = request
            .into_body()
            .collect()
            .await
            .map_err(io::Error::other)?;
        *state.script.lock() =
            serde_json::from_slice(&body.to_bytes()).map_err(io::Error::other)?;
        return Ok(Response::new(full_body("set")));
    }
    run_request(state, request).await
}

async fn run_request(state: Arc<State>, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let script = state.script.lock().clone();
    state.counts.requests.fetch_add(1, Ordering::Relaxed);
    if script.dead {
        return Err(io::Error::other("script closes every connection"));
    }
    if script.hung {
        return std::future::pending().await;
    }
    if script.shedding || state.waiting.load(Ordering::Relaxed) > script.waiting {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    let command = request.headers().get("command-id").cloned();
    let echo = request.headers().get("echo").cloned();
    let skips_work = request.headers().contains_key("stand-in-quick");
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(io::Error::other)?
        .to_bytes();
    state.waiting.fetch_add(1, Ordering::Relaxed);
    let slot = state.slots.acquire().await.map_err(io::Error::other);
    state.waiting.fetch_sub(1, Ordering::Relaxed);
    let slot = slot?;
    if let Some(command) = command {
        let id = String::from_utf8_lossy(command.as_bytes()).into_owned();
        *state.counts.commands.lock().entry(id).or_default() += 1;
    }
    let work_ms = -script.work_ms * (1.0 - rand::random::<f64>()).ln();
    if !skips_work {
        tokio::time::sleep(Duration::from_secs_f64(work_ms / 1_000.0)).await;
    }
    drop(slot);
    if rand::random::<f64>() < script.failing_share {
        return empty_response(StatusCode::INTERNAL_SERVER_ERROR);
    }
    let mut response = Response::new(response_body(&script, &body));
    let headers = response.headers_mut();
    if let Ok(name) = state.name.parse() {
        headers.insert("served-by", name);
    }
    if let Some(echo) = echo {
        headers.insert("echo", echo);
    }
    if script.cut_after_bytes.is_none() {
        let length = if body.is_empty() {
            script.answer_bytes
        } else {
            body.len()
        };
        headers.insert("content-length", length.into());
    }
    Ok(response)
}

/// Echoes the request's body; if it is empty, sends `answer_bytes` in chunks.
fn response_body(script: &Script, body: &Bytes) -> Body {
    if !body.is_empty() {
        return full_body(body.clone());
    }
    let (total, pause_ms, cut) = (
        script.answer_bytes,
        script.chunk_pause_ms,
        script.cut_after_bytes,
    );
    let chunks = stream::unfold(0usize, move |sent| async move {
        if cut.is_some_and(|cut| sent >= cut) {
            return Some((
                Err(io::Error::other("script cuts off the body")),
                usize::MAX,
            ));
        }
        if sent >= total {
            return None;
        }
        if sent > 0 && pause_ms > 0 {
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        let size = CHUNK_BYTES.min(total - sent);
        let chunk = Bytes::from(vec![b'x'; size]);
        Some((Ok(Frame::data(chunk)), sent + size))
    });
    StreamBody::new(chunks).boxed()
}
