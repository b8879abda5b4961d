//! Targets whose responses bear a status that no final response of HTTP has.

use standin::TargetScript;

use crate::deployment::Deployment;
use crate::deployment::wait_until;

const ODD_STATUSES: [u16; 7] = [0, 1, 99, 101, 199, 600, 999];

/// Guards against passing such a response on: a target in trouble may send the status 000. It
/// counts as a failed attempt that may have run, so that another target serves a read.
#[tokio::test(flavor = "multi_thread")]
async fn a_status_that_is_none_of_http_reaches_no_caller() {
    for status in ODD_STATUSES {
        let deployment = Deployment::start(1).await;
        deployment.targets[0].set_script(TargetScript::Status(status));
        let instance = &deployment.instances[0];
        instance.wait_for_log("event=retry-reserve").await;
        // Nothing says which target gets a read, so reads go on until this one has run one.
        let mut sent = 0;
        wait_until("a read at the target", async || {
            for _ in 0..6 {
                let id = format!("7a{status:04}{sent:04}");
                sent += 1;
                let response = instance.send_request("GET", "/read/a", &id).await;
                let response = response.expect("the instance did not respond");
                assert_eq!(response.status, 200, "{status}: {response:?}");
            }
            !deployment.targets[0].observed().ran.is_empty()
        })
        .await;
    }
}

/// A command may have run at such a target, so it is neither sent again nor refused as not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_command_with_such_a_response_has_an_unknown_outcome() {
    for status in ODD_STATUSES {
        let deployment = Deployment::start(1).await;
        for target in &deployment.targets {
            target.set_script(TargetScript::Status(status));
        }
        let id = format!("7b{status:04}");
        let instance = &deployment.instances[0];
        let response = instance.send_request("POST", "/command/a", &id).await;
        let response = response.expect("the instance did not respond");
        assert_eq!(response.status, 502, "{status}: {response:?}");
        let targets = deployment.targets.iter();
        let ran = targets.flat_map(|target| target.observed().ran);
        assert_eq!(ran.filter(|ran| *ran == id).count(), 1, "{status}");
    }
}
