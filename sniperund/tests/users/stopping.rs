//! Requests on kept connections during a planned stop, at each tenth of a second of the grace.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use standin::TargetScript;
use standin::users::configuration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::deployment::Deployment;
use crate::deployment::WAIT_TIMEOUT;

const LONG_GRACE: Duration = Duration::from_secs(6);
const SHORT_GRACE: Duration = Duration::from_secs(4);
/// The users excuse a broken-off request only if it was sent up to this time after the signal.
const LATEST_EXCUSED: Duration = Duration::from_secs(3);
/// And if its target was still at work in the last part of the grace, one divided by this.
const LAST_PART_DIVISOR: u32 = 6;
/// Time limit of the route, which ends a request at any time.
const ROUTE_LIMIT: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(100);
const STEPS: u32 = 60;

/// A request on a connection that has served one before.
struct Late {
    id: String,
    sent_after: Duration,
    /// Status and time of the answer after the signal; `None` if the connection was closed.
    answer: Option<(u16, Duration)>,
}

fn request(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: a.example\r\nx-attempt-id: {id}\r\nx-deadline-ms: 15000\r\ncontent-length: 0\r\n\r\n"
    )
}

/// Reads one response, and returns its status if it is complete.
async fn read_response(stream: &mut TcpStream) -> Option<u16> {
    let mut text = String::new();
    let mut buffer = [0; 4_096];
    loop {
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.to_ascii_lowercase();
            let length = length.split("content-length: ").nth(1)?;
            let length: usize = length.lines().next()?.trim().parse().ok()?;
            if body.len() >= length {
                return head.split(' ').nth(1)?.parse().ok();
            }
        }
        let count = stream
            .read(&mut buffer)
            .await
            .ok()
            .filter(|count| *count > 0)?;
        text.push_str(&String::from_utf8_lossy(&buffer[..count]));
    }
}

async fn send_late(
    address: SocketAddr,
    (method, path, id): (&'static str, &'static str, String),
    signalled: Instant,
    sent_after: Duration,
) -> Late {
    let mut stream = TcpStream::connect(address).await.expect("not connected");
    let first = request("GET", "/read/a", &format!("{id}00"));
    let _ = stream.write_all(first.as_bytes()).await;
    assert!(read_response(&mut stream).await.is_some());
    tokio::time::sleep_until((signalled + sent_after).into()).await;
    let sent = stream
        .write_all(request(method, path, &id).as_bytes())
        .await;
    let status = match sent {
        Ok(()) => read_response(&mut stream).await,
        Err(_) => None,
    };
    Late {
        id,
        sent_after,
        answer: status.map(|status| (status, signalled.elapsed())),
    }
}

/// Stops an instance by plan while requests come on kept connections.
async fn stop_with_late_requests(
    grace: Duration,
    work_time: Duration,
) -> (Vec<Late>, BTreeSet<String>) {
    let mut deployment = Deployment::start(1).await;
    for target in &deployment.targets[2..] {
        target.set_work_time(work_time);
    }
    let instance = &deployment.instances[0];
    if grace != LONG_GRACE {
        let text = format!("{}s", grace.as_secs());
        instance.change_settings(|settings| settings["terms"]["bounds"]["grace"] = text.into());
        instance.send_signal("HUP");
        instance.wait_for_log("event=reload changed").await;
    }
    let address = instance.caller_address();
    let signalled = Instant::now() + Duration::from_secs(1);
    let tasks: Vec<_> = (0..STEPS)
        .map(|step| {
            let sent = ("POST", "/command/a", format!("8a{step:02x}"));
            tokio::spawn(send_late(address, sent, signalled, STEP * step))
        })
        .collect();
    tokio::time::sleep_until(signalled.into()).await;
    deployment.instances[0].send_signal("TERM");
    let exit = tokio::time::timeout(WAIT_TIMEOUT, deployment.instances[0].wait_for_exit()).await;
    assert!(exit.expect("the instance did not exit in time").success());
    assert!(signalled.elapsed() < grace, "not stopped within the grace");
    let mut late = Vec::new();
    for task in tasks {
        late.push(task.await.expect("a caller failed"));
    }
    let targets = deployment.targets.iter();
    let arrivals = targets.flat_map(|target| target.observed().arrivals);
    (late, arrivals.map(|arrival| arrival.id).collect())
}

fn assert_none_cut(grace: Duration, late: &[Late], arrived: &BTreeSet<String>) {
    let last_part = grace - grace / LAST_PART_DIVISOR;
    for Late {
        id,
        sent_after,
        answer,
    } in late
    {
        let Some((status, answered_after)) = answer else {
            assert!(
                !arrived.contains(id),
                "{id}, sent after {sent_after:?}, was cut"
            );
            continue;
        };
        if *status == 200 || !arrived.contains(id) {
            continue;
        }
        if answered_after.saturating_sub(*sent_after) >= ROUTE_LIMIT {
            continue;
        }
        assert!(
            *sent_after <= LATEST_EXCUSED && *answered_after >= last_part,
            "{id}, sent after {sent_after:?}, was broken off with {status} after {answered_after:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_no_short_work_taken_on_kept_connections() {
    let (late, arrived) = stop_with_late_requests(LONG_GRACE, Duration::from_millis(200)).await;
    assert_none_cut(LONG_GRACE, &late, &arrived);
    let served = late
        .iter()
        .filter(|late| matches!(late.answer, Some((200, _))));
    assert!(served.count() > 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_breaks_off_long_work_only_in_the_last_part_of_the_grace() {
    for grace in [LONG_GRACE, SHORT_GRACE] {
        let (late, arrived) = stop_with_late_requests(grace, Duration::from_millis(2_700)).await;
        assert_none_cut(grace, &late, &arrived);
    }
}

/// Log lines of a request.
fn lines_of(log: &str, id: &str) -> String {
    let lines: Vec<&str> = log.lines().filter(|line| line.contains(id)).collect();
    lines.join("\n")
}

/// Guards against requests that wait in the queue for targets that have all asked for a pause, and
/// get no answer when the instance exits.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_answers_requests_that_wait_for_paused_targets() {
    let mut deployment = Deployment::start(1).await;
    let mut document = configuration(6, "reads");
    document["routes"]["r-command"]["timeout"] = "12000ms".into();
    deployment.store.put("op/config", &document);
    for target in &deployment.targets[2..] {
        target.set_extra_headers(&[("Retry-After", "1")]);
        target.set_script(TargetScript::Sheds);
    }
    let address = deployment.instances[0].caller_address();
    let signalled = Instant::now() + Duration::from_secs(1);
    // Callers with kept connections, which the instance closes later than these times.
    let tasks: Vec<_> = (0..24)
        .map(|number| {
            let sent = ("POST", "/command/a", format!("9a{number:02x}"));
            let sent_after = Duration::from_millis(2_400) + STEP / 10 * number;
            tokio::spawn(send_late(address, sent, signalled, sent_after))
        })
        .collect();
    tokio::time::sleep_until(signalled.into()).await;
    deployment.instances[0].send_signal("TERM");
    let exit = tokio::time::timeout(WAIT_TIMEOUT, deployment.instances[0].wait_for_exit()).await;
    assert!(exit.expect("the instance did not exit in time").success());
    assert!(signalled.elapsed() < LONG_GRACE);
    let targets = deployment.targets.iter();
    let ran: BTreeSet<String> = targets.flat_map(|target| target.observed().ran).collect();
    let log = deployment.instances[0].read_log();
    let mut late = Vec::new();
    for task in tasks {
        late.push(task.await.expect("a caller failed"));
    }
    let unanswered = late.iter().filter(|late| late.answer.is_none());
    let unanswered: Vec<&str> = unanswered.map(|late| late.id.as_str()).collect();
    assert!(unanswered.is_empty(), "no answer to {unanswered:?}");
    for Late {
        id,
        sent_after,
        answer,
    } in &late
    {
        let Some((status, answered_after)) = *answer else {
            continue;
        };
        assert_eq!(status, 503, "{id}: {}", lines_of(&log, id));
        assert!(!ran.contains(id), "{id} was run and refused");
        // The route's objective leaves no time for a target after the next end of the pause.
        let waited = answered_after.saturating_sub(*sent_after);
        assert!(
            waited < Duration::from_secs(2),
            "{id} waited for {waited:?}"
        );
    }
}
