//! Administrative HTTP server: `/live`, `/ready`, `/metrics` and `/status`.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

use crate::Clock;
use crate::control::ControlHandle;
use crate::metrics::Gauges;
use crate::metrics::Metrics;

/// Open connections at the administrative address; further ones are closed at once.
const MAX_CONNECTIONS: usize = 64;
/// Delay after a failed accept: a tenth of the load balancer's probe period.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Administrative server, which runs until it is dropped.
pub struct Admin {
    address: SocketAddr,
    task: JoinHandle<()>,
}

/// State that request handlers read.
#[derive(Clone)]
struct AdminContext {
    ready_path: &'static str,
    control: ControlHandle,
    metrics: Arc<Metrics>,
    clock: Clock,
}

impl Admin {
    /// Binds `address` and serves on it, with the readiness check at `ready_path`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn bind(
        address: SocketAddr,
        ready_path: &'static str,
        control: &ControlHandle,
        metrics: &Arc<Metrics>,
        clock: Clock,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let context = AdminContext {
            ready_path,
            control: control.clone(),
            metrics: metrics.clone(),
            clock,
        };
        let connection_permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        let task = tokio::spawn(async move {
            loop {
                let (stream, _) = match listener.accept().await {
                    Ok(accepted) => accepted,
                    Err(error) => {
                        // For example, too many open files; the load balancer repeats its probe.
                        log::warn!("event=admin-accept-failed reason=\"{error}\"");
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                        continue;
                    }
                };
                let Ok(connection_permit) = connection_permits.clone().try_acquire_owned() else {
                    continue;
                };
                let context = context.clone();
                let service = service_fn(move |request| handle_request(context.clone(), request));
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::spawn(async move {
                    let _ = connection.await;
                    drop(connection_permit);
                });
            }
        });
        Ok(Self { address, task })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Admin {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn handle_request(
    context: AdminContext,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (status, text) = match request.uri().path() {
        "/live" => (StatusCode::OK, "live\n".to_owned()),
        path if path == context.ready_path => readiness(&context),
        "/metrics" => (StatusCode::OK, render_metrics(&context)),
        "/status" => match context.control.status().await {
            Some(status) => (
                StatusCode::OK,
                serde_json::to_string(&status).unwrap_or_default(),
            ),
            None => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        },
        _ => (
            StatusCode::NOT_FOUND,
            "expected /live, /ready, /metrics or /status\n".to_owned(),
        ),
    };
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    Ok(response)
}

fn render_metrics(context: &AdminContext) -> String {
    let table = context.control.shared().table();
    let mut gauges = Gauges::default();
    gauges.add_process();
    gauges.add_services(context.clock.now_us(), &table);
    let quarantine = context.control.shared().quarantine();
    gauges.add_quarantine(context.clock.now_us(), quarantine);
    gauges.add_quotas(context.control.shared().quota_gate());
    context.metrics.text(&gauges.into_text())
}

fn readiness(context: &AdminContext) -> (StatusCode, String) {
    let table = context.control.shared().table();
    if table.ready && !table.draining {
        (StatusCode::OK, "ready\n".to_owned())
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
    }
}
