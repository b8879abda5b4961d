//! Customers over and below their quotas.

use serde_json::json;
use standin::users::CONFIGURATION_KEY;
use standin::users::configuration;

use crate::deployment::Deployment;
use crate::deployment::InstanceProcess;
use crate::deployment::Response;
use crate::deployment::wait_until;

const OVER_QUOTA_STATUS: u16 = 429;
const OVER_QUOTA_CODE: &str = "210";

async fn send(instance: &InstanceProcess, id: &str, key: &str) -> Response {
    let header = format!("x-key: {key}\r\n");
    let response = instance
        .send_request_with("GET", "/read/a", id, &header)
        .await;
    response.expect("the instance did not respond")
}

/// Starts instances whose configuration gives one customer two requests at once and few per second,
/// and another one more than it sends.
async fn start(instances: usize) -> Deployment {
    let deployment = Deployment::start(instances).await;
    deployment.wait_for_members().await;
    let mut document = configuration(6, "reads");
    document["tenants"] = json!({
        "small": {"apiKeys": ["key-small"], "ratePerS": 0.5, "burst": 2},
        "large": {"apiKeys": ["key-large"], "ratePerS": 500, "burst": 200},
    });
    deployment.store.put(CONFIGURATION_KEY, &document);
    for (index, instance) in deployment.instances.iter().enumerate() {
        wait_until("the customers", async || {
            let unknown = send(instance, &format!("7a{index:02}"), "key-unknown").await;
            let known = send(instance, &format!("7d{index:02}"), "key-large").await;
            unknown.status == 401 && known.status == 200
        })
        .await;
    }
    deployment
}

/// Guards against a quota that is not enforced, that refuses other customers, or that each instance
/// allows on its own.
#[tokio::test(flavor = "multi_thread")]
async fn a_customer_over_its_quota_is_refused_and_another_is_served() {
    let deployment = start(2).await;
    let mut refused = Vec::new();
    for number in 0..60 {
        let instance = &deployment.instances[number % 2];
        let id = format!("7b{number:02}");
        let response = send(instance, &id, "key-small").await;
        match response.status {
            200 => {}
            OVER_QUOTA_STATUS => refused.push(response),
            status => panic!("unexpected status {status}: {response:?}"),
        }
        let response = send(instance, &format!("7c{number:02}"), "key-large").await;
        assert_eq!(response.status, 200, "{response:?}");
    }
    assert!(!refused.is_empty(), "no request was refused");
    for response in &refused {
        assert_eq!(
            response.header("sniperun-code"),
            Some(OVER_QUOTA_CODE),
            "{response:?}"
        );
        assert!(response.header("retry-after").is_some(), "{response:?}");
    }
    let reached: usize = deployment
        .targets
        .iter()
        .flat_map(|target| target.observed().heads)
        .filter(|head| head.contains("x-tenant: small"))
        .count();
    assert_eq!(reached, 60 - refused.len());
    let metrics = deployment.instances[0].metrics().await;
    assert!(metrics.contains("sniperun_quota_refused_total"));
    for instance in &deployment.instances {
        assert!(!instance.read_log().contains("key-small"));
    }
}
