//! CONFIG: idle channels to the store go silent, and a new configuration is not in force for seconds.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Setting;
use crate::Verdict;
use crate::bed::Addresses;
use crate::bed::Instance;
use crate::http::Channel;
use crate::operator;
use crate::operator::Route;
use crate::proxy::Proxy;
use crate::store::Store;
use crate::target::Arrivals;
use crate::target::Behaviour;
use crate::target::Target;

const SERVICES: [&str; 2] = ["gatecontrol", "archivist"];
const INSTANCES: usize = 3;
const TARGETS_PER_SERVICE: usize = 3;
const SLOTS: u32 = 6;
const WORK_MS: u64 = 30;
const CLIENTS: usize = 6;
const PAUSE_MS: u64 = 100;
/// The users' bounds.
const CONFIG_APPLY_MS: u64 = 2_000;
const STABLE_WINDOW_MS: u64 = 3_000;
const ROUNDS: usize = 7;
const ROUND_MS: u64 = 11_700;
/// Channels that carried nothing for this time go silent, as at a firewall that forgets idle flows.
const IDLE: Duration = Duration::from_millis(1_200);
/// Time from the silence to the new configuration.
const CHANGE_AFTER_MS: u64 = 300;

pub fn play(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let addresses = Addresses::pick();
    let store = Store::start(&addresses.store());
    let proxy = Proxy::start(&addresses.store(), &store.address);
    let arrivals: Arrivals = Arc::default();
    for number in 0..SERVICES.len() * TARGETS_PER_SERVICE {
        let service = SERVICES[number / TARGETS_PER_SERVICE];
        let name = format!("i-{service}-{number}");
        let ip = addresses.target(number);
        let behaviour = Behaviour {
            work_ms: WORK_MS,
            response_bytes: 400,
            slow_reading: None,
        };
        let target = Target::start((&name, service, &ip), SLOTS, behaviour, &arrivals, record);
        target.register(&store);
    }
    store.put("op/config", &configuration(1, 0));
    let ips: Vec<String> = (1..=INSTANCES)
        .map(|number| addresses.instance(number))
        .collect();
    let behind_proxy = store.at(&proxy.address);
    let instances: Vec<Instance> = (1..=INSTANCES)
        .map(|number| {
            Instance::start(
                &setting.folder,
                &ips[number - 1],
                number,
                &ips,
                &behind_proxy,
            )
        })
        .collect();
    if !instances.iter().all(Instance::wait_ready) {
        return Verdict::NotRun("an instance is not ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(9));

    let fronts: Vec<String> = instances
        .iter()
        .map(|instance| instance.front.clone())
        .collect();
    let sent = send_traffic(setting, &fronts);
    std::thread::sleep(Duration::from_secs(1));
    let mut stale = 0;
    for round in 1..=ROUNDS {
        if setting.has_trouble {
            let (silenced, others) = proxy.silence_idle(IDLE);
            record.line(&format!(
                "{silenced} idle channels to the store go silent, {others} others do not"
            ));
        }
        let silent_ms = record.now_ms();
        std::thread::sleep(Duration::from_millis(CHANGE_AFTER_MS));
        let version = 1 + 2 * round as u32;
        let (old, new) = (SERVICES[(round + 1) % 2], SERVICES[round % 2]);
        store.put("op/config", &configuration(version, round % 2));
        let acked_ms = record.now_ms();
        record.line(&format!(
            "version {version} was acknowledged: commands go to {new}"
        ));
        std::thread::sleep(Duration::from_millis(ROUND_MS - CHANGE_AFTER_MS));
        let from_ms = (acked_ms + CONFIG_APPLY_MS).max(silent_ms + STABLE_WINDOW_MS);
        let until_ms = silent_ms + ROUND_MS;
        let sent = sent.lock().unwrap();
        let arrivals = arrivals.lock().unwrap();
        let late: Vec<u64> = arrivals
            .iter()
            .filter(|arrival| arrival.target.contains(old))
            .filter_map(|arrival| {
                let (_, sent_ms, _) = sent.iter().find(|(id, _, _)| *id == arrival.id)?;
                (from_ms..until_ms)
                    .contains(sent_ms)
                    .then(|| *sent_ms - acked_ms)
            })
            .collect();
        let last_ms = late.iter().max().copied().unwrap_or(0);
        record.line(&format!(
            "CONFIG: {} commands sent over {CONFIG_APPLY_MS} ms after the ack of version {version} were run by {old}, the last {last_ms} ms after it",
            late.len()
        ));
        stale += late.len();
    }
    let sent = sent.lock().unwrap();
    let served = sent.iter().filter(|(_, _, status)| *status == 200).count();
    record.line(&format!(
        "{} commands answered, {served} served, {stale} run as only an older version allows",
        sent.len()
    ));
    match (served * 2 > sent.len(), stale == 0) {
        (false, _) => Verdict::NotRun("most requests were not served".to_owned()),
        (true, true) => Verdict::Held,
        (true, false) => Verdict::Broken,
    }
}

fn configuration(version: u32, service: usize) -> String {
    let route = Route {
        name: "gate-commands".to_owned(),
        prefix: "/commands/".to_owned(),
        kind: "non_idempotent",
        service: SERVICES[service],
        timeout_ms: 4_000,
        objective_ms: 2_000,
    };
    operator::configuration(version, &SERVICES, &[route])
}

/// The commands that were answered: id, time of sending and status.
type Sent = Arc<Mutex<Vec<(String, u64, u16)>>>;

fn send_traffic(setting: &Setting, fronts: &[String]) -> Sent {
    let sent: Sent = Arc::default();
    let next_id = Arc::new(AtomicU64::new(1));
    for client in 0..CLIENTS {
        let (sent, next_id) = (sent.clone(), next_id.clone());
        let (fronts, record) = (fronts.to_vec(), setting.record.clone());
        std::thread::spawn(move || {
            loop {
                let number = next_id.fetch_add(1, Ordering::Relaxed);
                let id = format!("q{number:05}");
                let front = &fronts[client % fronts.len()];
                let sent_ms = record.now_ms();
                record.line(&format!("{id} sent to {front}"));
                let status = exchange(front, &id).unwrap_or(0);
                record.line(&format!("{id} answered with {status}"));
                sent.lock().unwrap().push((id, sent_ms, status));
                std::thread::sleep(Duration::from_millis(PAUSE_MS));
            }
        });
    }
    sent
}

fn exchange(front: &str, id: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(front).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(8))).ok()?;
    let text = format!(
        "POST /commands/{id} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n",
        operator::HOST
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut channel = Channel::new(stream);
    let head = channel.read_head().ok()??;
    channel.read_body(&head).ok()?;
    Some(head.status())
}
