//! Customers that identify themselves by keys.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use standin::users::CONFIGURATION_KEY;
use standin::users::configuration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::deployment::Deployment;
use crate::deployment::InstanceProcess;
use crate::deployment::Response;
use crate::deployment::wait_until;

/// Time for which a condition is watched that must hold throughout.
const WATCH_TIME: Duration = Duration::from_secs(1);
const LONG_KEY_BYTES: usize = 8_000;

/// A configuration in which `/read/` needs a key and `/moved/` is public.
fn with_customers(version: u32, customers: Value) -> Value {
    let mut document = configuration(version, "reads");
    document["routes"]["r-moved"]["public"] = true.into();
    document["tenants"] = customers;
    document
}

fn request_text(path: &str, headers: &[(&str, &str)], is_last: bool) -> String {
    let lines: String = headers
        .iter()
        .map(|(name, value)| format!("{name}: {value}\r\n"))
        .collect();
    let last = if is_last { "connection: close\r\n" } else { "" };
    format!(
        "GET {path} HTTP/1.1\r\nhost: a.example\r\nx-attempt-id: 8c01\r\nx-deadline-ms: 8000\r\n{lines}{last}\r\n"
    )
}

async fn send(
    instance: &InstanceProcess,
    path: &str,
    headers: &[(&str, &str)],
) -> Option<Response> {
    let text = request_text(path, headers, true);
    instance.send_text(&text).await
}

async fn status(instance: &InstanceProcess, headers: &[(&str, &str)]) -> Option<u16> {
    let response = send(instance, "/read/a", headers).await;
    response.map(|response| response.status)
}

/// Starts instances with a configuration of customers in force.
async fn start(instances: usize, customers: Value) -> Deployment {
    let deployment = Deployment::start(instances).await;
    put_configuration(&deployment, &with_customers(6, customers)).await;
    deployment
}

/// Writes a configuration and waits until all instances use it.
async fn put_configuration(deployment: &Deployment, document: &Value) {
    let version = document["version"].as_str().expect("a version");
    let number = u64::from_str_radix(version, 16).expect("a hexadecimal version");
    deployment.store.put(CONFIGURATION_KEY, document);
    let logged = format!("event=note-in-force note={number}");
    for instance in &deployment.instances {
        wait_until(&logged, async || {
            instance
                .read_log()
                .lines()
                .any(|line| line.ends_with(&logged))
        })
        .await;
    }
}

fn heads(deployment: &Deployment) -> Vec<String> {
    let targets = deployment.targets.iter();
    targets
        .flat_map(|target| target.observed().heads)
        .map(|head| head.to_ascii_lowercase())
        .collect()
}

/// Guards against requests without a valid key that run, and against refusals of valid long keys.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_a_known_key_is_refused_and_reaches_no_target() {
    let long_key = "k".repeat(LONG_KEY_BYTES);
    let customers = json!({"kilo": {"apiKeys": ["key-kilo", long_key, ""]}, "lima": {}});
    let deployment = start(1, customers).await;
    let instance = &deployment.instances[0];
    let unknown_long_key = "j".repeat(LONG_KEY_BYTES);
    let refused: [&[(&str, &str)]; 9] = [
        &[],
        &[("x-key", "nobody")],
        &[("x-key", "")],
        &[("x-key", &unknown_long_key)],
        &[("x-key", "key-kilo"), ("x-key", "key-kilo")],
        &[("x-key", "key-kilo, key-kilo")],
        &[("x-tenant", "kilo")],
        &[("sniperun-customer", "kilo"), ("sniperun-relayed", "1")],
        &[("sniperun-customer-key", "key-kilo"), ("x-key", "KEY-KILO")],
    ];
    for headers in refused {
        assert_eq!(status(instance, headers).await, Some(401), "{headers:?}");
    }
    assert_eq!(heads(&deployment), Vec::<String>::new());
    for key in ["key-kilo", &long_key] {
        assert_eq!(status(instance, &[("x-key", key)]).await, Some(200));
    }
}

/// Guards against callers that pass as another customer, and against keys that leave the instance.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_gets_the_name_of_the_customer_and_never_the_key() {
    let customers = json!({"kilo": {"apiKeys": ["key-kilo"]}, "lima": {"apiKeys": ["key-lima"]}});
    let deployment = start(1, customers).await;
    let instance = &deployment.instances[0];
    let headers = [
        ("X-Tenant", "lima"),
        ("x-tenant", "admin"),
        ("X-KEY", "key-kilo"),
        ("sniperun-customer", "lima"),
        ("sniperun-customer-key", "key-lima"),
        ("sniperun-relayed", "1"),
        ("connection", "x-tenant, x-key"),
    ];
    assert_eq!(status(instance, &headers).await, Some(200));
    let heads = heads(&deployment);
    let [head] = &heads[..] else {
        panic!("expected one request, got {heads:?}");
    };
    let named = head.lines().filter(|line| *line == "x-tenant: kilo");
    assert_eq!(named.count(), 1, "{head}");
    for hidden in ["lima", "admin", "key-", "sniperun-"] {
        assert!(!head.contains(hidden), "{head}");
    }
    let _ = status(instance, &[("x-key", "key-nobody")]).await;
    let shown = instance.read_log() + &instance.metrics().await;
    assert!(!shown.contains("key-"), "{shown}");
}

/// Guards against public routes that demand a key or pass on what the caller says about customers.
#[tokio::test(flavor = "multi_thread")]
async fn a_public_route_needs_no_key_and_names_no_customer() {
    let deployment = start(1, json!({"kilo": {"apiKeys": ["key-kilo"]}})).await;
    let instance = &deployment.instances[0];
    let callers: [&[(&str, &str)]; 3] = [
        &[],
        &[("x-key", "nobody"), ("x-tenant", "kilo")],
        &[("x-key", "key-kilo")],
    ];
    for headers in callers {
        let response = send(instance, "/moved/a", headers).await;
        assert_eq!(response.map(|response| response.status), Some(200));
    }
    for head in heads(&deployment) {
        assert!(
            !head.contains("x-tenant") && !head.contains("x-key"),
            "{head}"
        );
    }
}

/// A caller's connection that stays open.
struct OpenConnection(TcpStream);

impl OpenConnection {
    async fn open(instance: &InstanceProcess) -> Self {
        let stream = TcpStream::connect(instance.caller_address()).await;
        Self(stream.expect("the instance accepts connections"))
    }

    async fn status(&mut self, key: &str) -> u16 {
        let text = request_text("/read/a", &[("x-key", key)], false);
        let written = self.0.write_all(text.as_bytes()).await;
        written.expect("the connection is open");
        let mut response = String::new();
        loop {
            let mut bytes = [0; 4_096];
            let count = self.0.read(&mut bytes).await;
            let count = count.expect("the connection is open");
            assert!(count > 0, "closed after {response:?}");
            response += &String::from_utf8_lossy(&bytes[..count]);
            let Some((head, body)) = response.split_once("\r\n\r\n") else {
                continue;
            };
            let head = head.to_ascii_lowercase();
            let length = head
                .split("content-length: ")
                .nth(1)
                .and_then(|rest| rest.lines().next()?.parse().ok());
            if length.is_none_or(|length: usize| body.len() >= length) {
                let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
                return status.expect("a status");
            }
        }
    }
}

/// Guards against keys that are checked only when a connection opens, and against keys that are
/// lost while they move from one customer to another.
#[tokio::test(flavor = "multi_thread")]
async fn keys_change_on_open_connections_when_a_configuration_is_in_force() {
    let before = json!({"kilo": {"apiKeys": ["old", "moves"]}, "lima": {"apiKeys": ["lima"]}});
    let deployment = start(1, before).await;
    let instance = &deployment.instances[0];
    let mut connection = OpenConnection::open(instance).await;
    assert_eq!(connection.status("old").await, 200);
    assert_eq!(connection.status("new").await, 401);
    let after = json!({"kilo": {"apiKeys": ["new"]}, "lima": {"apiKeys": ["lima", "moves"]}});
    put_configuration(&deployment, &with_customers(7, after)).await;
    assert_eq!(connection.status("old").await, 401);
    assert_eq!(connection.status("new").await, 200);
    assert_eq!(connection.status("moves").await, 200);
    // Only the key that moved was used by this customer.
    let heads = heads(&deployment);
    let moved = heads.iter().filter(|head| head.contains("x-tenant: lima"));
    assert_eq!(moved.count(), 1, "{heads:?}");
}

/// Guards against a fleet that admits everybody when the last customer is removed.
#[tokio::test(flavor = "multi_thread")]
async fn without_any_customer_all_callers_are_refused() {
    let deployment = start(2, json!({"kilo": {"apiKeys": ["key-kilo"]}})).await;
    for (version, customers) in [(7, json!({"kilo": {"apiKeys": []}})), (8, json!({}))] {
        put_configuration(&deployment, &with_customers(version, customers)).await;
        for instance in &deployment.instances {
            for headers in [&[][..], &[("x-key", "key-kilo")]] {
                assert_eq!(status(instance, headers).await, Some(401), "{headers:?}");
            }
        }
    }
    assert_eq!(heads(&deployment), Vec::<String>::new());
}

/// Guards against a restarted instance that stays with the withdrawn keys of an older copy.
#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_stays_withdrawn_at_an_instance_that_restarts_with_an_older_store() {
    let mut deployment = start(2, json!({"kilo": {"apiKeys": ["old"]}})).await;
    deployment.wait_for_members().await;
    deployment.store.take_copy();
    let after = with_customers(7, json!({"kilo": {"apiKeys": ["new"]}}));
    put_configuration(&deployment, &after).await;
    deployment.store.restore();
    deployment.instances[0].restart();
    for instance in &deployment.instances {
        wait_until("the withdrawn key to be refused", async || {
            status(instance, &[("x-key", "old")]).await == Some(401)
                && status(instance, &[("x-key", "new")]).await == Some(200)
        })
        .await;
    }
    tokio::time::sleep(WATCH_TIME).await;
    for instance in &deployment.instances {
        assert_eq!(status(instance, &[("x-key", "old")]).await, Some(401));
    }
}

/// Guards against an instance that takes a key for unknown, or admits a request, before it has a
/// configuration.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_without_a_configuration_refuses_as_not_ready() {
    let deployment = Deployment::start(0).await;
    deployment.store.remove(CONFIGURATION_KEY);
    let instance = deployment.start_instance();
    wait_until("the instance to accept callers", async || {
        status(&instance, &[]).await.is_some()
    })
    .await;
    for headers in [&[][..], &[("x-key", "key-kilo")]] {
        assert_eq!(status(&instance, headers).await, Some(503));
    }
    assert_eq!(heads(&deployment), Vec::<String>::new());
}

/// Guards against an instance that drops the key of a request that it hands over, and against one
/// that serves such a request without a valid key.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_handed_over_is_served_as_of_its_customer() {
    let mut deployment = start(2, json!({"kilo": {"apiKeys": ["key-kilo"]}})).await;
    deployment.wait_for_members().await;
    let former: Vec<_> = deployment.targets.drain(..2).collect();
    let addresses: Vec<_> = former.iter().map(|target| target.address()).collect();
    drop(former);
    // The fakes stop in the background. A request that one of them still takes has an unknown
    // outcome and is not handed over.
    for address in addresses {
        wait_until("the target to be gone", async || {
            TcpStream::connect(address).await.is_err()
        })
        .await;
    }
    let [first, second] = &deployment.instances[..] else {
        panic!("expected two instances");
    };
    wait_until("a request to be handed over", async || {
        let refused = send(first, "/read/a", &[("x-key", "key-kilo")]).await;
        let refused = refused.expect("the instance did not respond");
        assert_eq!(refused.status, 503, "{refused:?}\n{}", first.read_log());
        first.read_log().contains("event=request-handed-over")
    })
    .await;
    // The other instance has accepted the key: it refuses for lack of targets.
    assert!(first.read_log().contains("answer=503"));
    let relayed = [("sniperun-relayed", "1"), ("x-key", "nobody")];
    assert_eq!(status(second, &relayed).await, Some(401));
    let shown = first.read_log() + &second.read_log();
    assert!(!shown.contains("key-kilo"));
}
