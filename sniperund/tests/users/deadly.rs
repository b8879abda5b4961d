//! Requests that crash the targets that run them.

use standin::TargetScript;
use standin::UsersTarget;

use crate::deployment::Deployment;
use crate::deployment::ephemeral_address;
use crate::deployment::wait_until;

const READ_TARGETS: usize = 2;

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashed_three_targets_is_refused_by_all_instances() {
    let mut deployment = Deployment::start(2).await;
    deployment.wait_for_members().await;
    let mut started = 0;
    let mut sent = 0;
    let is_quarantined = |log: String| log.contains("event=request-quarantined");
    while !is_quarantined(deployment.instances[0].read_log()) {
        assert!(sent < 20, "not quarantined after {sent} requests");
        for target in &deployment.targets[..READ_TARGETS] {
            target.set_script(TargetScript::Crashes);
        }
        let id = format!("6d{sent:04x}");
        let instance = &deployment.instances[sent % 2];
        let response = instance.send_request("GET", "/read/deadly", &id).await;
        let response = response.expect("the instance did not respond");
        assert_ne!(response.status, 200, "{response:?}");
        sent += 1;
        for index in 0..READ_TARGETS {
            started += 1;
            let id = format!("i-9{started}");
            let target = UsersTarget::bind(ephemeral_address(), &id).await;
            let target = target.expect("failed to start a target");
            let former = std::mem::replace(&mut deployment.targets[index], target);
            let target = &deployment.targets[index];
            let store = &deployment.store;
            store.remove(&format!("servers/{}", former.id()));
            store.put(&format!("servers/{id}"), &target.entry("reads", "ready"));
            for instance in &deployment.instances {
                instance.wait_for_log(&format!("put=\"{id}")).await;
            }
        }
    }
    for instance in &deployment.instances {
        instance.wait_for_log("event=request-quarantined").await;
        let refused = instance.send_request("GET", "/read/deadly", "6e01").await;
        let refused = refused.expect("the instance did not respond");
        assert_eq!(refused.status, 503, "{refused:?}");
        let retry_after = refused.header("retry-after");
        let retry_after_s: f64 = retry_after
            .and_then(|text| text.parse().ok())
            .expect("the refusal says when to come back");
        assert!(retry_after_s > 500.0, "{retry_after_s}");
        wait_until("another request to be served", async || {
            let other = instance.send_request("GET", "/read/harmless", "6e02").await;
            other.is_some_and(|response| response.status == 200)
        })
        .await;
        assert!(instance.metrics().await.contains("requests_quarantined 1"));
    }
    for target in &deployment.targets[..READ_TARGETS] {
        let heads = target.observed().heads;
        assert!(!heads.iter().any(|head| head.contains("/read/deadly")));
    }
}
