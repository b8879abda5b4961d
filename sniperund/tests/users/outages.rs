//! The store away, forgetful or partly so, and instances that start then.

use std::time::Duration;

use standin::StoreFault;
use standin::users::configuration;

use crate::deployment::Deployment;
use crate::deployment::PATIENCE;

use crate::deployment::wait_for;

#[tokio::test(flavor = "multi_thread")]
async fn requests_go_on_while_the_store_is_away() {
    for fault in [StoreFault::Busy, StoreFault::Reset, StoreFault::Silent] {
        let deployment = Deployment::start(1).await;
        let instance = &deployment.instances[0];
        // A change that is heard shows that the instance watches.
        deployment
            .store
            .put("op/config", &configuration(7, "gates"));
        instance.wait_for_log("event=note-in-force note=7").await;
        deployment.store.set_fault(fault);
        instance.wait_for_log("event=registry-lost").await;
        // What may be outdated is not called unknown.
        let unknown = instance.ask("GET", "/none/a", "3d01").await;
        assert_eq!(unknown.map(|answer| answer.status), Some(503), "{fault:?}");
        for number in 0..10 {
            let id = format!("3e{number:02}");
            let answer = instance.ask("GET", "/read/a", &id).await;
            assert_eq!(answer.map(|answer| answer.status), Some(200), "{fault:?}");
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
async fn entries_that_lapse_in_an_outage_are_used_until_they_are_back() {
    let deployment = Deployment::start(1).await;
    let instance = &deployment.instances[0];
    deployment.store.set_fault(StoreFault::Busy);
    instance.wait_for_log("event=registry-lost").await;
    for at in 0..4 {
        deployment.store.remove(&format!("servers/i-{at}"));
    }
    deployment.store.set_fault(StoreFault::None);
    instance.wait_for_log("event=registry-regained").await;
    for number in 0..10 {
        let answer = instance
            .ask("GET", "/read/a", &format!("4f{number:02}"))
            .await;
        assert_eq!(answer.map(|answer| answer.status), Some(200));
    }
    for (at, service) in ["reads", "reads", "gates", "gates"].iter().enumerate() {
        let entry = deployment.targets[at].entry(service, "ready");
        deployment.store.put(&format!("servers/i-{at}"), &entry);
    }
    tokio::time::sleep(Duration::from_millis(2_600)).await;
    let answer = instance.ask("GET", "/read/a", "4f99").await;
    assert_eq!(answer.map(|answer| answer.status), Some(200));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_history_that_is_lost_is_read_anew() {
    let deployment = Deployment::start(1).await;
    let instance = &deployment.instances[0];
    // A change that is heard shows that the instance watches.
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
async fn an_instance_that_starts_without_the_store_becomes_ready_with_it() {
    let mut deployment = Deployment::start(0).await;
    deployment.store.set_fault(StoreFault::Busy);
    let process = deployment.start_instance();
    deployment.instances.push(process);
    let instance = &deployment.instances[0];
    wait_for("the address", async || instance.ready().await == Some(503)).await;
    let answer = instance.ask("GET", "/read/a", "5a01").await;
    assert_eq!(answer.map(|answer| answer.status), Some(503));
    deployment.store.set_fault(StoreFault::None);
    wait_for("readiness", async || instance.ready().await == Some(200)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_log_that_nobody_reads_delays_nothing() {
    let mut deployment = Deployment::start(0).await;
    let process = deployment.start_instance_with(|_| std::process::Stdio::piped());
    deployment.instances.push(process);
    let instance = &deployment.instances[0];
    wait_for("readiness", async || instance.ready().await == Some(200)).await;
    for number in 0..2_500 {
        let answer = instance
            .ask("GET", "/read/a", &format!("7c{number:04}"))
            .await;
        assert_eq!(answer.map(|answer| answer.status), Some(200));
    }
    assert!(
        instance
            .metrics()
            .await
            .contains("sniperun_log_lines_dropped_total")
    );
    instance.signal("TERM");
    let ended = tokio::time::timeout(PATIENCE, deployment.instances[0].ended()).await;
    assert!(ended.expect("the instance ends").success());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_restarts_while_the_store_is_away_serves_what_peers_know() {
    let mut deployment = Deployment::start(2).await;
    deployment.wait_for_members().await;
    deployment.store.set_fault(StoreFault::Silent);
    deployment.instances[0].restart();
    let restarted = &deployment.instances[0];
    wait_for("readiness without the store", async || {
        restarted.ready().await == Some(200)
    })
    .await;
    let answer = restarted.ask("GET", "/read/a", "7a01").await;
    assert_eq!(answer.map(|answer| answer.status), Some(200));
}
