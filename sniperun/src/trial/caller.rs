//! HTTP client that acts as a caller in a trial.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Sends requests to instances or directly to a backend server.
#[derive(Clone)]
pub(super) struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A request of a trial.
#[derive(Clone, Debug, Default)]
pub(super) struct TrialRequest {
    pub(super) path: String,
    pub(super) is_post: bool,
    pub(super) headers: Vec<(&'static str, String)>,
}

/// Response that the caller received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct TrialResponse {
    /// HTTP status; 0 if the response was not received completely.
    pub(super) status: u16,
    /// Value of the `sniperun-outcome` header; `cut` if the response was not received
    /// completely.
    pub(super) outcome: String,
    /// Length of the body.
    pub(super) bytes: usize,
    /// Value of the `echo` header, which a fake backend server copies from the request.
    pub(super) echo: String,
    /// Time from sending the request to the end of the response.
    pub(super) elapsed: Duration,
}

impl Caller {
    pub(super) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .build(connector),
        }
    }

    /// Sends a request and waits for the complete response.
    pub(super) async fn send(&self, to: SocketAddr, request: &TrialRequest) -> TrialResponse {
        let started = Instant::now();
        let response = self.exchange(to, request).await;
        let mut response = response.unwrap_or_else(|()| TrialResponse {
            status: 0,
            outcome: "cut".to_owned(),
            bytes: 0,
            echo: String::new(),
            elapsed: Duration::ZERO,
        });
        response.elapsed = started.elapsed();
        response
    }

    /// Requests a ticket from an instance; `None` if that fails.
    pub(super) async fn fetch_ticket(&self, instance: SocketAddr) -> Option<String> {
        let request = TrialRequest {
            path: "/sniperun/tickets".to_owned(),
            is_post: true,
            headers: Vec::new(),
        };
        let response = self
            .client
            .request(build_request(instance, &request)?)
            .await
            .ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        let value: serde_json::Value = serde_json::from_slice(&body).ok()?;
        value["ticket"].as_str().map(str::to_owned)
    }

    async fn exchange(&self, to: SocketAddr, request: &TrialRequest) -> Result<TrialResponse, ()> {
        let request = build_request(to, request).ok_or(())?;
        let response = self.client.request(request).await.map_err(|_| ())?;
        let status = response.status().as_u16();
        let header = |response: &Response<Incoming>, name: &str| {
            let value = response
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok());
            value.unwrap_or("").to_owned()
        };
        let outcome = header(&response, "sniperun-outcome");
        let echo = header(&response, "echo");
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|_| ())?
            .to_bytes();
        Ok(TrialResponse {
            status,
            outcome,
            bytes: body.len(),
            echo,
            elapsed: Duration::ZERO,
        })
    }
}

fn build_request(to: SocketAddr, request: &TrialRequest) -> Option<Request<Full<Bytes>>> {
    let method = if request.is_post {
        Method::POST
    } else {
        Method::GET
    };
    let mut builder = Request::builder()
        .method(method)
        .uri(format!("http://{to}{}", request.path));
    for (name, value) in &request.headers {
        builder = builder.header(*name, value);
    }
    builder.body(Full::new(Bytes::new())).ok()
}
