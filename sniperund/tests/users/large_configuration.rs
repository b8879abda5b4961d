//! Configurations as large as a value of the store may be, over small links to the store.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use standin::Link;
use standin::users::configuration;

use crate::deployment::Deployment;
use crate::deployment::wait_until;

/// Bandwidth of the smallest links of the users' deployments: 10 Mbit/s.
const BYTES_PER_S: f64 = 10e6 / 8.0;
/// Time in which instances that have started choose who watches the store, and in which a configuration
/// in force would be read again.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Size of the largest value of the store, in bytes.
const VALUE_BYTES: usize = 1_048_576;

/// A configuration with many routes `/pN/`, which lead to the same service as `/moved/`; returns it
/// with the number of these routes.
fn large_configuration(version: u32, moved_to: &str) -> (Value, usize) {
    let mut document = configuration(version, moved_to);
    let mut free_bytes = VALUE_BYTES - document.to_string().len();
    let mut count = 0;
    loop {
        let route = json!({
            "host": "a.example", "pathPrefix": format!("/p{count}/"), "kind": "idempotent",
            "service": moved_to, "timeout": "3000ms", "latencySlo": "2000ms",
        });
        let name = format!("r-{count}");
        let bytes = name.len() + route.to_string().len() + ": ,\"\"".len();
        if bytes > free_bytes {
            return (document, count);
        }
        free_bytes -= bytes;
        document["routes"][name] = route;
        count += 1;
    }
}

/// Starts a deployment whose later instances reach the store over a small link each.
async fn start_with_small_links(instances: usize) -> (Deployment, Vec<Link>) {
    let mut deployment = Deployment::start(1).await;
    let mut links = Vec::new();
    for _ in 0..instances {
        let link = Link::start(deployment.store.address(), BYTES_PER_S).await;
        let link = link.expect("failed to start the link");
        let instance = deployment.start_instance_at(link.address());
        deployment.instances.push(instance);
        links.push(link);
    }
    wait_until_ready(&deployment).await;
    (deployment, links)
}

async fn wait_until_ready(deployment: &Deployment) {
    for instance in &deployment.instances {
        wait_until("readiness", async || {
            instance.readiness_status().await == Some(200)
        })
        .await;
    }
}

async fn wait_until_in_force(deployment: &Deployment, version: u32) {
    for instance in &deployment.instances {
        let line = format!("event=note-in-force note={version}\n");
        instance.wait_for_log(&line).await;
    }
}

/// Sends requests through each instance, and checks that all are run by targets of `service` and none
/// by others. A read that a busy machine delays may run twice.
async fn assert_run_by(deployment: &Deployment, service: &str, path: &str) {
    let ran = |is_expected: bool| {
        let targets = deployment
            .targets
            .iter()
            .zip(["reads", "reads", "gates", "gates"]);
        let counted = targets.filter(|(_, of)| (*of == service) == is_expected);
        counted
            .map(|(target, _)| target.observed().ran.len())
            .sum::<usize>()
    };
    let (before, before_elsewhere) = (ran(true), ran(false));
    for (number, instance) in deployment.instances.iter().enumerate() {
        let id = format!("8c{number:04x}");
        let response = instance.send_request("GET", path, &id).await;
        let status = response.map(|response| response.status);
        assert_eq!(status, Some(200), "{path} at instance {number}");
    }
    assert!(ran(true) - before >= deployment.instances.len(), "{path}");
    assert_eq!(ran(false), before_elsewhere, "{path}");
}

/// Guards against instances that go on with an older configuration, since the time limit of a call is
/// over before the new one has passed their link.
#[tokio::test(flavor = "multi_thread")]
async fn instances_on_small_links_follow_a_configuration_that_has_grown() {
    let (deployment, _links) = start_with_small_links(2).await;
    deployment.wait_for_members().await;
    for (version, service) in [(7, "reads"), (9, "gates"), (11, "reads")] {
        let (document, routes) = large_configuration(version, service);
        deployment.store.put("op/config", &document);
        wait_until_in_force(&deployment, version).await;
        let last = format!("/p{}/a", routes - 1);
        assert_run_by(&deployment, service, &last).await;
        assert_run_by(&deployment, service, "/moved/a").await;
    }
}

/// Guards against instances that are never ready after all have ended, since none can read the
/// configuration and no other has it.
#[tokio::test(flavor = "multi_thread")]
async fn instances_on_small_links_start_with_a_large_configuration() {
    let (mut deployment, _links) = start_with_small_links(2).await;
    let (document, routes) = large_configuration(7, "gates");
    deployment.store.put("op/config", &document);
    // The first instance has a fast link, and would give the others its configuration.
    deployment.instances.remove(0);
    for instance in &mut deployment.instances {
        instance.kill();
    }
    for instance in &mut deployment.instances {
        instance.start();
    }
    wait_until_ready(&deployment).await;
    let last = format!("/p{}/a", routes - 1);
    assert_run_by(&deployment, "gates", &last).await;
}

/// Guards against instances that read a large configuration again while they read it, as they take longer
/// than the interval at which they learn that they are behind.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_configuration_is_read_once_over_a_small_link() {
    let (deployment, links) = start_with_small_links(2).await;
    deployment.wait_for_members().await;
    // From now on all of these few instances watch the store.
    tokio::time::sleep(SETTLING_TIME).await;
    let former_bytes: Vec<u64> = links.iter().map(Link::forwarded_bytes).collect();
    let (document, _) = large_configuration(7, "gates");
    deployment.store.put("op/config", &document);
    wait_until_in_force(&deployment, 7).await;
    tokio::time::sleep(SETTLING_TIME).await;
    let encoded_bytes = document.to_string().len() as u64 * 4 / 3;
    for (link, former_bytes) in links.iter().zip(former_bytes) {
        let bytes = link.forwarded_bytes() - former_bytes;
        // Besides, a part of the watch that was replaced by the read.
        assert!(bytes < 2 * encoded_bytes, "{bytes} bytes were read");
    }
}

/// Guards against instances that deny routes of a configuration that they are still reading, although
/// they know of it from others.
#[tokio::test(flavor = "multi_thread")]
async fn instances_that_are_behind_do_not_deny_new_routes() {
    let mut deployment = Deployment::start(1).await;
    // The configuration takes seconds.
    let link = Link::start(deployment.store.address(), BYTES_PER_S / 5.0).await;
    let link = link.expect("failed to start the link");
    let behind = deployment.start_instance_at(link.address());
    deployment.instances.push(behind);
    wait_until_ready(&deployment).await;
    deployment.wait_for_members().await;
    let (document, routes) = large_configuration(7, "reads");
    deployment.store.put("op/config", &document);
    let last = format!("/p{}/a", routes - 1);
    let mut statuses = Vec::new();
    wait_until("the new route", async || {
        let number = statuses.len();
        let id = format!("9d{number:04x}");
        let response = deployment.instances[1]
            .send_request("GET", &last, &id)
            .await;
        let status = response.map_or(0, |response| response.status);
        statuses.push(status);
        status == 200
    })
    .await;
    // Until a message of the other instance arrives, the instance cannot know of the configuration.
    statuses.dedup();
    assert!(
        matches!(statuses[..], [503, 200] | [404, 503, 200]),
        "{statuses:?}"
    );
}
