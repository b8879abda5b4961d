//! Targets that send bytes without end.

use std::time::Duration;

use standin::TargetScript;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::deployment::Deployment;
use crate::deployment::wait_for;

/// Bytes that an instance may take of an answer's head, with the buffers of both sides.
const MOST_BYTES: u64 = 16 << 20;

#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_in_a_head_end_the_connection_and_not_the_request() {
    for script in [TargetScript::EndlessBytes, TargetScript::EndlessHead] {
        let deployment = Deployment::start(1).await;
        deployment.targets[0].set_script(script);
        let instance = &deployment.instances[0];
        instance.wait_for_log("event=retry-reserve").await;
        for number in 0..8 {
            let id = format!("8e{number:02}");
            let answer = instance.ask("GET", "/read/a", &id).await;
            let answer = answer.expect("an answer comes");
            assert_eq!(answer.status, 200, "{script:?}: {answer:?}");
            assert_eq!(answer.body, format!("ran {id} at i-1"), "{script:?}");
        }
        let target = &deployment.targets[0];
        wait_for("the endless answers to be closed", async || {
            let got = target.observed();
            got.endless_bytes.len() == got.heads.len()
        })
        .await;
        let got = target.observed();
        assert!(!got.endless_bytes.is_empty(), "{script:?}");
        let most = got.endless_bytes.iter().max();
        assert!(most < Some(&MOST_BYTES), "{script:?}: {got:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_without_end_is_closed_with_its_caller_and_never_looks_whole() {
    let deployment = Deployment::start(1).await;
    for target in &deployment.targets[..2] {
        target.set_script(TargetScript::EndlessBody);
    }
    let instance = &deployment.instances[0];
    let mut caller = TcpStream::connect(instance.callers())
        .await
        .expect("the instance takes connections");
    let request = "GET /read/a HTTP/1.1\r\nhost: a.example\r\nx-attempt-id: 9f01\r\nx-deadline-ms: 3000\r\n\r\n";
    caller
        .write_all(request.as_bytes())
        .await
        .expect("the request is taken");
    let mut bytes = vec![0; 1 << 20];
    caller
        .read_exact(&mut bytes)
        .await
        .expect("the body comes as it is sent");
    let head = String::from_utf8_lossy(&bytes[..300]).to_lowercase();
    assert!(!head.contains("content-length"), "{head}");
    drop(caller);
    wait_for("the target's connection to be closed", async || {
        let ended = |target: &standin::UsersTarget| target.observed().endless_bytes.len();
        deployment.targets.iter().map(ended).sum::<usize>() == 1
    })
    .await;
    for target in &deployment.targets[..2] {
        target.set_script(TargetScript::Good);
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let answer = instance.ask("GET", "/read/a", "9f02").await;
    assert_eq!(answer.map(|answer| answer.status), Some(200));
}
