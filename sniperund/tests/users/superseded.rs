//! Requests that are routed by a release to which a newer one exists.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use peers::Counters;
use peers::Sender;
use policy::instance::Envelope;
use policy::instance::Message;
use policy::membership::Member;
use policy::membership::Status;
use serde_json::Value;
use standin::Link;
use standin::TargetScript;
use standin::UsersTarget;
use standin::users::PEERS_PORT;
use standin::users::add_route;
use standin::users::configuration;

use crate::deployment::Deployment;
use crate::deployment::InstanceProcess;
use crate::deployment::ephemeral_address;
use crate::deployment::wait_until;

/// Routes of a configuration that is not sent to peers as a whole.
const IDLE_ROUTES: usize = 150;
/// Time in which instances that have started choose who watches the store.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Bandwidth that limits nothing.
const BYTES_PER_S: f64 = 1e9;

/// A configuration with many routes, and below `/moved/` with `/moved/pay/`, whose requests run at
/// most once, if `has_orders` is set.
fn large_configuration(version: u32, has_orders: bool) -> Value {
    let mut document = configuration(version, "reads");
    for number in 0..IDLE_ROUTES {
        let (name, path) = (format!("r-idle-{number}"), format!("/idle-{number}/"));
        add_route(&mut document, &name, &path, "idempotent");
    }
    if has_orders {
        add_route(&mut document, "r-pay", "/moved/pay/", "non_idempotent");
    }
    document
}

/// Number of targets that have run a request.
fn runs(deployment: &Deployment, id: &str) -> usize {
    let targets = deployment.targets.iter();
    let ran = targets.flat_map(|target| target.observed().ran);
    ran.filter(|ran| ran == id).count()
}

fn lose_answers(deployment: &Deployment) {
    for target in &deployment.targets {
        target.set_script(TargetScript::LosesAnswers);
    }
}

/// Tells an instance, as a peer does, that a release is in force there which nobody has.
fn announce_release(instance: &InstanceProcess, number: u64) {
    let envelope = Envelope {
        from: "edge-north-gone".into(),
        incarnation: 1,
        note: number,
        targets_changed: 0,
        view_age_ms: None,
        member_updates: Vec::new(),
        message: Message::Ping { sequence: 1 },
    };
    let address = SocketAddr::new(instance.caller_address().ip(), PEERS_PORT);
    Sender::new(Arc::new(Counters::default())).send(address, &envelope);
}

/// Guards against an instance that the store turns away and that stays at an older configuration, by
/// which it repeats requests that may run once.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_the_store_turns_away_follows_a_large_configuration() {
    let mut deployment = Deployment::start(2).await;
    let link = Link::start(deployment.store.address(), BYTES_PER_S).await;
    let link = link.expect("failed to start the link");
    let turned_away = deployment.start_instance_at(link.address());
    deployment.instances.push(turned_away);
    deployment.wait_for_members().await;
    let turned_away = &deployment.instances[2];
    wait_until("readiness", async || {
        turned_away.readiness_status().await == Some(200)
    })
    .await;
    deployment
        .store
        .put("op/config", &large_configuration(7, false));
    for instance in &deployment.instances {
        instance.wait_for_log("event=note-in-force note=7\n").await;
    }
    link.set_refusing(true);
    turned_away.wait_for_log("event=registry-lost").await;
    deployment
        .store
        .put("op/config", &large_configuration(9, true));
    turned_away
        .wait_for_log("event=note-in-force note=9\n")
        .await;
    lose_answers(&deployment);
    let answer = turned_away
        .send_request("POST", "/moved/pay/a", "6f01")
        .await;
    assert_eq!(answer.map(|answer| answer.status), Some(502));
    assert_eq!(runs(&deployment, "6f01"), 1);
}

/// Guards against a request that runs twice, since its route was idempotent in a release that the
/// instance knows to be superseded.
#[tokio::test(flavor = "multi_thread")]
async fn no_request_is_repeated_while_a_newer_release_is_known_to_exist() {
    let deployment = Deployment::start(1).await;
    let instance = &deployment.instances[0];
    lose_answers(&deployment);
    announce_release(instance, 99);
    instance
        .wait_for_log("event=release-superseded superseded=true note=5 newest=99\n")
        .await;
    let answer = instance.send_request("GET", "/read/a", "6f02").await;
    assert_eq!(answer.map(|answer| answer.status), Some(502));
    assert_eq!(runs(&deployment, "6f02"), 1);
    // The store has the release, by which the route leads to targets that have lost no answer yet.
    deployment
        .store
        .put("op/config", &configuration(99, "gates"));
    instance
        .wait_for_log("event=release-superseded superseded=false note=99 newest=99\n")
        .await;
    let _ = instance.send_request("GET", "/moved/a", "6f03").await;
    assert_eq!(runs(&deployment, "6f03"), 2);
}

/// Guards against a request that runs twice, since its route was idempotent when it arrived and is not
/// any more when its answer is lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_under_way_is_not_repeated_once_its_route_forbids_it() {
    let deployment = Deployment::start(1).await;
    let instance = &deployment.instances[0];
    tokio::time::sleep(SETTLING_TIME).await;
    lose_answers(&deployment);
    for target in &deployment.targets {
        target.set_work_time(Duration::from_millis(1_000));
    }
    let request = instance.send_request("POST", "/moved/pay/a", "6f04");
    let change = async {
        wait_until("the request to run", async || runs(&deployment, "6f04") > 0).await;
        deployment
            .store
            .put("op/config", &large_configuration(9, true));
    };
    let (answer, ()) = tokio::join!(request, change);
    assert!(
        instance.read_log().contains("event=note-in-force note=9\n"),
        "the release came into force too late for this test"
    );
    assert_eq!(answer.map(|answer| answer.status), Some(502));
    assert_eq!(runs(&deployment, "6f04"), 1);
}

/// Guards against a relayed request that runs twice, since the instance that serves it has an older
/// release than the one that relays it.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_another_instance_relays_as_an_order_is_not_repeated() {
    let relayed = "sniperun-relayed: 1\r\n";
    let order = "sniperun-relayed: 1\r\nsniperun-at-most-once: 1\r\n";
    for (lines, expected_runs) in [(relayed, 2), (order, 1)] {
        let deployment = Deployment::start(1).await;
        lose_answers(&deployment);
        let _ = deployment.instances[0]
            .send_request_with("GET", "/read/a", "6f05", lines)
            .await;
        assert_eq!(runs(&deployment, "6f05"), expected_runs, "{lines}");
        let heads = deployment.targets.iter();
        let mut heads = heads.flat_map(|target| target.observed().heads);
        assert!(heads.all(|head| !head.contains("sniperun-")));
    }
}

/// Guards against an instance that hands an order over without a word that it must run once, as the
/// other instance may route it by an older release.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_that_is_handed_over_is_marked() {
    let mut deployment = Deployment::start(0).await;
    let helper = UsersTarget::bind(ephemeral_address(), "i-helper").await;
    let helper = helper.expect("failed to start the helper");
    let member = Member {
        id: "edge-north-helper".into(),
        data_centre: "north".into(),
        caller_address: helper.address(),
        peer_address: helper.address(),
        incarnation: 1,
        status: Status::Alive,
    };
    let member = serde_json::to_value(member).expect("a member has a JSON form");
    deployment
        .store
        .put("sniperun-instances/edge-north-helper", &member);
    let instance = deployment.start_instance();
    wait_until("readiness", async || {
        instance.readiness_status().await == Some(200)
    })
    .await;
    deployment.targets.clear();
    for (method, path, is_marked) in [("GET", "/read/a", false), ("POST", "/command/a", true)] {
        let mut relayed = None;
        wait_until("a request to be handed over", async || {
            let _ = instance.send_request(method, path, "6f06").await;
            let heads = helper.observed().heads.into_iter();
            let mut heads = heads.filter(|head| head.starts_with(method));
            relayed = heads.next();
            relayed.is_some()
        })
        .await;
        let head = relayed.unwrap_or_default();
        assert!(head.contains("sniperun-relayed: 1"), "{head}");
        let has_mark = head.contains("sniperun-at-most-once: 1");
        assert_eq!(has_mark, is_marked, "{head}");
    }
}
