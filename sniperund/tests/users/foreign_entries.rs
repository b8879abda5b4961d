//! Entries of other writers among those of the targets.

use serde_json::Value;
use serde_json::json;
use standin::UsersTarget;

use crate::deployment::Deployment;
use crate::deployment::InstanceProcess;
use crate::deployment::ephemeral_address;
use crate::deployment::wait_until;

const REQUESTS: usize = 40;

/// Names that sort after `i-0`, so that the entry is the last one of the first page.
const NAMES: [&str; 12] = [
    "i-0&x",
    "i-0+x",
    "i-0#x",
    "i-0%00",
    "i-0%2",
    "i-0 ",
    "i-0\"x",
    "i-0\nx",
    "i-0é",
    "i-0?x=1",
    "i-0&pathPrefix=op/",
    // Without an error, the sound entries of the later pages would be skipped.
    "i-0&after=servers/zz",
];

/// Values that name no target to use, at the address of `target`.
fn unusable_values(target: &UsersTarget) -> Vec<Vec<u8>> {
    let sound = target.entry("reads", "ready");
    let changed = |field: &str, value: Value| {
        let mut entry = sound.clone();
        entry[field] = value;
        entry
    };
    let without = |field: &str| {
        let mut entry = sound.clone();
        let fields = entry.as_object_mut().expect("the entry is not an object");
        fields.remove(field);
        entry
    };
    let values = [
        changed("service", json!("unnamed")),
        changed("service", json!(7)),
        changed("state", json!("odd")),
        changed("slots", json!("6")),
        changed("address", json!("nowhere")),
        changed("born", json!(1.5)),
        changed("version", json!(1)),
        changed("seq", json!("1")),
        changed("warmupLeft", json!(0)),
        without("slots"),
        without("version"),
        without("seq"),
        without("warmupLeft"),
        json!([sound]),
        Value::Null,
    ];
    let mut values: Vec<Vec<u8>> = values
        .iter()
        .map(|value| value.to_string().into_bytes())
        .collect();
    values.push(sound.to_string().into_bytes()[..20].to_vec());
    values.push(vec![0xff, 0x00, 0x0a]);
    values.push(Vec::new());
    values
}

async fn start_target(id: &str) -> UsersTarget {
    let target = UsersTarget::bind(ephemeral_address(), id).await;
    target.expect("failed to start a target")
}

/// Ends all instances before any starts again, so that none learns the targets from another.
async fn restart_all(deployment: &mut Deployment) {
    for instance in &mut deployment.instances {
        instance.kill();
    }
    for instance in &mut deployment.instances {
        instance.start();
    }
    for instance in &deployment.instances {
        wait_until("readiness", async || {
            instance.readiness_status().await == Some(200)
        })
        .await;
    }
}

/// Sends reads and commands through all instances until each target of the deployment has got some,
/// and checks that all are served. A target that a busy machine delays gets none for some seconds.
async fn assert_served_by_all_targets(deployment: &Deployment, context: &str) {
    let counts = || {
        let targets = deployment.targets.iter();
        let counts = targets.map(|target| target.observed().ran.len());
        counts.collect::<Vec<usize>>()
    };
    let before = counts();
    let description = format!("requests at all targets with {context}");
    wait_until(&description, async || {
        for number in 0..REQUESTS {
            let instance = &deployment.instances[number % deployment.instances.len()];
            for (method, path) in [("GET", "/read/a"), ("POST", "/command/a")] {
                let id = format!("7b{number:04x}");
                let response = instance.send_request(method, path, &id).await;
                let status = response.map(|response| response.status);
                assert_eq!(status, Some(200), "{path} with {context}");
            }
        }
        let now = counts();
        now.iter().zip(&before).all(|(now, before)| now > before)
    })
    .await;
}

/// Writes the entry of a target that leaves and removes it, and waits until all instances have
/// read this and thus all earlier changes.
async fn wait_until_read(deployment: &Deployment, id: &str) {
    let key = format!("servers/{id}");
    let entry = deployment.targets[0].entry("reads", "draining");
    deployment.store.put(&key, &entry);
    for instance in &deployment.instances {
        wait_until(id, async || {
            let log = instance.read_log();
            let mut changes = log
                .lines()
                .filter(|line| line.contains("event=targets-in-force"));
            changes.any(|line| line.contains(id))
        })
        .await;
    }
    deployment.store.remove(&key);
}

#[tokio::test(flavor = "multi_thread")]
async fn instances_that_start_beside_an_entry_with_any_name_use_all_targets() {
    let mut deployment = Deployment::start(2).await;
    let trap = start_target("i-0").await;
    assert_served_by_all_targets(&deployment, "no other entry").await;
    for name in NAMES {
        let key = format!("servers/{name}");
        // Sound but for its name, then unreadable.
        deployment.store.put(&key, &trap.entry("reads", "ready"));
        for value in [None, Some(b"{\"service\":".to_vec())] {
            if let Some(value) = value {
                deployment.store.put_bytes(&key, value);
            }
            let logged = format!("event=target-entry-unreadable target={name:?} reason=");
            let logs = deployment.instances.iter().map(InstanceProcess::read_log);
            let before: Vec<usize> = logs.map(|log| log.len()).collect();
            restart_all(&mut deployment).await;
            assert_served_by_all_targets(&deployment, &format!("{name:?}")).await;
            for (instance, before) in deployment.instances.iter().zip(before) {
                wait_until(&logged, async || {
                    let log = instance.read_log();
                    log.get(before..).is_some_and(|log| log.contains(&logged))
                })
                .await;
            }
        }
        deployment.store.remove(&key);
    }
    assert_eq!(trap.observed().heads, Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_of_other_writers_get_no_requests_while_they_are_written_changed_and_removed() {
    let mut deployment = Deployment::start(2).await;
    let trap = start_target("i-0z").await;
    for (number, value) in unusable_values(&trap).into_iter().enumerate() {
        for name in ["i-0z", "i-0&z"] {
            deployment
                .store
                .put_bytes(&format!("servers/{name}"), value.clone());
        }
        wait_until_read(&deployment, &format!("i-marker-{number:02}")).await;
        let context = String::from_utf8_lossy(&value).into_owned();
        assert_served_by_all_targets(&deployment, &context).await;
    }
    for name in ["i-0z", "i-0&z"] {
        deployment.store.remove(&format!("servers/{name}"));
    }
    wait_until_read(&deployment, "i-last").await;
    assert_served_by_all_targets(&deployment, "all removed").await;
    restart_all(&mut deployment).await;
    assert_served_by_all_targets(&deployment, "all removed, and a restart").await;
    assert_eq!(trap.observed().heads, Vec::<String>::new());
}

/// Longest line that an entry of another writer may cause, in bytes.
const MAX_LINE_BYTES: usize = 1_024;

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_of_another_writer_adds_no_lines_to_the_log() {
    let mut deployment = Deployment::start(1).await;
    let forged = "x\n\r\u{85}\u{2028}level=error event=forged";
    let mut entry = deployment.targets[0].entry("reads", "ready");
    entry["state"] = json!(forged);
    deployment.store.put(&format!("servers/{forged}"), &entry);
    deployment
        .store
        .put_bytes(&format!("sniperun-instances/{forged}"), Vec::new());
    entry["state"] = json!("long".repeat(100_000));
    deployment.store.put("servers/i-9", &entry);
    // Instances are listed at a start.
    restart_all(&mut deployment).await;
    let instance = &deployment.instances[0];
    instance
        .wait_for_log("event=instance-entry-unreadable")
        .await;
    wait_until_read(&deployment, "i-marker").await;
    let log = instance.read_log();
    let of_entries = || {
        let lines = log.split(['\n', '\r', '\u{85}', '\u{2028}']);
        lines.filter(|line| line.contains("forged") || line.contains("long"))
    };
    assert!(of_entries().count() >= 3, "{log}");
    for line in of_entries() {
        assert!(line.starts_with("time="), "{line:?}");
        assert!(line.len() <= MAX_LINE_BYTES, "{} bytes", line.len());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn many_entries_of_another_writer_add_few_lines_to_the_log() {
    let mut deployment = Deployment::start(1).await;
    for number in 0..200 {
        let key = format!("servers/i-0&{number}");
        deployment.store.put_bytes(&key, Vec::new());
    }
    wait_until_read(&deployment, "i-marker").await;
    let before = unreadable_lines(&deployment);
    restart_all(&mut deployment).await;
    wait_until_read(&deployment, "i-again").await;
    let lines = unreadable_lines(&deployment) - before;
    assert!((1..=100).contains(&lines), "{lines} lines");
}

fn unreadable_lines(deployment: &Deployment) -> usize {
    let log = deployment.instances[0].read_log();
    log.matches("event=target-entry-unreadable").count()
}
