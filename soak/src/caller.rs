//! Caller that reuses its connection until the instance closes it or a request receives no
//! complete response.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standin::users::wire::RawMessage;
use standin::users::wire::header;
use standin::users::wire::read_message;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::Request;
use super::RequestEnd;
use super::RequestKind;
use crate::testbed::CUSTOMERS;
use crate::testbed::GUEST;
use crate::testbed::Testbed;
use crate::testbed::key_of;

/// Time limit that a caller sends with a request.
const TIME_LIMIT_MS: u64 = 8_000;
/// Time after which a caller gives up on a request.
const CALLER_TIMEOUT: Duration = Duration::from_millis(TIME_LIMIT_MS);
const PAUSE_MS: std::ops::Range<u64> = 20..120;
/// Pause before reconnecting after a request that received no complete response.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Customer that every caller pretends to be.
const ASSUMED_CUSTOMER: &str = "admin";
const BODY_BYTES: std::ops::Range<usize> = 0..3_000;

struct Connection {
    stream: TcpStream,
    instance: usize,
    bytes: Vec<u8>,
}

/// Sends requests until the run is finished.
pub(crate) async fn run_caller(testbed: Arc<Testbed>, number: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(number);
    let mut connection: Option<Connection> = None;
    let mut sent = 0_u64;
    while !testbed.is_finished() {
        let instance = match &connection {
            Some(open) => open.instance,
            None => testbed.pick_instance(&mut rng),
        };
        sent += 1;
        let kind = draw_kind(&mut rng);
        let customer = match kind {
            RequestKind::Guest => Some(GUEST),
            RequestKind::Stranger => None,
            _ => Some(CUSTOMERS[number as usize % CUSTOMERS.len()]),
        };
        let mut request = Request {
            id: format!("{number:04x}{sent:012x}").into(),
            kind,
            customer: customer.map(Arc::from),
            instance,
            sent_ms: testbed.now_ms(),
            ended_ms: 0,
            end: RequestEnd::NotSent,
        };
        let body = "b".repeat(rng.random_range(BODY_BYTES));
        let exchange = exchange(&testbed, &mut connection, &mut request, &body);
        request.end = match tokio::time::timeout(CALLER_TIMEOUT, exchange).await {
            Ok(end) => end,
            Err(_) => RequestEnd::Unanswered,
        };
        request.ended_ms = testbed.now_ms();
        let is_reusable = matches!(request.end, RequestEnd::Answered { .. });
        if !is_reusable {
            connection = None;
            tokio::time::sleep(RECONNECT_DELAY).await;
        }
        testbed.record_request(request);
        let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
        tokio::time::sleep(pause).await;
    }
}

fn draw_kind(rng: &mut ChaCha8Rng) -> RequestKind {
    match rng.random_range(0..48) {
        0..15 => RequestKind::Read,
        15..30 => RequestKind::Command,
        30..38 => RequestKind::MovingRoute,
        38..46 => RequestKind::Order,
        46 => RequestKind::Guest,
        _ => RequestKind::Stranger,
    }
}

async fn exchange(
    testbed: &Testbed,
    connection: &mut Option<Connection>,
    request: &mut Request,
    body: &str,
) -> RequestEnd {
    let mut open = match connection.take() {
        Some(open) => open,
        None => match TcpStream::connect(testbed.caller_link_address(request.instance)).await {
            Ok(stream) => Connection {
                stream,
                instance: request.instance,
                bytes: Vec::new(),
            },
            Err(_) => return RequestEnd::NotSent,
        },
    };
    let text = encode_request(request, body);
    if open.stream.write_all(text.as_bytes()).await.is_err() {
        return RequestEnd::Cut;
    }
    request.sent_ms = testbed.now_ms();
    match read_response(&mut open).await {
        Ok(Some(message)) => {
            *connection = Some(open);
            classify(request, &message)
        }
        _ => RequestEnd::Cut,
    }
}

fn encode_request(request: &Request, body: &str) -> String {
    let (method, path) = match request.kind {
        RequestKind::Read | RequestKind::Guest | RequestKind::Stranger => ("GET", "/read/x"),
        RequestKind::Command => ("POST", "/command/x"),
        RequestKind::MovingRoute => ("GET", "/moved/x"),
        RequestKind::Order => ("POST", "/moved/order/x"),
    };
    let text = RawMessage::request(method, path, &request.id, TIME_LIMIT_MS, body);
    let key = key_of(request.customer.as_deref().unwrap_or("nobody"));
    // The customer that a caller names itself must not reach a target.
    let lines = format!("\r\nx-key: {key}\r\nx-tenant: {ASSUMED_CUSTOMER}\r\n\r\n");
    text.replacen("\r\n\r\n", &lines, 1)
}

async fn read_response(open: &mut Connection) -> io::Result<Option<RawMessage>> {
    read_message(&mut open.stream, &mut open.bytes).await
}

/// Classifies a response, and checks whether its id, body and signature prove that a target
/// sent it for this request.
fn classify(request: &Request, message: &RawMessage) -> RequestEnd {
    let status = message.head.split(' ').nth(1);
    let status = status.and_then(|text| text.parse().ok()).unwrap_or(0);
    let body = String::from_utf8_lossy(&message.body);
    let target = body.strip_prefix(&format!("ran {} at ", request.id));
    RequestEnd::Answered {
        status,
        target: target.map(Arc::from),
        is_leaving: header(&message.head, "server-leaving").is_some(),
        proven: target.is_some() && message.is_signed_response_to(&request.id),
    }
}
