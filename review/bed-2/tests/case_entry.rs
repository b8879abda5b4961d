//! ROUTE: an entry of another writer, which lacks fields, lets requests of one service run at a target
//! of another one.

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
use crate::store::Store;
use crate::target::Arrivals;
use crate::target::Behaviour;
use crate::target::Target;

const COMMANDS: &str = "gatecontrol";
const READS: &str = "levelview";
const INSTANCES: usize = 3;
const TARGETS_OF_COMMANDS: usize = 6;
const TARGETS_OF_READS: usize = 4;
/// Targets have six slots on the users' sheets.
const SLOTS: u32 = 6;
const WORK_MS: u64 = 100;
const CLIENTS: usize = 6;
const PAUSE_MS: u64 = 100;
const TRAFFIC_S: u64 = 14;
/// When the other writer writes, in seconds from the start of the traffic.
const WRITES_AT_S: [u64; 2] = [4, 9];

pub fn play(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let addresses = Addresses::pick();
    let store = Store::start(&addresses.store());
    let arrivals: Arrivals = Arc::default();
    let targets: Vec<Target> = (0..TARGETS_OF_COMMANDS + TARGETS_OF_READS)
        .map(|number| {
            let service = if number < TARGETS_OF_COMMANDS {
                COMMANDS
            } else {
                READS
            };
            let name = format!("i-{service}-{number}");
            let ip = addresses.target(number);
            let behaviour = Behaviour {
                work_ms: WORK_MS,
                response_bytes: 400,
                slow_reading: None,
            };
            Target::start((&name, service, &ip), SLOTS, behaviour, &arrivals, record)
        })
        .collect();
    targets.iter().for_each(|target| target.register(&store));
    let routes = [
        Route {
            name: "gate-commands".to_owned(),
            prefix: "/commands/".to_owned(),
            kind: "non_idempotent",
            service: COMMANDS,
            timeout_ms: 4_000,
            objective_ms: 2_000,
        },
        Route {
            name: "level-reads".to_owned(),
            prefix: "/levels/".to_owned(),
            kind: "idempotent",
            service: READS,
            timeout_ms: 3_000,
            objective_ms: 2_000,
        },
    ];
    store.put(
        "op/config",
        &operator::configuration(1, &[COMMANDS, READS], &routes),
    );
    let ips: Vec<String> = (1..=INSTANCES)
        .map(|number| addresses.instance(number))
        .collect();
    let instances: Vec<Instance> = (1..=INSTANCES)
        .map(|number| Instance::start(&setting.folder, &ips[number - 1], number, &ips, &store))
        .collect();
    if !instances.iter().all(Instance::wait_ready) {
        return Verdict::NotRun("an instance is not ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(3));

    let fronts: Vec<String> = instances
        .iter()
        .map(|instance| instance.front.clone())
        .collect();
    let answers = send_traffic(setting, &fronts);
    let mut passed_s = 0;
    for (round, at_s) in WRITES_AT_S.into_iter().enumerate() {
        std::thread::sleep(Duration::from_secs(at_s - passed_s));
        passed_s = at_s;
        if setting.has_trouble {
            write_foreign_entry(
                setting,
                &store,
                &targets[TARGETS_OF_COMMANDS + round],
                round,
            );
        }
    }
    std::thread::sleep(Duration::from_secs(TRAFFIC_S + 2 - passed_s));

    let answers = answers.lock().unwrap();
    let served = answers.iter().filter(|(_, status)| *status == 200).count();
    let arrivals = arrivals.lock().unwrap();
    let foreign: Vec<_> = arrivals
        .iter()
        .filter(|arrival| arrival.path.starts_with("/commands/") && arrival.target.contains(READS))
        .collect();
    for arrival in &foreign {
        record.line(&format!(
            "ROUTE: command {} was run by {}, a target of {READS}, at {} ms",
            arrival.id, arrival.target, arrival.at_ms
        ));
    }
    record.line(&format!(
        "{} requests answered, {served} served, {} commands run by targets of {READS}",
        answers.len(),
        foreign.len()
    ));
    match (served * 2 > answers.len(), foreign.is_empty()) {
        (false, _) => Verdict::NotRun("most requests were not served".to_owned()),
        (true, true) => Verdict::Held,
        (true, false) => Verdict::Broken,
    }
}

/// Another writer overwrites the entry of a target of one service with one that names another service.
/// The target puts it right with its next heartbeat.
fn write_foreign_entry(setting: &Setting, store: &Store, target: &Target, round: usize) {
    let address = &target.address;
    let fields = match round {
        // Without `version`, `warmupLeft`, `seq` and `born`.
        0 => "",
        // With `seq` and `version` of another type.
        _ => ",\"version\":7,\"warmupLeft\":\"0ms\",\"seq\":\"four\"",
    };
    let entry = format!(
        "{{\"service\":\"{COMMANDS}\",\"address\":\"{address}\",\"zone\":\"zone-0\",\"slots\":{SLOTS},\"state\":\"ready\"{fields}}}"
    );
    let key = target.key();
    store.put(&key, &entry);
    setting
        .record
        .line(&format!("another writer wrote {key}: {entry}"));
}

/// The answers' ids and statuses; 0 if there was none.
type Answers = Arc<Mutex<Vec<(String, u16)>>>;

/// Sends commands and reads for a time, in the background.
fn send_traffic(setting: &Setting, fronts: &[String]) -> Answers {
    let answers: Answers = Arc::default();
    let next_id = Arc::new(AtomicU64::new(1));
    let until_ms = setting.record.now_ms() + TRAFFIC_S * 1_000;
    for client in 0..CLIENTS {
        let (answers, next_id) = (answers.clone(), next_id.clone());
        let (fronts, record) = (fronts.to_vec(), setting.record.clone());
        std::thread::spawn(move || {
            while record.now_ms() < until_ms {
                let number = next_id.fetch_add(1, Ordering::Relaxed);
                let id = format!("q{number:05}");
                let head = match number % 4 {
                    0 => format!("GET /levels/{number} HTTP/1.1"),
                    _ => format!("POST /commands/{number} HTTP/1.1"),
                };
                let front = &fronts[(client + number as usize) % fronts.len()];
                record.line(&format!("{id} sent to {front}: {head}"));
                let status = exchange(front, &head, &id).unwrap_or(0);
                record.line(&format!("{id} answered with {status}"));
                answers.lock().unwrap().push((id, status));
                std::thread::sleep(Duration::from_millis(PAUSE_MS));
            }
        });
    }
    answers
}

fn exchange(front: &str, head: &str, id: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(front).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(8))).ok()?;
    let text = format!(
        "{head}\r\nHost: {}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n",
        operator::HOST
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut channel = Channel::new(stream);
    let head = channel.read_head().ok()??;
    channel.read_body(&head).ok()?;
    Some(head.status())
}
