//! Targets that send an endless response.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use standin::StoreFault;
use standin::TargetScript;
use standin::UsersTarget;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::deployment::Deployment;
use crate::deployment::ephemeral_address;
use crate::deployment::wait_until;

/// Upper bound on the bytes that a target can send of an endless response head, including
/// the socket buffers of both sides.
const MAX_READ_BYTES: u64 = 16 << 20;

#[tokio::test(flavor = "multi_thread")]
async fn an_endless_response_head_ends_the_connection_but_not_the_request() {
    for script in [TargetScript::EndlessBytes, TargetScript::EndlessHead] {
        let deployment = Deployment::start(1).await;
        deployment.targets[0].set_script(script);
        let instance = &deployment.instances[0];
        instance.wait_for_log("event=retry-reserve").await;
        for number in 0..8 {
            let id = format!("8e{number:02}");
            let response = instance.send_request("GET", "/read/a", &id).await;
            let response = response.expect("the instance did not respond");
            assert_eq!(response.status, 200, "{script:?}: {response:?}");
            assert_eq!(response.body, format!("ran {id} at i-1"), "{script:?}");
        }
        let target = &deployment.targets[0];
        wait_until("the endless responses to be closed", async || {
            let activity = target.observed();
            activity.endless_bytes.len() == activity.heads.len()
        })
        .await;
        let activity = target.observed();
        assert!(!activity.endless_bytes.is_empty(), "{script:?}");
        let longest = activity.endless_bytes.iter().max();
        assert!(longest < Some(&MAX_READ_BYTES), "{script:?}: {activity:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endless_response_body_ends_with_its_caller_and_never_looks_complete() {
    let deployment = Deployment::start(1).await;
    for target in &deployment.targets[..2] {
        target.set_script(TargetScript::EndlessBody);
    }
    let instance = &deployment.instances[0];
    let mut caller = TcpStream::connect(instance.caller_address())
        .await
        .expect("failed to connect to the instance");
    let request = "GET /read/a HTTP/1.1\r\nhost: a.example\r\nx-attempt-id: 9f01\r\nx-deadline-ms: 3000\r\n\r\n";
    caller
        .write_all(request.as_bytes())
        .await
        .expect("failed to send the request");
    let mut bytes = vec![0; 1 << 20];
    caller
        .read_exact(&mut bytes)
        .await
        .expect("the body was not streamed to the caller");
    let head = String::from_utf8_lossy(&bytes[..300]).to_lowercase();
    assert!(!head.contains("content-length"), "{head}");
    drop(caller);
    wait_until("the target's connection to be closed", async || {
        let closed = |target: &standin::UsersTarget| target.observed().endless_bytes.len();
        deployment.targets.iter().map(closed).sum::<usize>() == 1
    })
    .await;
    for target in &deployment.targets[..2] {
        target.set_script(TargetScript::Good);
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let response = instance.send_request("GET", "/read/a", "9f02").await;
    assert_eq!(response.map(|response| response.status), Some(200));
}

/// Time limit of the route `/read/`.
const ROUTE_LIMIT: Duration = Duration::from_secs(3);
/// The users allow half a second after it.
const LATE_LIMIT: Duration = Duration::from_millis(3_500);

/// Sends a read with a time limit of eight seconds and reads all that comes back; returns the
/// bytes, the time, and whether the connection was closed without a reset.
async fn read_all(address: SocketAddr, version: &str, id: &str) -> (Vec<u8>, Duration, bool) {
    let mut caller = TcpStream::connect(address).await.expect("not connected");
    let request = format!(
        "GET /read/a HTTP/{version}\r\nhost: a.example\r\nx-attempt-id: {id}\r\nx-deadline-ms: 8000\r\n\r\n"
    );
    let sent = Instant::now();
    caller
        .write_all(request.as_bytes())
        .await
        .expect("failed to send the request");
    let mut bytes = Vec::new();
    let mut buffer = vec![0; 1 << 16];
    let is_closed = loop {
        match caller.read(&mut buffer).await {
            Ok(0) => break true,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(_) => break false,
        }
    };
    (bytes, sent.elapsed(), is_closed)
}

/// Guards against responses whose bodies never end, which were forwarded for as long as their
/// callers waited. They end at the route's timeout and never look complete.
#[tokio::test(flavor = "multi_thread")]
async fn an_endless_response_body_ends_at_the_time_limit_of_its_route() {
    let deployment = Deployment::start(1).await;
    for target in &deployment.targets[..2] {
        target.set_script(TargetScript::EndlessBody);
    }
    let instance = &deployment.instances[0];
    let address = instance.caller_address();
    let (bytes, time, _) = read_all(address, "1.1", "af01").await;
    assert!(time > ROUTE_LIMIT / 2 && time < LATE_LIMIT, "{time:?}");
    assert!(!bytes.ends_with(b"0\r\n\r\n"), "the body looks complete");
    // A body without a length ends with its connection, so that only a reset tells it.
    let (_, time, is_closed) = read_all(address, "1.0", "af02").await;
    assert!(time < LATE_LIMIT, "{time:?}");
    assert!(!is_closed, "the connection was closed without a reset");
    instance
        .wait_for_log("event=answer-cut id=af01 code=304")
        .await;
    wait_until("the targets' connections to be closed", async || {
        let closed = |target: &standin::UsersTarget| target.observed().endless_bytes.len();
        deployment.targets.iter().map(closed).sum::<usize>() == 2
    })
    .await;
}

/// Guards against a target that counts as healthy though its bodies never end.
#[tokio::test(flavor = "multi_thread")]
async fn reads_leave_a_target_whose_bodies_never_end() {
    let deployment = Deployment::start(1).await;
    deployment.targets[0].set_script(TargetScript::EndlessBody);
    let instance = &deployment.instances[0];
    let mut callers = Vec::new();
    for number in 0..16 {
        let address = instance.caller_address();
        let id = format!("bf{number:02}");
        callers.push(tokio::spawn(
            async move { read_all(address, "1.1", &id).await },
        ));
    }
    for caller in callers {
        caller.await.expect("a caller failed");
    }
    let before = deployment.targets[0].observed().heads.len();
    assert!(before > 0, "no request has reached the target");
    tokio::time::sleep(Duration::from_secs(1)).await;
    for number in 0..20 {
        let id = format!("cf{number:02}");
        let response = instance.send_request("GET", "/read/a", &id).await;
        assert_eq!(response.map(|response| response.status), Some(200));
    }
    let after = deployment.targets[0].observed().heads.len();
    assert!(after <= before + 1, "{} more requests", after - before);
}

/// Guards against callers that read nothing: they end too, and are no evidence against the target.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_reads_nothing_ends_at_the_time_limit_and_is_no_failure_of_the_target() {
    let deployment = Deployment::start(1).await;
    for target in &deployment.targets[..2] {
        target.set_script(TargetScript::EndlessBody);
    }
    let instance = &deployment.instances[0];
    let mut caller = TcpStream::connect(instance.caller_address())
        .await
        .expect("not connected");
    let request = "GET /read/a HTTP/1.1\r\nhost: a.example\r\nx-attempt-id: df01\r\nx-deadline-ms: 8000\r\n\r\n";
    let sent = Instant::now();
    let written = caller.write_all(request.as_bytes()).await;
    written.expect("failed to send the request");
    instance.wait_for_log("event=answer-cut id=df01").await;
    assert!(sent.elapsed() < LATE_LIMIT, "{:?}", sent.elapsed());
    let log = instance.read_log();
    assert!(log.contains("event=answer-cut id=df01 code=306"), "{log}");
    assert!(log.contains("reason=caller-slow"), "{log}");
}

/// Half of the memory of the users' smallest machines, which have 160 MB.
const MAX_MEMORY_BYTES: u64 = 80 << 20;
const CALLERS: usize = 32;

/// Guards against an instance that runs out of memory, or whose other callers are not served, while
/// a target sends bytes without end: in each place where it can.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_are_bounded_wherever_a_target_sends_them() {
    let scripts = [
        TargetScript::EndlessBytes,
        TargetScript::EndlessHead,
        TargetScript::EndlessHeaderLines,
        TargetScript::EndlessInterim,
        TargetScript::EndlessBody,
        TargetScript::EndlessChunkSize,
        TargetScript::EndlessChunkExtension,
        TargetScript::HugeChunk,
        TargetScript::EndlessTrailers,
        TargetScript::EndlessAfterEmpty,
        TargetScript::EndlessAfterNoContent,
    ];
    for script in scripts {
        let mut deployment = Deployment::start(1).await;
        for target in &deployment.targets[..2] {
            target.set_script(script);
        }
        let address = deployment.instances[0].caller_address();
        let callers = (0..CALLERS).map(|number| {
            let id = format!("ef{number:02}");
            tokio::spawn(async move { read_all_in_time(address, &id).await })
        });
        let callers: Vec<_> = callers.collect();
        for caller in callers {
            let time = caller.await.expect("a caller failed");
            assert!(time < LATE_LIMIT, "{script:?}: {time:?}");
        }
        // Another service's callers are served meanwhile and afterwards.
        let other = deployment.instances[0].send_request("POST", "/command/a", "ee01");
        let other = other.await.map(|response| response.status);
        assert_eq!(other, Some(200), "{script:?}");
        let memory_bytes = deployment.instances[0].peak_memory_bytes();
        assert!(
            memory_bytes < MAX_MEMORY_BYTES,
            "{script:?}: {memory_bytes}"
        );
        wait_until("the targets' connections to be closed", async || {
            let targets = deployment.targets[..2].iter();
            targets
                .map(standin::UsersTarget::observed)
                .all(|activity| activity.endless_bytes.len() == activity.heads.len())
        })
        .await;
        deployment.instances.clear();
    }
}

/// Sends a read on a connection of its own that ends with its response, and returns the time.
async fn read_all_in_time(address: SocketAddr, id: &str) -> Duration {
    let mut caller = TcpStream::connect(address).await.expect("not connected");
    let request = format!(
        "GET /read/a HTTP/1.1\r\nhost: a.example\r\nx-attempt-id: {id}\r\nx-deadline-ms: 8000\r\nconnection: close\r\n\r\n"
    );
    let sent = Instant::now();
    let written = caller.write_all(request.as_bytes()).await;
    written.expect("failed to send the request");
    let mut buffer = vec![0; 1 << 16];
    let read = async { while let Ok(1..) = caller.read(&mut buffer).await {} };
    // A response without end shows in the time.
    let _ = tokio::time::timeout(2 * LATE_LIMIT, read).await;
    sent.elapsed()
}

/// Guards against the sum of many responses without end, of many targets, whose callers read
/// nothing.
#[tokio::test(flavor = "multi_thread")]
async fn responses_that_no_caller_reads_take_little_memory() {
    let mut deployment = Deployment::start(1).await;
    for number in 0..60 {
        let target = UsersTarget::bind(ephemeral_address(), &format!("i-more-{number}")).await;
        let target = target.expect("failed to start a target");
        let key = format!("servers/{}", target.id());
        deployment.store.put(&key, &target.entry("reads", "ready"));
        deployment.targets.push(target);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    for target in &deployment.targets {
        target.set_script(TargetScript::EndlessBody);
    }
    let instance = &deployment.instances[0];
    let mut callers = Vec::new();
    for number in 0..600 {
        let caller = TcpStream::connect(instance.caller_address()).await;
        let mut caller = caller.expect("not connected");
        let request = format!(
            "GET /read/a{number} HTTP/1.1\r\nhost: a.example\r\nx-attempt-id: da{number:03}\r\nx-deadline-ms: 8000\r\n\r\n"
        );
        let written = caller.write_all(request.as_bytes()).await;
        written.expect("failed to send the request");
        callers.push(caller);
    }
    tokio::time::sleep(LATE_LIMIT).await;
    let heads = deployment.targets.iter();
    let heads: usize = heads.map(|target| target.observed().heads.len()).sum();
    assert!(heads > 250, "only {heads} requests have reached targets");
    let memory_bytes = instance.peak_memory_bytes();
    assert!(memory_bytes < MAX_MEMORY_BYTES, "{memory_bytes}");
}

/// Guards against an instance that keeps a store's answer without end in memory.
#[tokio::test(flavor = "multi_thread")]
async fn answers_of_the_store_without_end_are_bounded() {
    let deployment = Deployment::start(1).await;
    let instance = &deployment.instances[0];
    deployment.store.set_fault(StoreFault::EndlessBody);
    tokio::time::sleep(Duration::from_secs(5)).await;
    let response = instance.send_request("GET", "/read/a", "de01").await;
    assert_eq!(response.map(|response| response.status), Some(200));
    let memory_bytes = instance.peak_memory_bytes();
    assert!(memory_bytes < MAX_MEMORY_BYTES, "{memory_bytes}");
}
