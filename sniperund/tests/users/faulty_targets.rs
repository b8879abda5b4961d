//! Faulty targets, and entries of other writers among theirs.

use standin::TargetScript;
use standin::UsersTarget;

use crate::deployment::Deployment;
use crate::deployment::ephemeral_address;
use crate::deployment::wait_until;

const REQUESTS: usize = 20;

#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_neither_end_an_instance_nor_stop_it_following_the_targets() {
    let mut deployment = Deployment::start(1).await;
    let target = &deployment.targets[0];
    let odd = |field: &str, value: &str| {
        let mut entry = target.entry("reads", "ready");
        entry[field] = "odd".into();
        entry.to_string().replace("\"odd\"", value).into_bytes()
    };
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let store = &deployment.store;
    store.put_bytes("servers/i-deep", deep.clone().into_bytes());
    store.put_bytes("servers/i-deeper", odd("slots", &deep));
    store.put_bytes("servers/i-large", odd("slots", "1e999"));
    store.put_bytes("servers/i-larger", odd("born", "99999999999999999999999"));
    store.put_bytes("servers/i-port", odd("address", "\"127.0.0.1:70000\""));
    store.put_bytes("servers/i-bytes", vec![0xff, 0, 0x7b]);
    let id = "i-new";
    let new = UsersTarget::bind(ephemeral_address(), id).await;
    let new = new.expect("failed to start a target");
    store.put(&format!("servers/{id}"), &new.entry("reads", "ready"));
    deployment.instances[0]
        .wait_for_log(&format!("put=\"{id}"))
        .await;
    deployment.targets.push(new);
    let new = deployment.targets.last().expect("there is a new target");
    let instance = &deployment.instances[0];
    wait_until("a request at the new target", async || {
        let response = instance.send_request("GET", "/read/a", "9a01").await;
        assert_eq!(response.map(|response| response.status), Some(200));
        !new.observed().arrivals.is_empty()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_that_is_written_twice_refuses_no_other_request() {
    let deployment = Deployment::start(1).await;
    deployment.targets[0].set_script(TargetScript::ShedsTwice);
    deployment.targets[2].set_script(TargetScript::ShedsTwice);
    let instance = &deployment.instances[0];
    for number in 0..REQUESTS {
        for (method, path) in [("GET", "/read/a"), ("POST", "/command/a")] {
            let id = format!("9b{number:02x}{}", method.len());
            let response = instance.send_request(method, path, &id).await;
            assert_eq!(response.map(|response| response.status), Some(200), "{id}");
            let targets = deployment.targets.iter();
            let ran = targets.flat_map(|target| target.observed().ran);
            assert_eq!(ran.filter(|ran| *ran == id).count(), 1, "{id}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_response_whose_head_breaks_off_is_no_success() {
    let deployment = Deployment::start(1).await;
    for target in &deployment.targets {
        target.set_script(TargetScript::CutsHead);
    }
    let instance = &deployment.instances[0];
    for (method, path) in [("GET", "/read/a"), ("POST", "/command/a")] {
        let response = instance.send_request(method, path, "9c01").await;
        let response = response.expect("the instance did not respond");
        assert_eq!(response.status, 502, "{response:?}");
        assert!(response.is_complete);
    }
}
