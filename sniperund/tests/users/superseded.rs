//! Requests that are routed by a release to which a newer one exists.

use serde_json::Value;
use serde_json::json;
use standin::Link;
use standin::TargetScript;
use standin::users::configuration;

use crate::deployment::Deployment;
use crate::deployment::wait_until;

/// Routes of a configuration that is not sent to peers as a whole.
const IDLE_ROUTES: usize = 150;
/// Bandwidth that limits nothing.
const BYTES_PER_S: f64 = 1e9;

/// A configuration with many routes, and below `/moved/` with `/moved/pay/`, whose requests run at
/// most once, if `has_orders` is set.
fn large_configuration(version: u32, has_orders: bool) -> Value {
    let mut document = configuration(version, "reads");
    let base = document["routes"]["r-moved"].clone();
    for number in 0..IDLE_ROUTES {
        let mut route = base.clone();
        route["pathPrefix"] = json!(format!("/idle-{number}/"));
        document["routes"][format!("r-idle-{number}")] = route;
    }
    if has_orders {
        let mut route = base;
        route["pathPrefix"] = json!("/moved/pay/");
        route["kind"] = json!("non_idempotent");
        document["routes"]["r-pay"] = route;
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
