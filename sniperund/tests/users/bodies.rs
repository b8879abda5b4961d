//! Bodies of requests that are long, slow, cut short, or read by nobody.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use standin::TargetScript;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::body_target::BodyTarget;
use crate::body_target::Reading;
use crate::body_target::start;
use crate::deployment::wait_until;

const LONG_TIMEOUT: Duration = Duration::from_secs(12);
const SHORT_TIMEOUT: Duration = Duration::from_secs(3);
const MIB: usize = 1 << 20;
/// Memory of the users' smallest machines.
const SMALL_MEMORY_MB: u64 = 160;
/// Half of it.
const MAX_MEMORY_BYTES: u64 = 80 << 20;

fn head(id: &str, fields: &str) -> String {
    format!(
        "POST /upload/a HTTP/1.1\r\nhost: a.example\r\nx-attempt-id: {id}\r\nx-deadline-ms: 15000\r\n{fields}\r\n\r\n"
    )
}

async fn connect(address: SocketAddr, id: &str, fields: &str) -> TcpStream {
    let mut caller = TcpStream::connect(address).await.expect("not connected");
    let sent = caller.write_all(head(id, fields).as_bytes()).await;
    sent.expect("failed to send the head");
    caller
}

/// Reads until `text` was received or the connection has ended; returns what was read.
async fn read_until(caller: &mut TcpStream, text: &str) -> String {
    let mut received = String::new();
    let mut buffer = [0; 4_096];
    while !received.contains(text) {
        match caller.read(&mut buffer).await {
            Ok(count @ 1..) => received.push_str(&String::from_utf8_lossy(&buffer[..count])),
            _ => break,
        }
    }
    received
}

/// Sends a body of `length` bytes and returns the response.
async fn upload(address: SocketAddr, id: &str, length: usize) -> String {
    let mut caller = connect(address, id, &format!("content-length: {length}")).await;
    let (mut reader, mut writer) = caller.split();
    let send = async {
        let part = vec![b'o'; length.clamp(1, MIB)];
        let mut left = length;
        while left > 0
            && writer
                .write_all(&part[..left.min(part.len())])
                .await
                .is_ok()
        {
            left -= left.min(part.len());
        }
        std::future::pending::<()>().await
    };
    let read = async {
        let mut received = String::new();
        let mut buffer = [0; 4_096];
        while !received.contains("\r\n\r\n") {
            match reader.read(&mut buffer).await {
                Ok(count @ 1..) => received.push_str(&String::from_utf8_lossy(&buffer[..count])),
                _ => break,
            }
        }
        received
    };
    tokio::select! {
        received = read => received,
        () = send => unreachable!("the sender never ends"),
    }
}

/// Guards against a request that is lost as its target pauses while it reads a long body.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_pauses_while_it_reads_a_long_body_serves_the_request() {
    let target = BodyTarget::start(Reading::After(Duration::from_secs(5))).await;
    let deployment = start(&[("uploads", &target)], SMALL_MEMORY_MB, LONG_TIMEOUT).await;
    let address = deployment.instances[0].caller_address();
    let (long, longer) = tokio::join!(
        upload(address, "1a01", MIB),
        upload(address, "1a02", 6 * MIB)
    );
    assert!(long.starts_with("HTTP/1.1 200"), "{long}");
    assert!(longer.starts_with("HTTP/1.1 200"), "{longer}");
    assert!(target.bodies().iter().all(|body| body.is_whole));
}

/// Guards against a connection that is closed, or used for another request, while the rest of a body
/// is being sent after an early response.
#[tokio::test(flavor = "multi_thread")]
async fn the_rest_of_a_body_is_sent_after_an_early_response() {
    let target = BodyTarget::start(Reading::Over(Duration::from_secs(4))).await;
    let deployment = start(&[("uploads", &target)], SMALL_MEMORY_MB, SHORT_TIMEOUT).await;
    let address = deployment.instances[0].caller_address();
    let mut caller = connect(address, "2a01", &format!("content-length: {}", 6 * MIB)).await;
    let (mut reader, mut writer) = caller.split();
    let body = vec![b'o'; 6 * MIB];
    let send = async {
        writer
            .write_all(&body)
            .await
            .expect("the body was not taken")
    };
    let read = async {
        let mut buffer = [0; 4_096];
        let count = reader.read(&mut buffer).await;
        assert!(buffer[..count.expect("no response")].starts_with(b"HTTP/1.1 200"));
        let second = upload(address, "2a02", MIB).await;
        assert!(second.starts_with("HTTP/1.1 200"), "{second}");
    };
    tokio::join!(send, read);
    wait_until("the whole body to be read", async || {
        target.bodies()[0].is_whole
    })
    .await;
    let bodies = target.bodies();
    assert_eq!(bodies[0].bytes, 6 * MIB);
    assert_eq!(bodies[1].id, "2a02");
    assert_ne!(bodies[0].connection, bodies[1].connection, "{bodies:?}");
}

/// Guards against an upload that stops half way and never ends, or is reported as not run though a
/// target has got a part of it.
#[tokio::test(flavor = "multi_thread")]
async fn an_upload_that_stops_half_way_ends_at_the_time_limit_with_an_unknown_outcome() {
    let targets = [
        BodyTarget::start(Reading::After(Duration::ZERO)).await,
        BodyTarget::start(Reading::After(Duration::ZERO)).await,
    ];
    let deployment = start(
        &[("uploads", &targets[0]), ("uploads", &targets[1])],
        SMALL_MEMORY_MB,
        SHORT_TIMEOUT,
    )
    .await;
    let instance = &deployment.instances[0];
    let fields = format!("content-length: {MIB}");
    let mut caller = connect(instance.caller_address(), "3a01", &fields).await;
    let sent = caller.write_all(&vec![b'o'; MIB / 2]).await;
    sent.expect("failed to send half of the body");
    let began = Instant::now();
    let response = read_until(&mut caller, "\r\n\r\n").await;
    assert!(response.starts_with("HTTP/1.1 504"), "{response}");
    assert!(began.elapsed() < SHORT_TIMEOUT * 2, "{:?}", began.elapsed());
    instance.wait_for_log("event=request-failed id=3a01").await;
    let log = instance.read_log();
    let line = log
        .lines()
        .find(|line| line.contains("event=request-failed id=3a01"));
    let line = line.expect("the end of the request is not logged");
    assert!(line.contains("outcome=unknown"), "{line}");
    // A caller that closes its connection in the middle sends less than it has declared.
    let mut caller = connect(instance.caller_address(), "3a02", &fields).await;
    let _ = caller.write_all(&vec![b'o'; MIB / 4]).await;
    drop(caller);
    wait_until("the second request to reach a target", async || {
        targets.iter().flat_map(BodyTarget::bodies).count() == 2
    })
    .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let bodies: Vec<_> = targets.iter().flat_map(BodyTarget::bodies).collect();
    assert_eq!(bodies.len(), 2, "sent again: {bodies:?}");
    assert!(bodies.iter().all(|body| !body.is_whole), "{bodies:?}");
}

/// Guards against uploads without a length, whose caller waits for the word to go on, and against
/// those of the largest allowed size.
#[tokio::test(flavor = "multi_thread")]
async fn uploads_in_chunks_after_expect_continue_and_of_64_mb_come_whole() {
    let target = BodyTarget::start(Reading::After(Duration::ZERO)).await;
    let deployment = start(&[("uploads", &target)], SMALL_MEMORY_MB, LONG_TIMEOUT).await;
    let instance = &deployment.instances[0];
    let fields = "transfer-encoding: chunked\r\nexpect: 100-continue";
    let mut caller = connect(instance.caller_address(), "4a01", fields).await;
    let interim = read_until(&mut caller, "\r\n\r\n").await;
    assert!(interim.starts_with("HTTP/1.1 100"), "{interim}");
    let mut chunk = format!("{:x}\r\n", 64 << 10).into_bytes();
    chunk.extend_from_slice(&vec![b'o'; 64 << 10]);
    chunk.extend_from_slice(b"\r\n");
    for _ in 0..16 {
        caller
            .write_all(&chunk)
            .await
            .expect("failed to send a chunk");
    }
    caller
        .write_all(b"0\r\n\r\n")
        .await
        .expect("failed to send the end");
    let response = read_until(&mut caller, "\r\n\r\n").await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let response = upload(instance.caller_address(), "4a02", 64 * MIB).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let bodies = target.bodies();
    assert!(bodies[0].bytes >= MIB, "{bodies:?}");
    assert_eq!(bodies[1].bytes, 64 * MIB);
    let memory_bytes = instance.peak_memory_bytes();
    assert!(memory_bytes < MAX_MEMORY_BYTES, "{memory_bytes}");
}

/// Guards against an instance that is killed as it holds too many bodies, and against refusals of
/// small ones when large ones have used up the memory.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_does_not_fit_is_refused_at_once_and_small_ones_go_on() {
    let target = BodyTarget::start(Reading::Never).await;
    let deployment = start(&[("uploads", &target)], 8, SHORT_TIMEOUT).await;
    let instance = &deployment.instances[0];
    let address = instance.caller_address();
    // The budget is 2 MB.
    let uploads = (0..60).map(|number| {
        let id = format!("5a{number:02}");
        tokio::spawn(async move { upload(address, &id, 60_000).await })
    });
    let uploads: Vec<_> = uploads.collect();
    instance.wait_for_log("event=body-memory-full").await;
    let small = RequestTo {
        address,
        length: 100,
    }
    .send("5b01")
    .await;
    assert!(small.starts_with("HTTP/1.1 200"), "{small}");
    let mut refused = 0;
    for upload in uploads {
        let response = upload.await.expect("a caller failed");
        if !response.starts_with("HTTP/1.1 504") {
            assert!(response.starts_with("HTTP/1.1 503"), "{response}");
            assert!(response.contains("sniperun-code: 211"), "{response}");
            assert!(response.contains("retry-after"), "{response}");
            refused += 1;
        }
    }
    assert!((20..50).contains(&refused), "{refused}");
    assert_eq!(target.bodies().len(), 60 - refused);
    let metrics = instance.metrics().await;
    let counted = format!("sniperun_body_memory_refusals_total {refused}");
    assert!(metrics.contains(&counted), "{metrics}");
    assert!(
        metrics.contains("sniperun_body_memory_held_bytes 0\n"),
        "{metrics}"
    );
}

/// A command with a body to the targets that serve it.
struct RequestTo {
    address: SocketAddr,
    length: usize,
}

impl RequestTo {
    async fn send(&self, id: &str) -> String {
        let mut caller = TcpStream::connect(self.address)
            .await
            .expect("not connected");
        let text = head(id, &format!("content-length: {}", self.length));
        let text = text.replace("/upload/", "/command/") + &"o".repeat(self.length);
        let sent = caller.write_all(text.as_bytes()).await;
        sent.expect("failed to send the request");
        read_until(&mut caller, "\r\n\r\n").await
    }
}

const SLOW_PEERS: usize = 200;
/// Length of a body that is streamed, and of which 200 fit within the bound of 8 MB of two targets.
const UNREAD_BODY_BYTES: usize = 80_000;

/// Guards against callers and targets that read nothing, whose bodies fill the memory of an instance
/// and keep it from serving others.
#[tokio::test(flavor = "multi_thread")]
async fn callers_and_targets_that_read_nothing_take_little_memory() {
    let targets = [
        BodyTarget::start(Reading::Never).await,
        BodyTarget::start(Reading::Never).await,
    ];
    let endless = BodyTarget::start(Reading::Endless).await;
    let deployment = start(
        &[
            ("uploads", &targets[0]),
            ("uploads", &targets[1]),
            ("reads", &endless),
        ],
        SMALL_MEMORY_MB,
        LONG_TIMEOUT,
    )
    .await;
    let instance = &deployment.instances[0];
    let address = instance.caller_address();
    for target in &deployment.targets[..2] {
        target.set_script(TargetScript::Hangs);
    }
    let mut readers = Vec::new();
    for number in 0..SLOW_PEERS {
        let mut caller = TcpStream::connect(address).await.expect("not connected");
        let text = format!(
            "GET /read/a HTTP/1.1\r\nhost: a.example\r\nx-attempt-id: 6a{number:03}\r\nx-deadline-ms: 8000\r\n\r\n"
        );
        let sent = caller.write_all(text.as_bytes()).await;
        sent.expect("failed to send the request");
        readers.push(caller);
    }
    let uploads = (0..SLOW_PEERS).map(|number| {
        let id = format!("6b{number:03}");
        tokio::spawn(async move { upload(address, &id, UNREAD_BODY_BYTES).await })
    });
    let uploads: Vec<_> = uploads.collect();
    for number in 0..30 {
        let request = RequestTo {
            address,
            length: 60_000,
        };
        let response = request.send(&format!("6c{number:02}")).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let unread = endless.bodies().len();
    assert!(unread >= SLOW_PEERS - 20, "only {unread} responses");
    wait_until("all uploads to reach a target", async || {
        let at_targets = targets.iter().map(|target| target.bodies().len());
        at_targets.sum::<usize>() == SLOW_PEERS
    })
    .await;
    let memory_bytes = instance.peak_memory_bytes();
    assert!(memory_bytes < MAX_MEMORY_BYTES, "{memory_bytes}");
    drop(readers);
    for upload in uploads {
        upload.abort();
    }
}

/// Guards against a target that gets more bodies at a time than it can hold: further uploads choose
/// other targets.
#[tokio::test(flavor = "multi_thread")]
async fn uploads_beyond_the_bound_of_a_target_choose_other_targets() {
    let targets = [
        BodyTarget::start(Reading::Never).await,
        BodyTarget::start(Reading::Never).await,
    ];
    let deployment = start(
        &[("uploads", &targets[0]), ("uploads", &targets[1])],
        SMALL_MEMORY_MB,
        LONG_TIMEOUT,
    )
    .await;
    let address = deployment.instances[0].caller_address();
    let uploads = (0..24).map(|number| {
        let id = format!("7a{number:02}");
        tokio::spawn(async move { upload(address, &id, MIB).await })
    });
    let uploads: Vec<_> = uploads.collect();
    let at_targets = || targets.iter().map(|target| target.bodies().len());
    wait_until("both targets to be full", async || {
        at_targets().all(|count| count >= 8)
    })
    .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(at_targets().collect::<Vec<_>>(), [8, 8]);
    for upload in uploads {
        upload.abort();
    }
}
