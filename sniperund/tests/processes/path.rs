//! Requests through instances that run as processes: forwarding, truncated responses,
//! graceful shutdown, outages of the platform, and freezes.

use std::sync::atomic::Ordering;

use crate::fleet::Fleet;
use crate::fleet::RawConnection;
use crate::fleet::WAIT_TIMEOUT;
use crate::fleet::send_request;
use crate::fleet::wait_for_status;
use standin::PlatformFault;

const DOWNLOAD_BYTES: usize = 2_000_000;

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_served_through_any_instance() {
    let fleet = Fleet::start().await;
    for instance in &fleet.instances {
        let response =
            send_request(instance.caller_address, "GET", "/read/a", "echo: own\r\n").await;
        assert!(
            response.text.starts_with("HTTP/1.1 200"),
            "{}",
            response.text
        );
        assert!(response.text.contains("sniperun-outcome: ran"));
        assert!(response.text.contains("echo: own"));
        assert!(response.is_complete);
        let missing = send_request(instance.caller_address, "GET", "/nowhere", "").await;
        assert!(missing.text.starts_with("HTTP/1.1 404"));
        assert!(missing.text.contains("sniperun-code: 101"));
        assert!(missing.text.contains("sniperun-outcome: not-run"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_response_truncated_by_its_target_never_looks_complete() {
    let fleet = Fleet::start().await;
    for backend in &fleet.backends {
        backend.update_script(|script| script.answer_bytes = 100_000);
        backend.update_script(|script| script.cut_after_bytes = Some(40_000));
        backend.update_script(|script| script.chunk_pause_ms = 50);
    }
    let response = send_request(fleet.instances[0].caller_address, "GET", "/read", "").await;
    assert!(
        response.text.starts_with("HTTP/1.1 200"),
        "{}",
        response.text
    );
    assert!(
        !response.is_complete,
        "a truncated response with a body of {} bytes looks complete",
        response.body_bytes
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_completes_a_long_download() {
    let mut fleet = Fleet::start().await;
    for backend in &fleet.backends {
        backend.update_script(|script| script.answer_bytes = DOWNLOAD_BYTES);
        backend.update_script(|script| script.chunk_pause_ms = 10);
    }
    let mut stopping = fleet.instances.remove(0);
    let request = "GET /read HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n";
    let mut download = RawConnection::send(stopping.caller_address, request)
        .await
        .expect("failed to connect to the instance");
    download.read_at_least(50_000).await;
    stopping.send_signal("TERM");
    let response = download.read_to_end().await;
    assert_eq!(response.body_bytes, DOWNLOAD_BYTES);
    let status = tokio::time::timeout(WAIT_TIMEOUT, stopping.wait_for_exit())
        .await
        .expect("the instance did not exit in time");
    assert!(status.success());
    assert!(
        RawConnection::send(stopping.caller_address, request)
            .await
            .is_none()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_while_the_platform_is_unavailable() {
    let fleet = Fleet::start().await;
    fleet.platform.memory.set_fault(PlatformFault {
        away: true,
        ..PlatformFault::default()
    });
    let address = fleet.instances[0].caller_address;
    for _ in 0..20 {
        let response = send_request(address, "GET", "/read", "").await;
        assert!(response.text.starts_with("HTTP/1.1 200"));
    }
    let rejected = send_request(
        address,
        "POST",
        "/command",
        "idempotency-key: k1\r\ncontent-length: 0\r\ncommand-id: k1\r\n",
    )
    .await;
    assert!(
        rejected.text.contains("sniperun-code: 401"),
        "{}",
        rejected.text
    );
    assert!(rejected.text.contains("sniperun-outcome: not-run"));
    assert!(rejected.text.contains("retry-after: "));
    let issued = send_request(
        address,
        "POST",
        "/sniperun/tickets",
        "content-length: 0\r\n",
    )
    .await;
    let ticket = issued
        .text
        .split('"')
        .nth(3)
        .expect("no ticket was issued")
        .to_owned();
    let headers = format!("sniperun-ticket: {ticket}\r\ncontent-length: 0\r\ncommand-id: k2\r\n");
    let ran = send_request(address, "POST", "/command", &headers).await;
    assert!(ran.text.starts_with("HTTP/1.1 200"), "{}", ran.text);
    let again = send_request(
        fleet.instances[1].caller_address,
        "POST",
        "/command",
        &headers,
    )
    .await;
    assert!(again.text.contains("sniperun-code: 402"), "{}", again.text);
    assert_eq!(command_runs(&fleet, "k1"), 0);
    assert_eq!(command_runs(&fleet, "k2"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_keyed_command_runs_once_if_responses_of_the_platform_are_lost() {
    let fleet = Fleet::start().await;
    fleet.platform.memory.set_fault(PlatformFault {
        loses_answers: true,
        ..PlatformFault::default()
    });
    let headers = "idempotency-key: k3\r\ncontent-length: 0\r\ncommand-id: k3\r\n";
    let first = send_request(
        fleet.instances[0].caller_address,
        "POST",
        "/command",
        headers,
    )
    .await;
    assert!(
        first.text.contains("sniperun-outcome: ran"),
        "{}",
        first.text
    );
    for instance in &fleet.instances {
        let again = send_request(instance.caller_address, "POST", "/command", headers).await;
        assert!(again.text.starts_with("HTTP/1.1 409"), "{}", again.text);
    }
    assert_eq!(command_runs(&fleet, "k3"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_resumed_after_a_freeze_serves_by_the_newest_note() {
    let fleet = Fleet::start().await;
    let frozen = &fleet.instances[1];
    frozen.send_signal("STOP");
    let mut note = fleet
        .store
        .read(1)
        .await
        .expect("failed to read note 1")
        .expect("note 1 does not exist");
    let mut leaving = note.targets.add.remove(0);
    leaving.leaving = true;
    let change = model::Note {
        title: "second".into(),
        submission: "second".into(),
        targets: model::note::Delta {
            change: vec![leaving],
            ..model::note::Delta::default()
        },
        ..model::Note::default()
    };
    fleet
        .store
        .submit(&change)
        .await
        .expect("the second note was not accepted");
    wait_for_status(
        fleet.instances[0].admin_address,
        "\"note\":2,\"ready\":true",
    )
    .await;
    frozen.send_signal("CONT");
    fleet.wait_for_note(2).await;
    let before = fleet.backends[0].counts().requests.load(Ordering::Relaxed);
    for _ in 0..30 {
        let response = send_request(frozen.caller_address, "GET", "/read", "").await;
        assert!(response.text.starts_with("HTTP/1.1 200"));
    }
    assert_eq!(
        fleet.backends[0].counts().requests.load(Ordering::Relaxed),
        before
    );
}

/// Number of times that the backend servers ran the command.
fn command_runs(fleet: &Fleet, command: &str) -> u32 {
    let count = |backend: &standin::Backend| {
        backend
            .counts()
            .commands
            .lock()
            .get(command)
            .copied()
            .unwrap_or(0)
    };
    fleet.backends.iter().map(count).sum()
}
