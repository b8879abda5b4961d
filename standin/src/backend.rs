//! A fake backend server.
//!
//! Its health path always answers well, whatever it does to real work. It
//! counts how often it has run each command, by the header `command-id`. A
//! request with the header `stand-in-quick` takes no time.

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
use super::full;
use super::http::status;

const CHUNK_BYTES: usize = 16 * 1024;
const HEALTH_MS: u64 = 1;

/// What a backend server has done.
#[derive(Debug, Default)]
pub struct BackendCounts {
    /// Requests that reached it, health checks aside.
    pub requests: AtomicU64,
    /// How often each command was run.
    pub commands: Mutex<HashMap<String, u32>>,
}

struct State {
    name: String,
    script: Mutex<Script>,
    counts: Arc<BackendCounts>,
    slots: Semaphore,
    waiting: AtomicUsize,
}

/// A fake backend server; `POST /stand-in/script` sets its behaviour.
pub struct Backend {
    state: Arc<State>,
    server: Server,
}

impl Backend {
    /// Serves at `address` under a name that its answers carry.
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
        let handler = Arc::new(move |request| answer(shared.clone(), request).boxed());
        let server = Server::bind(address, handler).await?;
        Ok(Self { state, server })
    }

    /// The address served at.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// What it has done so far.
    pub fn counts(&self) -> &Arc<BackendCounts> {
        &self.state.counts
    }

    /// Changes the behaviour from now on.
    pub fn change(&self, change: impl FnOnce(&mut Script)) {
        change(&mut self.state.script.lock());
    }
}

async fn answer(state: Arc<State>, request: Request<Incoming>) -> io::Result<Response<Body>> {
    if request.uri().path() == "/health" {
        tokio::time::sleep(Duration::from_millis(HEALTH_MS)).await;
        return Ok(Response::new(full("ok")));
    }
    if request.uri().path() == "/stand-in/script" {
        let body = request
            .into_body()
            .collect()
            .await
            .map_err(io::Error::other)?;
        *state.script.lock() =
            serde_json::from_slice(&body.to_bytes()).map_err(io::Error::other)?;
        return Ok(Response::new(full("set")));
    }
    work(state, request).await
}

async fn work(state: Arc<State>, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let script = state.script.lock().clone();
    state.counts.requests.fetch_add(1, Ordering::Relaxed);
    if script.dead {
        return Err(io::Error::other("dead"));
    }
    if script.hung {
        return std::future::pending().await;
    }
    if script.shedding || state.waiting.load(Ordering::Relaxed) > script.waiting {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let command = request.headers().get("command-id").cloned();
    let echo = request.headers().get("echo").cloned();
    let quick = request.headers().contains_key("stand-in-quick");
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(io::Error::other)?
        .to_bytes();
    state.waiting.fetch_add(1, Ordering::Relaxed);
    let place = state.slots.acquire().await.map_err(io::Error::other);
    state.waiting.fetch_sub(1, Ordering::Relaxed);
    let place = place?;
    if let Some(command) = command {
        let id = String::from_utf8_lossy(command.as_bytes()).into_owned();
        *state.counts.commands.lock().entry(id).or_default() += 1;
    }
    let work_ms = -script.work_ms * (1.0 - rand::random::<f64>()).ln();
    if !quick {
        tokio::time::sleep(Duration::from_secs_f64(work_ms / 1_000.0)).await;
    }
    drop(place);
    if rand::random::<f64>() < script.failing_share {
        return status(StatusCode::INTERNAL_SERVER_ERROR);
    }
    let mut response = Response::new(answer_body(&script, &body));
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

/// The request's body back, or as many bytes as the script says.
fn answer_body(script: &Script, body: &Bytes) -> Body {
    if !body.is_empty() {
        return full(body.clone());
    }
    let (total, pause_ms, cut) = (
        script.answer_bytes,
        script.chunk_pause_ms,
        script.cut_after_bytes,
    );
    let chunks = stream::unfold(0usize, move |sent| async move {
        if cut.is_some_and(|cut| sent >= cut) {
            return Some((Err(io::Error::other("cut")), usize::MAX));
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
