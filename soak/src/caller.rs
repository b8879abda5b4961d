//! A caller that keeps its connection until the instance ends it.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standin::users::wire::Frame;
use standin::users::wire::read_frame;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::End;
use super::Kind;
use super::Request;
use crate::scene::Scene;

/// Time that a caller gives a request, in milliseconds.
const TIME_LIMIT_MS: u64 = 8_000;
/// Time after which it gives up.
const PATIENCE: Duration = Duration::from_millis(TIME_LIMIT_MS);
const PAUSE_MS: std::ops::Range<u64> = 20..120;
/// Pause before another connection where one could not be made.
const RETRY: Duration = Duration::from_millis(100);
const BODY_BYTES: std::ops::Range<usize> = 0..3_000;

struct Connection {
    stream: TcpStream,
    instance: usize,
    bytes: Vec<u8>,
}

/// Sends requests until the scene is over.
pub(crate) async fn call(scene: Arc<Scene>, number: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(number);
    let mut connection: Option<Connection> = None;
    let mut sent = 0_u64;
    while !scene.is_over() {
        let instance = match &connection {
            Some(open) => open.instance,
            None => scene.pick_instance(&mut rng),
        };
        sent += 1;
        let mut request = Request {
            id: format!("{number:04x}{sent:012x}").into(),
            kind: draw_kind(&mut rng),
            instance,
            sent_ms: scene.now_ms(),
            ended_ms: 0,
            end: End::NotSent,
        };
        let body = "b".repeat(rng.random_range(BODY_BYTES));
        let exchange = exchange(&scene, &mut connection, &mut request, &body);
        request.end = match tokio::time::timeout(PATIENCE, exchange).await {
            Ok(end) => end,
            Err(_) => End::Unanswered,
        };
        request.ended_ms = scene.now_ms();
        let keeps = matches!(request.end, End::Answered { .. });
        if !keeps {
            connection = None;
            tokio::time::sleep(RETRY).await;
        }
        scene.tell(request);
        let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
        tokio::time::sleep(pause).await;
    }
}

fn draw_kind(rng: &mut ChaCha8Rng) -> Kind {
    match rng.random_range(0..10) {
        0..4 => Kind::Read,
        4..8 => Kind::Command,
        _ => Kind::Moved,
    }
}

async fn exchange(
    scene: &Scene,
    connection: &mut Option<Connection>,
    request: &mut Request,
    body: &str,
) -> End {
    let mut open = match connection.take() {
        Some(open) => open,
        None => match TcpStream::connect(scene.callers_address(request.instance)).await {
            Ok(stream) => Connection {
                stream,
                instance: request.instance,
                bytes: Vec::new(),
            },
            Err(_) => return End::NotSent,
        },
    };
    let text = text(request, body);
    if open.stream.write_all(text.as_bytes()).await.is_err() {
        return End::Cut;
    }
    request.sent_ms = scene.now_ms();
    match read_answer(&mut open).await {
        Ok(Some(frame)) => {
            *connection = Some(open);
            judge(request, &frame)
        }
        _ => End::Cut,
    }
}

fn text(request: &Request, body: &str) -> String {
    let (method, path) = match request.kind {
        Kind::Read => ("GET", "/read/x"),
        Kind::Command => ("POST", "/command/x"),
        Kind::Moved => ("GET", "/moved/x"),
    };
    Frame::request(method, path, &request.id, TIME_LIMIT_MS, body)
}

async fn read_answer(open: &mut Connection) -> io::Result<Option<Frame>> {
    read_frame(&mut open.stream, &mut open.bytes).await
}

/// Whether an answer is a target's own answer to this request.
fn judge(request: &Request, frame: &Frame) -> End {
    let status = frame.head.split(' ').nth(1);
    let status = status.and_then(|text| text.parse().ok()).unwrap_or(0);
    let body = String::from_utf8_lossy(&frame.body);
    let target = body.strip_prefix(&format!("ran {} at ", request.id));
    End::Answered {
        status,
        target: target.map(Arc::from),
        proven: target.is_some() && frame.is_marked_for(&request.id),
    }
}
