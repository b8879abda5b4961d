//! Targets that say in their responses that they leave.

use std::time::Duration;
use std::time::Instant;

use standin::StoreFault;
use standin::TargetScript;

use crate::deployment::Deployment;
use crate::deployment::Response;
use crate::deployment::wait_until;

/// The users' `drain`: time for which an instance may still send requests to a target that has
/// told it that it leaves.
const DRAIN: Duration = Duration::from_secs(2);
/// Time for which requests are sent after that.
const WATCHED: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_millis(10);
const LOGGED: &str = "event=target-leaves";
const LEAVING: &[(&str, &str)] = &[("server-leaving", "1")];

/// Callers that send requests to the instances in turn.
struct Callers {
    sent: usize,
}

impl Callers {
    async fn send(&mut self, deployment: &Deployment) -> Response {
        self.sent += 1;
        let number = self.sent;
        let instance = &deployment.instances[number % deployment.instances.len()];
        let response = instance
            .send_request("GET", "/read/a", &request_id(number))
            .await;
        response.expect("the instance did not respond")
    }

    /// Sends requests until each instance knows that the target with this number leaves; returns
    /// when those that have passed on its responses had, by instance.
    async fn hear_from(&mut self, deployment: &Deployment, target: usize) -> Vec<Option<Instant>> {
        let id = deployment.targets[target].id();
        let mut heard_at = vec![None; deployment.instances.len()];
        let knows = |number: usize| deployment.instances[number].read_log().contains(LOGGED);
        while (0..heard_at.len()).any(|number| heard_at[number].is_none() && !knows(number)) {
            let response = self.send(deployment).await;
            if response.body.ends_with(id) {
                heard_at[self.sent % deployment.instances.len()].get_or_insert(Instant::now());
            }
        }
        heard_at
    }

    /// Sends requests for a time; returns the statuses that are not 200.
    async fn send_for(&mut self, deployment: &Deployment, time: Duration) -> Vec<u16> {
        let until = Instant::now() + time;
        let mut failures = Vec::new();
        while Instant::now() < until {
            let response = self.send(deployment).await;
            failures.extend(Some(response.status).filter(|status| *status != 200));
            tokio::time::sleep(PAUSE).await;
        }
        failures
    }
}

fn request_id(number: usize) -> String {
    format!("1e{number:04x}")
}

/// Milliseconds after which requests reached a target later than it allows, from an instance to
/// which it had said that it leaves.
fn late_arrivals(
    deployment: &Deployment,
    target: usize,
    heard_at: &[Option<Instant>],
) -> Vec<u128> {
    let arrivals = deployment.targets[target].observed().arrivals;
    let after = arrivals.iter().filter_map(|arrival| {
        let number = usize::from_str_radix(arrival.id.strip_prefix("1e")?, 16).ok()?;
        let heard_at = heard_at[number % heard_at.len()]?;
        arrival.at.checked_duration_since(heard_at)
    });
    after
        .filter(|after| *after > DRAIN)
        .map(|after| after.as_millis())
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_says_it_leaves_gets_no_late_requests_while_the_registry_lists_it() {
    let deployment = Deployment::start(2).await;
    let mut callers = Callers { sent: 0 };
    deployment.targets[0].set_extra_headers(LEAVING);
    let heard_at = callers.hear_from(&deployment, 0).await;
    let failures = callers.send_for(&deployment, DRAIN + WATCHED).await;
    assert_eq!(failures, Vec::<u16>::new());
    let late = late_arrivals(&deployment, 0, &heard_at);
    assert!(late.is_empty(), "{} late requests: {late:?}", late.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_target_whose_entry_lapses_and_changes_gets_no_late_requests() {
    let deployment = Deployment::start(2).await;
    let mut callers = Callers { sent: 0 };
    let target = &deployment.targets[0];
    let key = format!("servers/{}", target.id());
    target.set_extra_headers(LEAVING);
    let heard_at = callers.hear_from(&deployment, 0).await;
    let lapse = Duration::from_millis(1_200);
    deployment.store.remove(&key);
    let mut failures = callers.send_for(&deployment, lapse).await;
    let mut entry = target.entry("reads", "ready");
    deployment.store.put(&key, &entry);
    failures.extend(callers.send_for(&deployment, DRAIN).await);
    entry["slots"] = 5.into();
    deployment.store.put(&key, &entry);
    failures.extend(callers.send_for(&deployment, WATCHED).await);
    assert_eq!(failures, Vec::<u16>::new());
    let late = late_arrivals(&deployment, 0, &heard_at);
    assert!(late.is_empty(), "{} late requests: {late:?}", late.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn when_all_targets_leave_requests_are_served_then_refused_until_another_process_starts() {
    let deployment = Deployment::start(1).await;
    let mut callers = Callers { sent: 0 };
    for target in &deployment.targets[..2] {
        target.set_extra_headers(LEAVING);
    }
    let heard_at = callers.hear_from(&deployment, 0).await;
    let served = callers
        .send_for(&deployment, Duration::from_millis(500))
        .await;
    assert_eq!(served, Vec::<u16>::new());
    tokio::time::sleep(DRAIN).await;
    let sent_at = Instant::now();
    let refused = callers.send(&deployment).await;
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(refused.header("retry-after").is_some(), "{refused:?}");
    assert!(sent_at.elapsed() < Duration::from_secs(1), "not at once");
    let late = late_arrivals(&deployment, 0, &heard_at);
    assert!(late.is_empty(), "{} late requests: {late:?}", late.len());
    let target = &deployment.targets[0];
    target.set_extra_headers(&[]);
    let mut entry = target.entry("reads", "ready");
    entry["born"] = 1_700_000_009_000_u64.into();
    let key = format!("servers/{}", target.id());
    deployment.store.put(&key, &entry);
    wait_until("the next process of the target to serve", async || {
        callers.send(&deployment).await.status == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_and_an_error_tell_too_that_a_target_leaves() {
    for script in [TargetScript::Sheds, TargetScript::Errors] {
        let deployment = Deployment::start(2).await;
        let target = &deployment.targets[0];
        target.set_extra_headers(LEAVING);
        target.set_script(script);
        let mut callers = Callers { sent: 0 };
        while target.observed().arrivals.is_empty() {
            callers.send(&deployment).await;
        }
        for instance in &deployment.instances {
            instance.wait_for_log(LOGGED).await;
        }
        // Both know of it, one from the other, and have another target.
        let before = target.observed().arrivals.len();
        callers.send_for(&deployment, WATCHED).await;
        let more = target.observed().arrivals.len() - before;
        assert!(more <= 2, "{script:?}: {more} more requests");
    }
}

/// Guards against a process that says that it leaves before the store has its entry: the sign is kept for
/// the former process, and the entry of the new one would open the target again.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_that_leaves_before_its_entry_is_written_gets_no_late_requests() {
    let deployment = Deployment::start(2).await;
    let mut callers = Callers { sent: 0 };
    let target = &deployment.targets[0];
    deployment.store.set_fault(StoreFault::Busy);
    target.set_extra_headers(LEAVING);
    let heard_at = callers.hear_from(&deployment, 0).await;
    callers.send_for(&deployment, DRAIN).await;
    deployment.store.set_fault(StoreFault::None);
    let mut entry = target.entry("reads", "ready");
    entry["born"] = 1_700_000_009_000_u64.into();
    let key = format!("servers/{}", target.id());
    deployment.store.put(&key, &entry);
    for instance in &deployment.instances {
        let line = format!("event=targets-in-force put=\"{}\"", target.id());
        instance.wait_for_log(&line).await;
    }
    let failures = callers.send_for(&deployment, WATCHED).await;
    assert_eq!(failures, Vec::<u16>::new());
    let late = late_arrivals(&deployment, 0, &heard_at);
    assert!(late.is_empty(), "{} late requests: {late:?}", late.len());
}
