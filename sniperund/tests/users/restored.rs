//! A store that comes back from a copy some seconds old.

use std::time::Duration;
use std::time::Instant;

use standin::StoreFault;
use standin::UsersTarget;

use crate::deployment::Deployment;
use crate::deployment::ephemeral_address;

/// Time for which the store is away before it is restored.
const AWAY: Duration = Duration::from_millis(500);
/// The users' `drain`: time in which a leaving target may still get requests.
const DRAIN: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(10);

struct Callers {
    sent: usize,
}

impl Callers {
    /// Sends requests for a time; returns the ids of those that were not served.
    async fn send_for(&mut self, deployment: &Deployment, time: Duration) -> Vec<String> {
        let until = Instant::now() + time;
        let mut failed = Vec::new();
        while Instant::now() < until {
            self.sent += 1;
            let id = format!("2e{:04x}", self.sent);
            let instance = &deployment.instances[self.sent % deployment.instances.len()];
            let response = instance.send_request("GET", "/read/a", &id).await;
            if response.is_none_or(|response| response.status != 200) {
                failed.push(id);
            }
            tokio::time::sleep(PAUSE).await;
        }
        failed
    }
}

fn arrivals(target: &UsersTarget) -> usize {
    target.observed().arrivals.len()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restored_store_brings_no_left_target_back_and_its_later_changes_are_in_force() {
    let mut deployment = Deployment::start(2).await;
    let mut callers = Callers { sent: 0 };
    deployment.store.take_copy();
    // What the copy lacks: a target leaves, and another one joins.
    let left = deployment.targets[0].entry("reads", "draining");
    deployment.store.put("servers/i-0", &left);
    deployment.store.remove("servers/i-0");
    let joined = UsersTarget::bind(ephemeral_address(), "i-9").await;
    let joined = joined.expect("failed to start a target");
    let entry = joined.entry("reads", "ready");
    deployment.store.put("servers/i-9", &entry);
    deployment.targets.push(joined);
    for instance in &deployment.instances {
        instance.wait_for_log("put=\"i-9\"").await;
    }
    let mut failed = callers.send_for(&deployment, DRAIN).await;
    let before = arrivals(&deployment.targets[0]);
    deployment.store.set_fault(StoreFault::Reset);
    tokio::time::sleep(AWAY).await;
    deployment.store.restore();
    deployment.store.set_fault(StoreFault::None);
    let before_joined = arrivals(&deployment.targets[4]);
    failed.extend(callers.send_for(&deployment, Duration::from_secs(1)).await);
    deployment.store.put("servers/i-9", &entry);
    failed.extend(callers.send_for(&deployment, DRAIN).await);
    let again = arrivals(&deployment.targets[0]) - before;
    assert_eq!(again, 0, "requests at a target that had left");
    let kept = arrivals(&deployment.targets[4]) - before_joined;
    assert!(
        kept > 10,
        "{kept} requests at a target that is missing from the copy"
    );
    deployment.store.remove("servers/i-0");
    // A revision that was given out before.
    let leaving = deployment.targets[1].entry("reads", "draining");
    deployment.store.put("servers/i-1", &leaving);
    failed.extend(callers.send_for(&deployment, DRAIN).await);
    let before = arrivals(&deployment.targets[1]);
    failed.extend(callers.send_for(&deployment, DRAIN).await);
    let late = arrivals(&deployment.targets[1]) - before;
    assert_eq!(
        late, 0,
        "requests at a target that leaves after the restoration"
    );
    assert_eq!(failed, Vec::<String>::new());
}
