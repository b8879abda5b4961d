//! The operator adds a route that isn't idempotent below an idempotent one, while the store turns one
//! of three machines away; some seconds later targets lose answers.

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
use super::proxy::StoreLink;
use super::proxy::Treatment;
use super::target::Run;
use super::target::Target;

/// Routes that get no requests. With them the configuration is a large one.
const IDLE_ROUTES: usize = 150;
const TARGETS: usize = 15;
/// Targets that lose answers: a share of 0.6.
const LOSING_TARGETS: usize = 9;
/// Time between two orders at machine b, and at the others: the share of clients is uneven.
const ORDER_PERIODS: [Duration; 2] = [ms(10), ms(100)];
/// Times from the start.
const REJECTED: (Duration, Duration) = (ms(2_000), ms(11_000));
const CHANGE: Duration = ms(2_300);
/// Seven seconds after the ack: `configApply` and `maxSkew`.
const REQUESTS_FROM: Duration = ms(9_400);
const REQUESTS_UNTIL: Duration = ms(10_800);
const ANSWERS_LOST: (Duration, Duration) = (ms(9_000), ms(12_500));
const END: Duration = ms(15_000);
/// Usual reads, with which machines earn retries.
const READ_PERIOD: Duration = ms(25);

struct Sent {
    id: String,
    machine: &'static str,
    at: Duration,
    answered: Duration,
    answer: String,
}

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn large_configuration(version: u32, has_added_route: bool) -> Value {
    let mut document = configuration(version, "reads");
    let base = document["routes"]["r-moved"].clone();
    for number in 0..IDLE_ROUTES {
        let mut route = base.clone();
        route["pathPrefix"] = json!(format!("/idle-{number}/"));
        document["routes"][format!("r-idle-{number}")] = route;
    }
    if has_added_route {
        let mut added = base;
        added["pathPrefix"] = json!("/moved/pay/");
        added["kind"] = json!("non_idempotent");
        document["routes"]["r-pay"] = added;
    }
    document
}

async fn wait_until(start: Instant, at: Duration) {
    tokio::time::sleep_until((start + at).into()).await;
}

/// Sends orders to a machine, each once and on a new channel.
async fn send_all(
    start: Instant,
    machine: &'static str,
    front: SocketAddr,
    sent: Arc<Mutex<Vec<Sent>>>,
) {
    wait_until(start, REQUESTS_FROM).await;
    let mut number = 0;
    while start.elapsed() < REQUESTS_UNTIL {
        number += 1;
        let id = format!("{machine}{number:08x}");
        let sent = sent.clone();
        tokio::spawn(async move {
            let at = start.elapsed();
            let path = format!("/moved/pay/{id}");
            let text = RawMessage::request("POST", &path, &id, 3_000, "amount=1");
            let answer = match exchange(front, &text).await {
                Ok(message) => message.head.lines().next().unwrap_or("").to_owned(),
                Err(error) => format!("no answer, {error}"),
            };
            let answered = start.elapsed();
            sent.lock().unwrap().push(Sent {
                id,
                machine,
                at,
                answered,
                answer,
            });
        });
        tokio::time::sleep(ORDER_PERIODS[usize::from(machine != "b")]).await;
    }
}

/// Sends reads to a machine until targets lose answers.
async fn send_reads(start: Instant, machine: &'static str, front: SocketAddr) {
    let mut number = 0;
    while start.elapsed() < ANSWERS_LOST.0 {
        number += 1;
        let id = format!("{machine}{:08x}", 0x1000_0000 + number);
        tokio::spawn(async move {
            let text = RawMessage::request("GET", "/read/item", &id, 3_000, "");
            let _ = exchange(front, &text).await;
        });
        tokio::time::sleep(READ_PERIOD).await;
    }
}

/// Returns whether the rule held.
pub async fn run(trouble: bool, folder: &std::path::Path, record: &mut Record) -> io::Result<bool> {
    let store = UsersStore::bind("127.0.0.1:0".parse().unwrap()).await?;
    let mut targets = Vec::new();
    for number in 0..TARGETS {
        let id = format!("i-reads-{number}");
        let target = Target::start(&id).await?;
        store.put(&format!("servers/{id}"), &target.entry("reads"));
        targets.push(target);
    }
    store.put(CONFIGURATION_KEY, &large_configuration(5, false));
    let mut machines = Vec::new();
    for (number, name) in ["a", "b", "c"].into_iter().enumerate() {
        let link = StoreLink::start(store.address(), HashMap::new()).await?;
        let id = format!("edge-north-{}", number + 1);
        let ip = block_address(number as u8 + 1);
        let instance = Instance::start(&id, ip, link.address, folder)?;
        machines.push((name, instance, link));
    }
    for (_, instance, _) in &machines {
        instance.wait_until_ready().await?;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;

    let start = Instant::now();
    let sent = Arc::new(Mutex::new(Vec::new()));
    for (name, instance, _) in &machines {
        tokio::spawn(send_reads(start, name, instance.front));
        tokio::spawn(send_all(start, name, instance.front, sent.clone()));
    }
    let store_b = &machines[1].2;
    let losing = &targets[..LOSING_TARGETS];
    let mut events = Vec::new();
    wait_until(start, REJECTED.0).await;
    if trouble {
        store_b.set_treatment(Treatment::Refuses);
        events.push((
            start.elapsed(),
            "the store answers 429 to machine b from now on",
        ));
    }
    wait_until(start, CHANGE).await;
    store.put(CONFIGURATION_KEY, &large_configuration(9, true));
    events.push((
        start.elapsed(),
        "the operator has added /moved/pay/, not idempotent (ack)",
    ));
    wait_until(start, ANSWERS_LOST.0).await;
    if trouble {
        losing
            .iter()
            .for_each(|target| target.set_loses_answers(true));
        events.push((
            start.elapsed(),
            "nine of fifteen targets lose two answers in five",
        ));
    }
    wait_until(start, REJECTED.1).await;
    if trouble {
        store_b.set_treatment(Treatment::Serves);
        events.push((start.elapsed(), "the store serves machine b again"));
    }
    wait_until(start, ANSWERS_LOST.1).await;
    if trouble {
        losing
            .iter()
            .for_each(|target| target.set_loses_answers(false));
        events.push((start.elapsed(), "no more answers are lost"));
    }
    wait_until(start, END).await;

    for (at, event) in &events {
        record.line(format!("{:6} ms  {event}", at.as_millis()));
    }
    let mut runs: HashMap<String, Vec<Run>> = HashMap::new();
    for run in targets.iter().flat_map(Target::runs) {
        runs.entry(run.id.clone()).or_default().push(run);
    }
    let mut sent = std::mem::take(&mut *sent.lock().unwrap());
    sent.sort_by_key(|request| request.at);
    let count = |request: &Sent| runs.get(&request.id).map_or(0, Vec::len);
    let mut holds = true;
    for (name, ..) in &machines {
        let own: Vec<&Sent> = sent
            .iter()
            .filter(|request| request.machine == *name)
            .collect();
        let twice = own.iter().filter(|request| count(request) > 1).count();
        let line = format!(
            "machine {name}: {} orders sent, {twice} have run more than once",
            own.len()
        );
        println!("{line}");
        record.line(line);
        holds &= twice == 0;
    }
    for request in &sent {
        let runs: Vec<String> = runs
            .get(&request.id)
            .into_iter()
            .flatten()
            .map(|run| {
                let at = run.at.saturating_duration_since(start);
                format!("run by {} at {} ms", run.target, at.as_millis())
            })
            .collect();
        record.line(format!(
            "  {} POST /moved/pay/{} sent {:6} ms, answered {:6} ms, {}; {}{}",
            request.machine,
            request.id,
            request.at.as_millis(),
            request.answered.as_millis(),
            request.answer,
            runs.join(", "),
            if runs.len() > 1 { "  << twice" } else { "" },
        ));
    }
    Ok(holds)
}
