//! A network link of limited bandwidth in front of a server.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::time::Instant;

/// Bytes that are forwarded at once.
const PART_BYTES: usize = 16 * 1_024;

#[derive(Debug)]
struct Bandwidth {
    bytes_per_s: f64,
    /// Time from which the link is free.
    free_from: Mutex<Instant>,
    forwarded_bytes: AtomicU64,
    /// Number of forwarded bytes from which on nothing more gets through.
    silent_after_bytes: AtomicU64,
}

impl Bandwidth {
    /// Waits until `count` bytes have passed.
    async fn pass(&self, count: usize) {
        let until = {
            let mut free_from = self.free_from.lock();
            let start = (*free_from).max(Instant::now());
            *free_from = start + Duration::from_secs_f64(count as f64 / self.bytes_per_s);
            *free_from
        };
        tokio::time::sleep_until(until).await;
        let forwarded = self
            .forwarded_bytes
            .fetch_add(count as u64, Ordering::Relaxed);
        if forwarded >= self.silent_after_bytes.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }
}

/// A link whose connections share its bandwidth for what the server sends. What it receives passes at
/// once.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    bandwidth: Arc<Bandwidth>,
    is_refusing: watch::Sender<bool>,
}

impl Link {
    /// Starts a link to the server at `to`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding an address.
    pub async fn start(to: SocketAddr, bytes_per_s: f64) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let bandwidth = Arc::new(Bandwidth {
            bytes_per_s,
            free_from: Mutex::new(Instant::now()),
            forwarded_bytes: AtomicU64::new(0),
            silent_after_bytes: AtomicU64::new(u64::MAX),
        });
        let shared = bandwidth.clone();
        let (is_refusing, refusing) = watch::channel(false);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let mut refusing = refusing.clone();
                if *refusing.borrow() {
                    continue;
                }
                let Ok(far) = TcpStream::connect(to).await else {
                    continue;
                };
                let (near_read, near_write) = near.into_split();
                let (far_read, far_write) = far.into_split();
                let bandwidth = Some(shared.clone());
                tokio::spawn(async move {
                    tokio::select! {
                        _ = futures::future::join(
                            forward(near_read, far_write, None),
                            forward(far_read, near_write, bandwidth),
                        ) => {}
                        _ = refusing.wait_for(|is_refusing| *is_refusing) => {}
                    }
                });
            }
        });
        Ok(Self {
            address,
            bandwidth,
            is_refusing,
        })
    }

    /// Address at which the server is reached over the link.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes that the server has sent over the link so far.
    pub fn forwarded_bytes(&self) -> u64 {
        self.bandwidth.forwarded_bytes.load(Ordering::Relaxed)
    }

    /// Sets whether the link ends all connections and takes no others.
    pub fn set_refusing(&self, is_refusing: bool) {
        self.is_refusing.send_replace(is_refusing);
    }

    /// Lets nothing through any more, without an end of the connections, once the server has sent
    /// `bytes` in all.
    pub fn silence_after(&self, bytes: u64) {
        let silent_after_bytes = &self.bandwidth.silent_after_bytes;
        silent_after_bytes.store(bytes, Ordering::Relaxed);
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    bandwidth: Option<Arc<Bandwidth>>,
) {
    let mut part = vec![0; PART_BYTES];
    while let Ok(count @ 1..) = from.read(&mut part).await {
        if let Some(bandwidth) = &bandwidth {
            bandwidth.pass(count).await;
        }
        if to.write_all(&part[..count]).await.is_err() {
            return;
        }
    }
}
