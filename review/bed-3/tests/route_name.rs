//! The operator adds a route whose name has a letter outside ASCII, and moves another one.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use standin::UsersStore;
use standin::users::CONFIGURATION_KEY;
use standin::users::configuration;
use standin::users::wire::RawMessage;

use super::Instance;
use super::Record;
use super::block_address;
use super::exchange;
use super::target::Run;
use super::target::Target;

/// Times from the start.
const CHANGE: Duration = Duration::from_secs(2);
const NEXT_CHANGE: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(18);
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
const PERIOD: Duration = Duration::from_millis(100);

struct Sent {
    id: String,
    machine: &'static str,
    path: &'static str,
    at: Duration,
    answer: String,
}

/// Builds the first version, or a later one, in which `/moved/` leads to another service and
/// `/availability/` is new.
fn document(version: u32, added_route: Option<&str>) -> Value {
    let service = if added_route.is_some() {
        "gates"
    } else {
        "reads"
    };
    let mut document = configuration(version, service);
    if let Some(name) = added_route {
        let mut route = document["routes"]["r-read"].clone();
        route["pathPrefix"] = json!("/availability/");
        document["routes"][name] = route;
    }
    document
}

async fn wait_until(start: Instant, at: Duration) {
    tokio::time::sleep_until((start + at).into()).await;
}

async fn send_all(
    start: Instant,
    machine: &'static str,
    front: SocketAddr,
    sent: Arc<Mutex<Vec<Sent>>>,
) {
    let mut number = 0;
    while start.elapsed() < END {
        number += 1;
        let id = format!("{machine}{number:08x}");
        let path = ["/moved/item", "/availability/item"][number % 2];
        let sent = sent.clone();
        tokio::spawn(async move {
            let at = start.elapsed();
            let text = RawMessage::request("GET", path, &id, 3_000, "");
            let answer = match exchange(front, &text).await {
                Ok(message) => message.head.lines().next().unwrap_or("").to_owned(),
                Err(error) => format!("no answer, {error}"),
            };
            sent.lock().unwrap().push(Sent {
                id,
                machine,
                path,
                at,
                answer,
            });
        });
        tokio::time::sleep(PERIOD).await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
}

/// Returns whether the rule held.
pub async fn run(trouble: bool, folder: &std::path::Path, record: &mut Record) -> io::Result<bool> {
    let store = UsersStore::bind("127.0.0.1:0".parse().unwrap()).await?;
    let mut targets = Vec::new();
    for service in ["reads", "gates"] {
        for number in 0..3 {
            let id = format!("i-{service}-{number}");
            let target = Target::start(&id).await?;
            store.put(&format!("servers/{id}"), &target.entry(service));
            targets.push(target);
        }
    }
    store.put(CONFIGURATION_KEY, &document(5, None));
    let mut machines = Vec::new();
    for (number, name) in ["a", "b", "c"].into_iter().enumerate() {
        let id = format!("edge-north-{}", number + 1);
        let ip = block_address(number as u8 + 1);
        machines.push((name, Instance::start(&id, ip, store.address(), folder)?));
    }
    for (_, instance) in &machines {
        instance.wait_until_ready().await?;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;

    let start = Instant::now();
    let sent = Arc::new(Mutex::new(Vec::new()));
    let senders: Vec<_> = machines
        .iter()
        .map(|(name, instance)| tokio::spawn(send_all(start, name, instance.front, sent.clone())))
        .collect();
    let name = if trouble {
        "r-verfügbarkeit"
    } else {
        "r-verfuegbarkeit"
    };
    let mut acks = Vec::new();
    for (at, version) in [(CHANGE, 9), (NEXT_CHANGE, 12)] {
        wait_until(start, at).await;
        store.put(CONFIGURATION_KEY, &document(version, Some(name)));
        acks.push(start.elapsed());
        record.line(format!(
            "{:6} ms  ack of version {version}: route {name} is there, /moved/ leads to gates",
            start.elapsed().as_millis()
        ));
    }
    for sender in senders {
        sender.await.map_err(io::Error::other)?;
    }

    let mut runs: HashMap<String, Run> = HashMap::new();
    for run in targets.iter().flat_map(Target::runs) {
        runs.insert(run.id.clone(), run);
    }
    let mut sent = std::mem::take(&mut *sent.lock().unwrap());
    sent.sort_by_key(|request| request.at);
    let is_old = |request: &Sent| {
        let ran_at = runs.get(&request.id).map_or("", |run| run.target.as_str());
        let is_late = request.at > acks[0] + CONFIG_APPLY;
        let is_refused = request.answer.contains(" 404 ");
        is_late && (is_refused || request.path == "/moved/item" && ran_at.starts_with("i-reads"))
    };
    let mut holds = true;
    for (name, _) in &machines {
        let own: Vec<&Sent> = sent
            .iter()
            .filter(|request| request.machine == *name)
            .collect();
        let old = own.iter().filter(|request| is_old(request)).count();
        let refused = own.iter().filter(|request| is_old(request));
        let refused = refused
            .filter(|request| request.answer.contains(" 404 "))
            .count();
        let line = format!(
            "machine {name}: {} requests, {old} handled as only the older version allows, {refused} of these with 404",
            own.len()
        );
        println!("{line}");
        record.line(line);
        holds &= old == 0;
    }
    for request in &sent {
        let run = runs.get(&request.id);
        record.line(format!(
            "  {} GET {} sent {:6} ms, {}; {}{}",
            request.id,
            request.path,
            request.at.as_millis(),
            request.answer,
            run.map_or("not run".to_owned(), |run| format!("run by {}", run.target)),
            if is_old(request) { "  << old" } else { "" },
        ));
    }
    Ok(holds)
}
