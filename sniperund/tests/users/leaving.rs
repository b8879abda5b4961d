//! Targets that say in their responses that they leave.

use std::time::Duration;
use std::time::Instant;

use crate::deployment::Deployment;
use crate::deployment::Response;

/// The users' `drain`: time for which an instance may still send requests to a target that has
/// told it that it leaves.
const DRAIN: Duration = Duration::from_secs(2);
/// Time for which requests are sent after that.
const WATCHED: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_millis(10);
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

    /// Sends requests until each instance has passed on a response of the target with this number;
    /// returns when they had, by instance.
    async fn hear_from(&mut self, deployment: &Deployment, target: usize) -> Vec<Instant> {
        let id = deployment.targets[target].id();
        let mut heard_at = vec![None; deployment.instances.len()];
        while heard_at.iter().any(Option::is_none) {
            let response = self.send(deployment).await;
            if response.body.ends_with(id) {
                heard_at[self.sent % deployment.instances.len()].get_or_insert(Instant::now());
            }
        }
        heard_at.into_iter().flatten().collect()
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
fn late_arrivals(deployment: &Deployment, target: usize, heard_at: &[Instant]) -> Vec<u128> {
    let arrivals = deployment.targets[target].observed().arrivals;
    let after = arrivals.iter().filter_map(|arrival| {
        let number = usize::from_str_radix(arrival.id.strip_prefix("1e")?, 16).ok()?;
        let heard_at = heard_at[number % heard_at.len()];
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
