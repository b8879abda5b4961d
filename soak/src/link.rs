//! A proxy in a connection, which harms it.

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

/// Bytes that a slow link carries in one step, and the pause after it.
const SLOW_BYTES: usize = 512;
const SLOW_PAUSE: Duration = Duration::from_millis(50);
/// `EMFILE`: the process has too many open files.
const NO_FILES: i32 = 24;
/// Connections that links did not take for want of the soak's own means.
static NOT_TAKEN: AtomicU64 = AtomicU64::new(0);
const BUFFER_BYTES: usize = 16 * 1024;

/// What a link does to its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// It carries bytes both ways.
    #[default]
    Calm,
    /// Bytes wait.
    Delay(Duration),
    /// Nothing comes through to the one that accepts, until it is calm.
    CutThere,
    /// Nothing comes back, until it is calm.
    CutBack,
    /// Connections that are open now stay silent for good; new ones work.
    Silence,
    /// Few bytes at a time.
    Slow,
    /// Connections that are open now are reset; new ones work.
    Reset,
}

/// A proxy; it stops when dropped, its connections with it.
pub struct Link {
    address: SocketAddr,
    mode: Arc<watch::Sender<Mode>>,
    task: JoinHandle<()>,
}

impl Link {
    /// Carries connections from a free port at `from` to `to`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn bind(from: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(from).await?;
        let address = listener.local_addr()?;
        let mode = Arc::new(watch::Sender::new(Mode::Calm));
        let modes = mode.clone();
        let task = tokio::spawn(async move {
            loop {
                let near = match listener.accept().await {
                    Ok((near, _)) => near,
                    Err(error) => {
                        eprintln!("soak: a link takes no connection: {error}");
                        NOT_TAKEN.fetch_add(1, Ordering::Relaxed);
                        tokio::time::sleep(SLOW_PAUSE).await;
                        continue;
                    }
                };
                let modes = modes.subscribe();
                tokio::spawn(async move {
                    match TcpStream::connect(to).await {
                        Ok(far) => carry(near, far, modes).await,
                        Err(error) if error.raw_os_error() == Some(NO_FILES) => {
                            NOT_TAKEN.fetch_add(1, Ordering::Relaxed);
                        }
                        // A connection that cannot be made is refused by a reset.
                        Err(_) => drop(near.set_zero_linger()),
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

    /// Connections that no link took as this process lacked the means; a run that met
    /// one says nothing of the instances.
    pub fn not_taken() -> u64 {
        NOT_TAKEN.load(Ordering::Relaxed)
    }

    /// Where it accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what it does from now on.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Carries both directions; ends when both have, or by a reset.
async fn carry(near: TcpStream, far: TcpStream, modes: watch::Receiver<Mode>) {
    let mut resets = modes.clone();
    resets.mark_unchanged();
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = pump(near_read, far_write, modes.clone(), Mode::CutThere);
    let back = pump(far_read, near_write, modes, Mode::CutBack);
    let both = async { tokio::join!(there, back) };
    tokio::select! {
        _ = both => {}
        () = reset(&mut resets) => {}
    }
}

/// Ends when the link is told to reset, or is gone.
async fn reset(modes: &mut watch::Receiver<Mode>) {
    while modes.changed().await.is_ok() {
        if *modes.borrow() == Mode::Reset {
            return;
        }
    }
}

/// Carries one direction, which `cut` stops.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut modes: watch::Receiver<Mode>,
    cut: Mode,
) {
    modes.mark_unchanged();
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let most = match *modes.borrow() {
            Mode::Slow => SLOW_BYTES,
            _ => BUFFER_BYTES,
        };
        let Ok(read) = from.read(&mut buffer[..most]).await else {
            return;
        };
        if !pass(&mut modes, cut).await {
            return std::future::pending().await;
        }
        // The end of one direction is passed on; the other may go on.
        let passed = match read {
            0 => to.shutdown().await,
            _ => to.write_all(&buffer[..read]).await,
        };
        if read == 0 || passed.is_err() {
            return;
        }
    }
}

/// Waits as the mode asks; false if the connection stays silent for good.
async fn pass(modes: &mut watch::Receiver<Mode>, cut: Mode) -> bool {
    loop {
        // A silence concerns the connections that were open when it began.
        let changed = modes.has_changed().unwrap_or(false);
        let mode = *modes.borrow();
        match mode {
            Mode::Silence if changed => return false,
            Mode::Delay(time) => tokio::time::sleep(time).await,
            Mode::Slow => tokio::time::sleep(SLOW_PAUSE).await,
            mode if mode == cut => {
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
