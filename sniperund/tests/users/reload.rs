//! Settings that change while an instance runs.

use standin::UsersStore;
use standin::users::configuration;

use crate::deployment::Deployment;
use crate::deployment::any_port;
use crate::deployment::wait_for;

#[tokio::test(flavor = "multi_thread")]
async fn a_reload_stops_nothing() {
    let deployment = Deployment::start(1).await;
    let instance = &deployment.instances[0];
    instance.signal("HUP");
    instance.wait_for_log("event=reload").await;
    let answer = instance.ask("GET", "/read/a", "6b01").await;
    assert_eq!(answer.map(|answer| answer.status), Some(200));
}

#[tokio::test(flavor = "multi_thread")]
async fn another_address_of_the_store_takes_effect_without_a_signal() {
    let deployment = Deployment::start(1).await;
    let instance = &deployment.instances[0];
    let other = UsersStore::bind(any_port()).await.expect("a store starts");
    for (target, service) in deployment
        .targets
        .iter()
        .zip(["reads", "reads", "gates", "gates"])
    {
        other.put(
            &format!("servers/{}", target.id()),
            &target.entry(service, "ready"),
        );
    }
    other.put("op/config", &configuration(9, "gates"));
    let address = other.address().to_string();
    instance.change_settings(|document| {
        document["platform"]["platform"]["address"] = address.into();
    });
    instance.wait_for_log("changed=\"store\"").await;
    wait_for("the other store's configuration", async || {
        let answer = instance.ask("GET", "/moved/a", "6b02").await;
        answer.is_some_and(|answer| answer.body.ends_with("i-2") || answer.body.ends_with("i-3"))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_setting_that_takes_a_restart_is_named() {
    let deployment = Deployment::start(1).await;
    let instance = &deployment.instances[0];
    instance.change_settings(|document| document["self"]["zone"] = "south".into());
    instance.signal("HUP");
    instance
        .wait_for_log("restart_needed=\"data_centre\"")
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_that_do_not_fit_change_nothing() {
    let deployment = Deployment::start(1).await;
    let instance = &deployment.instances[0];
    instance.change_settings(|document| document["self"] = 7.into());
    instance.signal("HUP");
    instance.wait_for_log("event=reload-failed").await;
    let answer = instance.ask("GET", "/read/a", "6b03").await;
    assert_eq!(answer.map(|answer| answer.status), Some(200));
}
