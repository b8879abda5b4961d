//! Accepts and serves callers' connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tower::ServiceBuilder;

use super::ProxyState;
use super::caller_connection::CallerConnection;
use super::caller_connection::CallerStream;
use super::caller_connection::WatchedConnection;
use super::check::CheckLayer;
use super::service::CallerService;

/// Time within which a caller must send the head of its next request, idle time included,
/// unless the configuration specifies a longer idle time of callers' connections.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Time added to the configured idle time, so that a request sent just before the idle time
/// ends is still read.
const IDLE_MARGIN: Duration = Duration::from_secs(5);
/// Ratio of the read buffer to the header size limit. The buffer is larger than the limit so that
/// oversized headers can be read and rejected with a result code.
const BUFFER_FACTOR: usize = 4;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts callers' connections until it is drained or dropped.
pub struct CallerListener {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

impl CallerListener {
    /// Listens on `address` and starts to accept connections.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn bind(address: SocketAddr, proxy_state: Arc<ProxyState>) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let task = tokio::spawn(accept(listener, proxy_state, stopped));
        Ok(Self {
            address,
            stop: Some(stop),
            task,
        })
    }

    /// The address the listener is bound to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits until all requests have ended.
    pub async fn drain(mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        let _ = (&mut self.task).await;
    }
}

impl Drop for CallerListener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn header_read_timeout(proxy_state: &ProxyState) -> Duration {
    let idle_ms = proxy_state.control.shared().idle_limit_ms();
    HEADER_READ_TIMEOUT.max(Duration::from_millis(idle_ms) + IDLE_MARGIN)
}

async fn accept(
    listener: TcpListener,
    proxy_state: Arc<ProxyState>,
    mut stopped: oneshot::Receiver<()>,
) {
    let graceful = GracefulShutdown::new();
    let connection_permits = Arc::new(Semaphore::new(proxy_state.limits.connections));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = &mut stopped => break,
        };
        let Ok((stream, caller)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(connection_permit) = connection_permits.clone().try_acquire_owned() else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let caller_connection = Arc::new(CallerConnection::new(proxy_state.body_memory.clone()));
        let stream = CallerStream::new(stream, caller_connection.clone());
        let service = ServiceBuilder::new()
            .layer(CheckLayer {
                header_bytes: proxy_state.limits.header_bytes,
                header_protocol: proxy_state.header_protocol.clone(),
            })
            .service(CallerService {
                proxy_state: proxy_state.clone(),
                caller: caller.ip(),
                connection: caller_connection.clone(),
            });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(header_read_timeout(&proxy_state))
            .max_buf_size(proxy_state.limits.header_bytes * BUFFER_FACTOR)
            .serve_connection(TokioIo::new(stream), TowerToHyperService::new(service));
        let served = graceful.watch(connection);
        let connection = WatchedConnection::new(served, caller_connection, proxy_state.clock);
        tokio::spawn(async move {
            connection.await;
            drop(connection_permit);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}
