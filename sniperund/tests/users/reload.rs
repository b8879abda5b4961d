//! Changes of the settings while an instance runs.

use standin::UsersStore;
use standin::users::configuration;

use crate::deployment::Deployment;
use crate::deployment::ephemeral_address;
use crate::deployment::wait_until;

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_after_a_reload() {
    let deployment = Deployment::start(1).await;
    let instance = &deployment.instances[0];
    instance.send_signal("HUP");
    instance.wait_for_log("event=reload").await;
    let response = instance.send_request("GET", "/read/a", "6b01").await;
    assert_eq!(response.map(|response| response.status), Some(200));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_changed_store_address_takes_effect_without_a_signal() {
    let deployment = Deployment::start(1).await;
    let instance = &deployment.instances[0];
    let other_store = UsersStore::bind(ephemeral_address())
        .await
        .expect("failed to start a store");
    for (target, service) in deployment
        .targets
        .iter()
        .zip(["reads", "reads", "gates", "gates"])
    {
        other_store.put(
            &format!("servers/{}", target.id()),
            &target.entry(service, "ready"),
        );
    }
    other_store.put("op/config", &configuration(9, "gates"));
    let address = other_store.address().to_string();
    instance.change_settings(|document| {
        document["platform"]["platform"]["address"] = address.into();
    });
    instance.wait_for_log("changed=\"store\"").await;
    wait_until("the configuration of the other store", async || {
        let response = instance.send_request("GET", "/moved/a", "6b02").await;
        response.is_some_and(|response| {
            response.body.ends_with("i-2") || response.body.ends_with("i-3")
        })
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_changed_setting_that_needs_a_restart_is_logged() {
    let deployment = Deployment::start(1).await;
    let instance = &deployment.instances[0];
    instance.change_settings(|document| document["self"]["zone"] = "south".into());
    instance.send_signal("HUP");
    instance
        .wait_for_log("restart_needed=\"data_centre\"")
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reload_with_invalid_settings_changes_nothing() {
    let deployment = Deployment::start(1).await;
    let instance = &deployment.instances[0];
    instance.change_settings(|document| document["self"] = 7.into());
    instance.send_signal("HUP");
    instance.wait_for_log("event=reload-failed").await;
    let response = instance.send_request("GET", "/read/a", "6b03").await;
    assert_eq!(response.map(|response| response.status), Some(200));
}
