//! TCP proxy that injects network faults: delays, stalls, throttling and resets.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Bytes that a slow link forwards at once, and the pause before each such chunk.
const SLOW_BYTES: usize = 512;
const SLOW_PAUSE: Duration = Duration::from_millis(50);
/// `EMFILE`: the process has too many open files.
const EMFILE: i32 = 24;
/// Connections dropped because accepting failed or the soak test had no file descriptors left.
static DROPPED_CONNECTIONS: AtomicU64 = AtomicU64::new(0);
const BUFFER_BYTES: usize = 16 * 1024;

/// Effect of a link on its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Forwards bytes in both directions.
    #[default]
    PassThrough,
    /// Delays bytes by a fixed time.
    Delay(Duration),
    /// Holds bytes towards the server until the mode changes.
    CutThere,
    /// Holds bytes towards the client until the mode changes.
    CutBack,
    /// Stalls open connections permanently; new connections work.
    Silence,
    /// Forwards few bytes at a time.
    Slow,
    /// Resets open connections; new connections work.
    Reset,
}

/// TCP proxy. Stops accepting and closes its connections when dropped.
pub struct Link {
    address: SocketAddr,
    mode: Arc<watch::Sender<Mode>>,
    task: JoinHandle<()>,
}

impl Link {
    /// Listens on `from` and forwards connections to `to`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn bind(from: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(from).await?;
        let address = listener.local_addr()?;
        let mode = Arc::new(watch::Sender::new(Mode::PassThrough));
        let modes = mode.clone();
        let task = tokio::spawn(async move {
            loop {
                let client = match listener.accept().await {
                    Ok((client, _)) => client,
                    Err(error) => {
                        eprintln!("soak: link failed to accept a connection: {error}");
                        DROPPED_CONNECTIONS.fetch_add(1, Ordering::Relaxed);
                        tokio::time::sleep(SLOW_PAUSE).await;
                        continue;
                    }
                };
                let modes = modes.subscribe();
                tokio::spawn(async move {
                    match TcpStream::connect(to).await {
                        Ok(server) => relay(client, server, modes).await,
                        Err(error) if error.raw_os_error() == Some(EMFILE) => {
                            DROPPED_CONNECTIONS.fetch_add(1, Ordering::Relaxed);
                        }
                        // If the server is unreachable, the client sees a reset.
                        Err(_) => drop(client.set_zero_linger()),
                    }
                });
            }
        });
        Ok(Self {
            address,
            mode,
            task,
        })
    }

    /// Returns the number of connections that links of this process dropped for lack of
    /// resources. A run with such a drop gives no valid result about the instances.
    pub fn dropped_connections() -> u64 {
        DROPPED_CONNECTIONS.load(Ordering::Relaxed)
    }

    /// Returns the address at which the link accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the mode.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Forwards both directions until both have ended or the link resets its connections.
async fn relay(client: TcpStream, server: TcpStream, modes: watch::Receiver<Mode>) {
    let mut resets = modes.clone();
    resets.mark_unchanged();
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let forward = relay_direction(client_read, server_write, modes.clone(), Mode::CutThere);
    let backward = relay_direction(server_read, client_write, modes, Mode::CutBack);
    let both = async { tokio::join!(forward, backward) };
    tokio::select! {
        _ = both => {}
        () = wait_for_reset(&mut resets) => {}
    }
}

/// Waits until the mode becomes [`Mode::Reset`] or the link is dropped.
async fn wait_for_reset(modes: &mut watch::Receiver<Mode>) {
    while modes.changed().await.is_ok() {
        if *modes.borrow() == Mode::Reset {
            return;
        }
    }
}

/// Forwards one direction. `blocking_mode` is the mode in which its bytes are held.
async fn relay_direction(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut modes: watch::Receiver<Mode>,
    blocking_mode: Mode,
) {
    modes.mark_unchanged();
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let max_bytes = match *modes.borrow() {
            Mode::Slow => SLOW_BYTES,
            _ => BUFFER_BYTES,
        };
        let Ok(read) = from.read(&mut buffer[..max_bytes]).await else {
            return;
        };
        if !wait_for_mode(&mut modes, blocking_mode).await {
            return std::future::pending().await;
        }
        // Forwards the end of the stream; the other direction stays open.
        let written = match read {
            0 => to.shutdown().await,
            _ => to.write_all(&buffer[..read]).await,
        };
        if read == 0 || written.is_err() {
            return;
        }
    }
}

/// Waits as the mode requires. Returns false if the connection must stay stalled.
async fn wait_for_mode(modes: &mut watch::Receiver<Mode>, blocking_mode: Mode) -> bool {
    loop {
        // `Silence` affects only connections that were open when it began.
        let changed = modes.has_changed().unwrap_or(false);
        let mode = *modes.borrow();
        match mode {
            Mode::Silence if changed => return false,
            Mode::Delay(time) => tokio::time::sleep(time).await,
            Mode::Slow => tokio::time::sleep(SLOW_PAUSE).await,
            mode if mode == blocking_mode => {
                if modes.changed().await.is_err() {
                    return false;
                }
                continue;
            }
            _ => {}
        }
        return true;
    }
}
