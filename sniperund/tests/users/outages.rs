//! Outages of the store, lost entries or event history, and instances that start meanwhile.

use std::time::Duration;

use standin::StoreFault;
use standin::users::configuration;

use crate::deployment::Deployment;
use crate::deployment::WAIT_TIMEOUT;

use crate::deployment::wait_until;

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_while_the_store_is_unavailable() {
    for fault in [StoreFault::Busy, StoreFault::Reset, StoreFault::Silent] {
        let deployment = Deployment::start(1).await;
        let instance = &deployment.instances[0];
        // Once this change is in force, the instance is watching the store.
        deployment
            .store
            .put("op/config", &configuration(7, "gates"));
        instance.wait_for_log("event=note-in-force note=7").await;
        deployment.store.set_fault(fault);
        instance.wait_for_log("event=registry-lost").await;
        // The routes may be outdated, so an unmatched path gets 503 instead of 404.
        let unknown = instance.send_request("GET", "/none/a", "3d01").await;
        assert_eq!(
            unknown.map(|response| response.status),
            Some(503),
            "{fault:?}"
        );
        for number in 0..10 {
            let id = format!("3e{number:02}");
            let response = instance.send_request("GET", "/read/a", &id).await;
            assert_eq!(
                response.map(|response| response.status),
                Some(200),
                "{fault:?}"
            );
        }
        deployment
            .store
            .put("op/config", &configuration(9, "gates"));
        deployment.store.set_fault(StoreFault::None);
        instance.wait_for_log("event=registry-regained").await;
        instance.wait_for_log("event=note-in-force note=9").await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_that_expire_during_an_outage_are_used_until_they_are_back() {
    let deployment = Deployment::start(1).await;
    let instance = &deployment.instances[0];
    deployment.store.set_fault(StoreFault::Busy);
    instance.wait_for_log("event=registry-lost").await;
    for index in 0..4 {
        deployment.store.remove(&format!("servers/i-{index}"));
    }
    deployment.store.set_fault(StoreFault::None);
    instance.wait_for_log("event=registry-regained").await;
    for number in 0..10 {
        let response = instance
            .send_request("GET", "/read/a", &format!("4f{number:02}"))
            .await;
        assert_eq!(response.map(|response| response.status), Some(200));
    }
    for (index, service) in ["reads", "reads", "gates", "gates"].iter().enumerate() {
        let entry = deployment.targets[index].entry(service, "ready");
        deployment.store.put(&format!("servers/i-{index}"), &entry);
    }
    tokio::time::sleep(Duration::from_millis(2_600)).await;
    let response = instance.send_request("GET", "/read/a", "4f99").await;
    assert_eq!(response.map(|response| response.status), Some(200));
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_are_applied_after_the_event_history_is_lost() {
    let deployment = Deployment::start(1).await;
    let instance = &deployment.instances[0];
    // Once this change is in force, the instance is watching the store.
    deployment
        .store
        .put("op/config", &configuration(7, "gates"));
    instance.wait_for_log("event=note-in-force note=7").await;
    deployment.store.compact();
    instance.wait_for_log("event=registry-history-lost").await;
    deployment
        .store
        .put("op/config", &configuration(9, "gates"));
    instance.wait_for_log("event=note-in-force note=9").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_started_during_an_outage_becomes_ready_after_it() {
    let mut deployment = Deployment::start(0).await;
    deployment.store.set_fault(StoreFault::Busy);
    let process = deployment.start_instance();
    deployment.instances.push(process);
    let instance = &deployment.instances[0];
    wait_until("the readiness check", async || {
        instance.readiness_status().await == Some(503)
    })
    .await;
    let response = instance.send_request("GET", "/read/a", "5a01").await;
    assert_eq!(response.map(|response| response.status), Some(503));
    deployment.store.set_fault(StoreFault::None);
    wait_until("readiness", async || {
        instance.readiness_status().await == Some(200)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unread_log_pipe_blocks_neither_requests_nor_shutdown() {
    let mut deployment = Deployment::start(0).await;
    let process = deployment.start_instance_with(|_| std::process::Stdio::piped());
    deployment.instances.push(process);
    let instance = &deployment.instances[0];
    wait_until("readiness", async || {
        instance.readiness_status().await == Some(200)
    })
    .await;
    for number in 0..2_500 {
        let response = instance
            .send_request("GET", "/read/a", &format!("7c{number:04}"))
            .await;
        assert_eq!(response.map(|response| response.status), Some(200));
    }
    assert!(
        instance
            .metrics()
            .await
            .contains("sniperun_log_lines_dropped_total")
    );
    instance.send_signal("TERM");
    let exit = tokio::time::timeout(WAIT_TIMEOUT, deployment.instances[0].wait_for_exit()).await;
    assert!(exit.expect("the instance did not exit in time").success());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_restarted_during_an_outage_serves_with_the_state_of_its_peers() {
    let mut deployment = Deployment::start(2).await;
    deployment.wait_for_members().await;
    deployment.store.set_fault(StoreFault::Silent);
    deployment.instances[0].restart();
    let restarted = &deployment.instances[0];
    wait_until("readiness without the store", async || {
        restarted.readiness_status().await == Some(200)
    })
    .await;
    let response = restarted.send_request("GET", "/read/a", "7a01").await;
    assert_eq!(response.map(|response| response.status), Some(200));
}
