//! Services whose targets an instance cannot connect to.

use standin::UsersTarget;

use crate::deployment::Deployment;
use crate::deployment::wait_until;

const READ_TARGETS: usize = 2;
const CONNECT_FAILED: &str = "301";

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_handed_to_another_instance_once_and_sent_directly_when_targets_are_back() {
    let mut deployment = Deployment::start(2).await;
    deployment.wait_for_members().await;
    let former: Vec<UsersTarget> = deployment.targets.drain(..READ_TARGETS).collect();
    let restart: Vec<_> = former
        .iter()
        .map(|target| (target.address(), target.id().to_owned()))
        .collect();
    drop(former);
    let [first, second] = &deployment.instances[..] else {
        panic!("expected two instances");
    };
    wait_until("a request to be handed over", async || {
        let refused = first.send_request("GET", "/read/a", "7a01").await;
        let refused = refused.expect("the instance did not respond");
        assert_eq!(refused.status, 503, "{refused:?}");
        assert_eq!(refused.header("sniperun-code"), Some(CONNECT_FAILED));
        first.read_log().contains("event=request-handed-over")
    })
    .await;
    assert!(!second.read_log().contains("event=request-handed-over"));
    first.wait_for_log("event=service-unreachable").await;
    let mut targets = Vec::new();
    for (address, id) in restart {
        let target = UsersTarget::bind(address, &id).await;
        targets.push(target.expect("failed to start a target again"));
    }
    wait_until("the service to be reached again", async || {
        let _ = first.send_request("GET", "/read/a", "7a02").await;
        first.read_log().contains("event=service-reached")
    })
    .await;
    let before = first
        .read_log()
        .matches("event=request-handed-over")
        .count();
    wait_until("a request to be served directly", async || {
        let response = first.send_request("GET", "/read/a", "7a03").await;
        response.is_some_and(|response| response.status == 200)
    })
    .await;
    let heads = targets.iter().flat_map(|target| target.observed().heads);
    assert!(
        heads
            .into_iter()
            .all(|head| !head.contains("sniperun-relayed"))
    );
    let after = first
        .read_log()
        .matches("event=request-handed-over")
        .count();
    assert_eq!(before, after, "handed over although the service is reached");
}
