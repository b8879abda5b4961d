//! The whole path with real processes: served, cut, stopped, frozen.

use std::sync::atomic::Ordering;

use crate::fleet::Fleet;
use crate::fleet::PATIENCE;
use crate::fleet::Raw;
use crate::fleet::ask;
use crate::fleet::wait_for_status;
use standin::PlatformFault;

const LONG_BYTES: usize = 2_000_000;

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_served_through_any_instance() {
    let fleet = Fleet::start().await;
    for instance in &fleet.instances {
        let answer = ask(instance.callers, "GET", "/read/a", "echo: own\r\n").await;
        assert!(answer.text.starts_with("HTTP/1.1 200"), "{}", answer.text);
        assert!(answer.text.contains("sniperun-outcome: ran"));
        assert!(answer.text.contains("echo: own"));
        assert!(answer.whole);
        let missing = ask(instance.callers, "GET", "/nowhere", "").await;
        assert!(missing.text.starts_with("HTTP/1.1 404"));
        assert!(missing.text.contains("sniperun-code: 101"));
        assert!(missing.text.contains("sniperun-outcome: not-run"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_a_target_cuts_never_looks_whole() {
    let fleet = Fleet::start().await;
    for backend in &fleet.backends {
        backend.update_script(|script| script.answer_bytes = 100_000);
        backend.update_script(|script| script.cut_after_bytes = Some(40_000));
        backend.update_script(|script| script.chunk_pause_ms = 50);
    }
    let answer = ask(fleet.instances[0].callers, "GET", "/read", "").await;
    assert!(answer.text.starts_with("HTTP/1.1 200"), "{}", answer.text);
    assert!(
        !answer.whole,
        "a cut answer of {} bytes looks whole",
        answer.bytes
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_lets_a_long_download_end() {
    let mut fleet = Fleet::start().await;
    for backend in &fleet.backends {
        backend.update_script(|script| script.answer_bytes = LONG_BYTES);
        backend.update_script(|script| script.chunk_pause_ms = 10);
    }
    let mut stopping = fleet.instances.remove(0);
    let request = "GET /read HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n";
    let mut download = Raw::send(stopping.callers, request)
        .await
        .expect("the instance takes connections");
    download.read_some(50_000).await;
    stopping.signal("TERM");
    let answer = download.rest().await;
    assert_eq!(answer.bytes, LONG_BYTES);
    let status = tokio::time::timeout(PATIENCE, stopping.ended())
        .await
        .expect("the instance ends");
    assert!(status.success());
    assert!(Raw::send(stopping.callers, request).await.is_none());
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_go_on_while_the_platform_is_away() {
    let fleet = Fleet::start().await;
    fleet.platform.memory.set_fault(PlatformFault {
        away: true,
        ..PlatformFault::default()
    });
    let at = fleet.instances[0].callers;
    for _ in 0..20 {
        let answer = ask(at, "GET", "/read", "").await;
        assert!(answer.text.starts_with("HTTP/1.1 200"));
    }
    let refused = ask(
        at,
        "POST",
        "/command",
        "idempotency-key: k1\r\ncontent-length: 0\r\ncommand-id: k1\r\n",
    )
    .await;
    assert!(
        refused.text.contains("sniperun-code: 401"),
        "{}",
        refused.text
    );
    assert!(refused.text.contains("sniperun-outcome: not-run"));
    assert!(refused.text.contains("retry-after: "));
    let issued = ask(at, "POST", "/sniperun/tickets", "content-length: 0\r\n").await;
    let ticket = issued
        .text
        .split('"')
        .nth(3)
        .expect("a ticket was issued")
        .to_owned();
    let headers = format!("sniperun-ticket: {ticket}\r\ncontent-length: 0\r\ncommand-id: k2\r\n");
    let ran = ask(at, "POST", "/command", &headers).await;
    assert!(ran.text.starts_with("HTTP/1.1 200"), "{}", ran.text);
    let again = ask(fleet.instances[1].callers, "POST", "/command", &headers).await;
    assert!(again.text.contains("sniperun-code: 402"), "{}", again.text);
    assert_eq!(runs(&fleet, "k1"), 0);
    assert_eq!(runs(&fleet, "k2"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_runs_once_though_the_platform_loses_answers() {
    let fleet = Fleet::start().await;
    fleet.platform.memory.set_fault(PlatformFault {
        loses_answers: true,
        ..PlatformFault::default()
    });
    let headers = "idempotency-key: k3\r\ncontent-length: 0\r\ncommand-id: k3\r\n";
    let first = ask(fleet.instances[0].callers, "POST", "/command", headers).await;
    assert!(
        first.text.contains("sniperun-outcome: ran"),
        "{}",
        first.text
    );
    for instance in &fleet.instances {
        let again = ask(instance.callers, "POST", "/command", headers).await;
        assert!(again.text.starts_with("HTTP/1.1 409"), "{}", again.text);
    }
    assert_eq!(runs(&fleet, "k3"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_was_frozen_serves_by_the_newest_note() {
    let fleet = Fleet::start().await;
    let frozen = &fleet.instances[1];
    frozen.signal("STOP");
    let mut note = fleet
        .store
        .read(1)
        .await
        .expect("the platform answers")
        .expect("note 1 stands");
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
        .expect("the note is accepted");
    wait_for_status(fleet.instances[0].admin, "\"note\":2,\"ready\":true").await;
    frozen.signal("CONT");
    fleet.wait_for_note(2).await;
    let before = fleet.backends[0].counts().requests.load(Ordering::Relaxed);
    for _ in 0..30 {
        let answer = ask(frozen.callers, "GET", "/read", "").await;
        assert!(answer.text.starts_with("HTTP/1.1 200"));
    }
    assert_eq!(
        fleet.backends[0].counts().requests.load(Ordering::Relaxed),
        before
    );
}

fn runs(fleet: &Fleet, command: &str) -> u32 {
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
