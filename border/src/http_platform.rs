//! HTTP client of the platform.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use policy::membership::Member;
use serde::de::DeserializeOwned;

use super::CallBudget;
use super::CreateOutcome;
use super::Entry;
use super::Platform;
use super::PlatformError;
use super::RangeQuery;
use super::Result;
use super::SwapOutcome;
use super::TransferLimit;
use super::WriteRequest;
use super::read_answer;

/// JSON bodies of the requests and replies of the platform's HTTP interface.
pub mod wire {
    use std::sync::Arc;

    use serde::Deserialize;
    use serde::Serialize;

    use super::Entry;

    /// A conditional write.
    #[derive(Clone, Debug, Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct Write {
        /// The key.
        pub key: Arc<str>,
        /// The value.
        pub value: Arc<str>,
        /// Version that the key must have; 0 if it must not exist.
        pub version: u64,
        /// Time to live in milliseconds; `None` if the entry does not expire.
        #[serde(default)]
        pub ttl_ms: Option<u64>,
    }

    /// A read of one key.
    #[derive(Clone, Debug, Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct Get {
        /// The key.
        pub key: Arc<str>,
    }

    /// A range read.
    #[derive(Clone, Debug, Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct Range {
        /// Prefix of the keys.
        pub prefix: Arc<str>,
        /// Key after which to start, exclusive.
        pub after: Arc<str>,
        /// Maximum total size of the values in bytes.
        pub max_bytes: usize,
        /// Time to wait for an entry if none matches, in milliseconds.
        pub wait_ms: u64,
    }

    /// The reply to a conditional write.
    #[derive(Clone, Debug, Serialize, Deserialize)]
    pub struct WriteAnswer {
        /// Whether the value was written.
        pub written: bool,
        /// The existing entry that prevented the write, if any.
        pub standing: Option<Entry>,
    }
}

/// Default limit of calls per second, which is also the default burst.
const DEFAULT_CALLS_PER_S: u64 = 1_000;
/// Default time limit of a call up to the head of its answer, and of a pause in the answer.
const DEFAULT_CALL_TIMEOUT_MS: u64 = 1_000;
/// Lowest average rate at which an answer may arrive, in bytes per second.
const MIN_ANSWER_BYTES_PER_S: u64 = 128 * 1_024;

/// HTTP client of the platform, limited in the rate and duration of calls.
pub struct HttpPlatform {
    base: String,
    client: Client<HttpConnector, Full<Bytes>>,
    limit_ms: u64,
    budget: CallBudget,
    started: Instant,
}

impl HttpPlatform {
    /// Creates a client of the platform at `address`, such as `127.0.0.1:7000`.
    pub fn new(address: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_millis(DEFAULT_CALL_TIMEOUT_MS)));
        connector.set_nodelay(true);
        Self {
            base: format!("http://{address}/v1"),
            client: Client::builder(TokioExecutor::new()).build(connector),
            limit_ms: DEFAULT_CALL_TIMEOUT_MS,
            budget: CallBudget::new(DEFAULT_CALLS_PER_S, DEFAULT_CALLS_PER_S),
            started: Instant::now(),
        }
    }

    /// Sets the time limit of a call up to the head of its answer, and of a pause in the answer. The
    /// wait time of a range read is added to the first.
    pub fn limit_ms(mut self, limit_ms: u64) -> Self {
        self.limit_ms = limit_ms;
        self
    }

    /// Sets the rate limit of calls.
    pub fn budget(mut self, budget: CallBudget) -> Self {
        self.budget = budget;
        self
    }

    async fn call<T: DeserializeOwned>(
        &self,
        path: &str,
        body: Vec<u8>,
        wait_ms: u64,
    ) -> Result<T> {
        let now_us = self.started.elapsed().as_micros() as u64;
        if !self.budget.take(now_us) {
            return Err(PlatformError::OverBudget);
        }
        let limit_ms = self.limit_ms + wait_ms;
        let response = tokio::time::timeout(Duration::from_millis(limit_ms), self.send(path, body))
            .await
            .map_err(|_| PlatformError::TimedOut { limit_ms })??;
        if response.status() != StatusCode::OK {
            return Err(PlatformError::Status {
                status: response.status().as_u16(),
            });
        }
        let limit = TransferLimit {
            max_pause_ms: self.limit_ms,
            min_bytes_per_s: MIN_ANSWER_BYTES_PER_S,
        };
        let answer = read_answer(response.into_body(), limit).await?;
        serde_json::from_slice(&answer).map_err(unreachable)
    }

    async fn send(&self, path: &str, body: Vec<u8>) -> Result<Response<Incoming>> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("{}/{path}", self.base))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(unreachable)?;
        self.client.request(request).await.map_err(unreachable)
    }

    async fn write(&self, request: WriteRequest, version: u64) -> Result<wire::WriteAnswer> {
        let body = wire::Write {
            key: request.key,
            value: request.value,
            version,
            ttl_ms: request.ttl_ms,
        };
        self.call("write", encode(&body), 0).await
    }
}

fn unreachable(error: impl std::fmt::Display) -> PlatformError {
    PlatformError::Unreachable {
        reason: error.to_string(),
    }
}

fn encode(body: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(body).unwrap_or_default()
}

impl Platform for HttpPlatform {
    fn get(&self, key: Arc<str>) -> BoxFuture<'_, Result<Option<Entry>>> {
        async move { self.call("get", encode(&wire::Get { key }), 0).await }.boxed()
    }

    fn create(&self, request: WriteRequest) -> BoxFuture<'_, Result<CreateOutcome>> {
        async move {
            let answer = self.write(request, 0).await?;
            Ok(match answer.standing {
                Some(entry) if !answer.written => CreateOutcome::Exists(entry),
                _ => CreateOutcome::Done,
            })
        }
        .boxed()
    }

    fn swap(&self, request: WriteRequest, version: u64) -> BoxFuture<'_, Result<SwapOutcome>> {
        async move {
            let answer = self.write(request, version).await?;
            Ok(if answer.written {
                SwapOutcome::Done
            } else {
                SwapOutcome::Conflict(answer.standing)
            })
        }
        .boxed()
    }

    fn range(&self, query: RangeQuery) -> BoxFuture<'_, Result<Vec<Entry>>> {
        async move {
            let wait_ms = query.wait_ms;
            let body = wire::Range {
                prefix: query.prefix,
                after: query.after,
                max_bytes: query.max_bytes,
                wait_ms,
            };
            self.call("range", encode(&body), wait_ms).await
        }
        .boxed()
    }

    fn instances(&self) -> BoxFuture<'_, Result<Vec<Member>>> {
        async move { self.call("instances", Vec::new(), 0).await }.boxed()
    }
}
