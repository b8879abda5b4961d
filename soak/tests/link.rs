//! Tests the effect of each link mode on a connection.

use std::net::SocketAddr;
use std::time::Duration;

use soak::Link;
use soak::Mode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Time limit for a link to carry a few bytes. No invariant depends on its value.
const ECHO_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a link that holds bytes is observed.
const OBSERVATION_TIME: Duration = Duration::from_millis(200);

/// Creates a link to an echo server.
async fn echo_link() -> Link {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await.expect("binds");
    let to = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                // Fails when the connection is reset, which ends the copy as well.
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    Link::bind(any, to).await.expect("binds")
}

async fn open(link: &Link) -> TcpStream {
    let mut stream = TcpStream::connect(link.address()).await.expect("connects");
    assert!(echoes(&mut stream, ECHO_TIMEOUT).await);
    stream
}

async fn echoes(stream: &mut TcpStream, limit: Duration) -> bool {
    if stream.write_all(b"x").await.is_err() {
        return false;
    }
    let mut byte = [0];
    let read = tokio::time::timeout(limit, stream.read_exact(&mut byte)).await;
    matches!(read, Ok(Ok(_)))
}

#[tokio::test]
async fn a_cut_holds_bytes_until_the_link_passes_them_through() {
    for mode in [Mode::CutThere, Mode::CutBack] {
        let link = echo_link().await;
        let mut stream = open(&link).await;
        link.set_mode(mode);
        assert!(!echoes(&mut stream, OBSERVATION_TIME).await, "{mode:?}");
        link.set_mode(Mode::PassThrough);
        let mut byte = [0];
        let late = tokio::time::timeout(ECHO_TIMEOUT, stream.read_exact(&mut byte)).await;
        assert!(matches!(late, Ok(Ok(_))), "{mode:?}");
    }
}

#[tokio::test]
async fn a_silent_connection_stays_silent_and_a_new_one_works() {
    let link = echo_link().await;
    let mut stream = open(&link).await;
    link.set_mode(Mode::Silence);
    assert!(!echoes(&mut stream, OBSERVATION_TIME).await);
    open(&link).await;
    link.set_mode(Mode::PassThrough);
    assert!(!echoes(&mut stream, OBSERVATION_TIME).await);
}

#[tokio::test]
async fn a_reset_ends_open_connections_only() {
    let link = echo_link().await;
    let mut stream = open(&link).await;
    link.set_mode(Mode::Reset);
    let mut byte = [0];
    let ended = tokio::time::timeout(ECHO_TIMEOUT, stream.read(&mut byte)).await;
    assert!(matches!(ended, Ok(Err(_) | Ok(0))));
    open(&link).await;
}

#[tokio::test]
async fn delays_and_slow_links_carry_bytes_late() {
    for mode in [Mode::Delay(OBSERVATION_TIME), Mode::Slow] {
        let link = echo_link().await;
        let mut stream = open(&link).await;
        link.set_mode(mode);
        let before = tokio::time::Instant::now();
        assert!(echoes(&mut stream, ECHO_TIMEOUT).await, "{mode:?}");
        assert!(before.elapsed() >= Duration::from_millis(50), "{mode:?}");
    }
}
