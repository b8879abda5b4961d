//! Targets that send an endless response.

use std::time::Duration;

use standin::TargetScript;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::deployment::Deployment;
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
