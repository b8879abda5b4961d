//! A target starts again under its id while the store is down, and says that it leaves.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use standin::StoreFault;
use standin::UsersStore;
use standin::users::CONFIGURATION_KEY;
use standin::users::configuration;
use standin::users::wire::RawMessage;
use standin::users::wire::header;

use super::Instance;
use super::Record;
use super::block_address;
use super::exchange;
use super::target::Target;

/// Times from the start.
const STORE_DOWN: Duration = Duration::from_millis(2_000);
const RESTART: Duration = Duration::from_millis(2_500);
const LEAVES: Duration = Duration::from_millis(3_000);
const STORE_BACK: Duration = Duration::from_millis(6_500);
const ENTRY_WRITTEN: Duration = Duration::from_millis(7_000);
const ENTRY_REMOVED: Duration = Duration::from_millis(9_000);
const END: Duration = Duration::from_millis(13_000);
const DRAIN: Duration = Duration::from_millis(2_000);
/// Clients come in groups.
const PERIOD: Duration = Duration::from_millis(160);
const GROUP: usize = 8;

struct Sent {
    id: String,
    machine: &'static str,
    at: Duration,
    answered: Duration,
    status: String,
    has_sign: bool,
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
        for _ in 0..GROUP {
            number += 1;
            let id = format!("{machine}{number:08x}");
            let sent = sent.clone();
            tokio::spawn(async move {
                let at = start.elapsed();
                let text = RawMessage::request("POST", "/command/item", &id, 3_000, "");
                let (status, has_sign) = match exchange(front, &text).await {
                    Ok(message) => {
                        let status = message.head.lines().next().unwrap_or("").to_owned();
                        let sign = header(&message.head, "server-leaving");
                        (status, sign.as_deref() == Some("1"))
                    }
                    Err(error) => (format!("no answer, {error}"), false),
                };
                let answered = start.elapsed();
                sent.lock().unwrap().push(Sent {
                    id,
                    machine,
                    at,
                    answered,
                    status,
                    has_sign,
                });
            });
        }
        tokio::time::sleep(PERIOD).await;
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
}

/// Returns whether the rule held.
pub async fn run(trouble: bool, folder: &std::path::Path, record: &mut Record) -> io::Result<bool> {
    let store = UsersStore::bind("127.0.0.1:0".parse().unwrap()).await?;
    let mut targets = Vec::new();
    for number in 0..4 {
        let id = format!("i-gates-{number}");
        let target = Target::start(&id).await?;
        store.put(&format!("servers/{id}"), &target.entry("gates"));
        targets.push(target);
    }
    store.put(CONFIGURATION_KEY, &configuration(5, "reads"));
    let mut machines = Vec::new();
    for (number, name) in ["a", "b", "c"].into_iter().enumerate() {
        let id = format!("edge-north-{}", number + 1);
        let ip = block_address(number as u8 + 1);
        machines.push((name, Instance::start(&id, ip, store.address(), folder)?));
    }
    for (_, instance) in &machines {
        instance.wait_until_ready().await?;
    }
    tokio::time::sleep(Duration::from_secs(4)).await;

    let start = Instant::now();
    let sent = Arc::new(Mutex::new(Vec::new()));
    let senders: Vec<_> = machines
        .iter()
        .map(|(name, instance)| tokio::spawn(send_all(start, name, instance.front, sent.clone())))
        .collect();
    let target = &targets[0];
    let mut events = Vec::new();
    wait_until(start, STORE_DOWN).await;
    if trouble {
        store.set_fault(StoreFault::Busy);
        events.push((start.elapsed(), "the store is down (503)"));
    }
    wait_until(start, RESTART).await;
    target.restart();
    events.push((
        start.elapsed(),
        "target i-gates-0 starts again under its id",
    ));
    let entry = target.entry_of_lifetime("gates", 1_700_000_900_000);
    if !trouble {
        store.put("servers/i-gates-0", &entry);
        events.push((start.elapsed(), "it writes its entry"));
    }
    wait_until(start, LEAVES).await;
    target.leave();
    events.push((start.elapsed(), "it says in all answers that it leaves"));
    wait_until(start, STORE_BACK).await;
    if trouble {
        store.set_fault(StoreFault::None);
        events.push((start.elapsed(), "the store is back"));
        wait_until(start, ENTRY_WRITTEN).await;
        store.put("servers/i-gates-0", &entry);
        events.push((start.elapsed(), "it writes its entry"));
    }
    wait_until(start, ENTRY_REMOVED).await;
    store.remove("servers/i-gates-0");
    events.push((
        start.elapsed(),
        "its entry is removed; it serves on for a while",
    ));
    for sender in senders {
        sender.await.map_err(io::Error::other)?;
    }

    for (at, event) in &events {
        record.line(format!("{:6} ms  {event}", at.as_millis()));
    }
    let mut sent = std::mem::take(&mut *sent.lock().unwrap());
    sent.sort_by_key(|request| request.at);
    let runs: HashMap<String, Duration> = target
        .runs()
        .into_iter()
        .map(|run| (run.id, run.at.saturating_duration_since(start)))
        .collect();
    let mut holds = true;
    for (name, _) in &machines {
        let own: Vec<&Sent> = sent
            .iter()
            .filter(|request| request.machine == *name)
            .collect();
        let told = own.iter().filter(|request| request.has_sign);
        let told = told.map(|request| request.answered).min();
        let late: Vec<&&Sent> = own
            .iter()
            .filter(|request| {
                told.is_some_and(|told| request.at > told + DRAIN) && runs.contains_key(&request.id)
            })
            .collect();
        let told = told.map_or("never".to_owned(), |told| {
            format!("at {} ms", told.as_millis())
        });
        let line = format!(
            "machine {name}: {} commands; told {told} that the target leaves; {} sent over 2 s later reached it",
            own.len(),
            late.len()
        );
        println!("{line}");
        record.line(line);
        for request in &late {
            record.line(format!(
                "  {} sent {} ms, reached the target {} ms, answered {} ms: {}",
                request.id,
                request.at.as_millis(),
                runs[&request.id].as_millis(),
                request.answered.as_millis(),
                request.status,
            ));
        }
        holds &= late.is_empty();
    }
    Ok(holds)
}
