//! DRAIN: an instance that starts just after the store came back from an older copy sends requests to a
//! target that has left, for seconds beyond the bound.

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
const INSTANCES: usize = 3;
const TARGETS: usize = 4;
const SLOTS: u32 = 6;
const WORK_MS: u64 = 50;
const CLIENTS_PER_INSTANCE: usize = 4;
const PAUSE_MS: u64 = 50;
/// The users' bounds.
const DRAIN_MS: u64 = 2_000;
const STABLE_WINDOW_MS: u64 = 3_000;
/// An entry is removed after three heartbeats of silence.
const LAPSE_MS: u64 = 4_500;
/// Age of the copy when the store comes back from it.
const COPY_BEFORE_LEAVING_MS: u64 = 500;
const LEFT_FOR_MS: u64 = 2_600;
const AWAY_MS: u64 = 400;

pub fn play(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let addresses = Addresses::pick();
    let store = Store::start(&addresses.store());
    let arrivals: Arrivals = Arc::default();
    let targets: Vec<Target> = (0..TARGETS)
        .map(|number| {
            let name = format!("i-{number}");
            let ip = addresses.target(number);
            let behaviour = Behaviour {
                work_ms: WORK_MS,
                response_bytes: 400,
                slow_reading: None,
            };
            Target::start((&name, COMMANDS, &ip), SLOTS, behaviour, &arrivals, record)
        })
        .collect();
    let (leaving, staying) = (&targets[0], &targets[1..]);
    staying.iter().for_each(|target| target.register(&store));
    leaving.register_once(&store);
    let route = Route {
        name: "gate-commands".to_owned(),
        prefix: "/commands/".to_owned(),
        kind: "non_idempotent",
        service: COMMANDS,
        timeout_ms: 4_000,
        objective_ms: 2_000,
    };
    store.put(
        "op/config",
        &operator::configuration(1, &[COMMANDS], &[route]),
    );
    let ips: Vec<String> = (1..=INSTANCES)
        .map(|number| addresses.instance(number))
        .collect();
    let start =
        |number: usize| Instance::start(&setting.folder, &ips[number - 1], number, &ips, &store);
    let mut instances: Vec<Instance> = (1..=INSTANCES).map(start).collect();
    if !instances.iter().all(Instance::wait_ready) {
        return Verdict::NotRun("an instance is not ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(4));
    let fronts: Fronts = Arc::default();
    for instance in &instances {
        fronts.lock().unwrap().push(instance.front.clone());
    }
    let answers = send_traffic(setting, &fronts);
    std::thread::sleep(Duration::from_secs(2));

    // The target leaves without a word: its entry is removed, and it serves on for a while.
    let copy = store.copy();
    std::thread::sleep(Duration::from_millis(COPY_BEFORE_LEAVING_MS));
    store.delete(&leaving.key());
    let left_ms = record.now_ms();
    record.line(&format!("{} has left: its entry is removed", leaving.name));
    std::thread::sleep(Duration::from_millis(LEFT_FOR_MS));
    if setting.has_trouble {
        store.go_away();
        record.line("the store is away");
        std::thread::sleep(Duration::from_millis(AWAY_MS));
        store.come_back(copy);
        record.line("the store is back from an older copy");
    }
    let back_ms = record.now_ms();
    // The first instance is killed and starts again. This is part of the runs without trouble too.
    record.line("edge-1: SIGKILL");
    instances.remove(0);
    instances.insert(0, start(1));
    let started_ms = record.now_ms();
    record.line("edge-1: started again");
    fronts.lock().unwrap()[0] = instances[0].front.clone();
    if !instances[0].wait_ready() {
        return Verdict::NotRun("edge-1 is not ready again".to_owned());
    }
    let lapse_ms = (back_ms + LAPSE_MS).saturating_sub(record.now_ms());
    std::thread::sleep(Duration::from_millis(lapse_ms));
    store.delete(&leaving.key());
    record.line(&format!("the entry of {} has lapsed", leaving.name));
    std::thread::sleep(Duration::from_secs(3));

    let in_touch_ms = back_ms.max(started_ms) + STABLE_WINDOW_MS;
    let answers = answers.lock().unwrap();
    let served = answers.iter().filter(|status| **status == 200).count();
    let arrivals = arrivals.lock().unwrap();
    let late: Vec<_> = arrivals
        .iter()
        .filter(|arrival| arrival.target == leaving.name)
        .filter(|arrival| arrival.at_ms > (left_ms + DRAIN_MS).max(in_touch_ms))
        .collect();
    for arrival in &late {
        record.line(&format!(
            "DRAIN: {} reached {} {} ms after its leaving was acknowledged",
            arrival.id,
            arrival.target,
            arrival.at_ms - left_ms
        ));
    }
    record.line(&format!(
        "{} requests answered, {served} served, {} late at the target that left, by machines in touch",
        answers.len(),
        late.len()
    ));
    match (served * 2 > answers.len(), late.is_empty()) {
        (false, _) => Verdict::NotRun("most requests were not served".to_owned()),
        (true, true) => Verdict::Held,
        (true, false) => Verdict::Broken,
    }
}

/// Addresses of the instances.
type Fronts = Arc<Mutex<Vec<String>>>;

/// Sends commands in the background; an id tells the instance that it was sent to.
fn send_traffic(setting: &Setting, fronts: &Fronts) -> Arc<Mutex<Vec<u16>>> {
    let answers: Arc<Mutex<Vec<u16>>> = Arc::default();
    let next_id = Arc::new(AtomicU64::new(1));
    for client in 0..INSTANCES * CLIENTS_PER_INSTANCE {
        let (answers, next_id, fronts) = (answers.clone(), next_id.clone(), fronts.clone());
        let record = setting.record.clone();
        std::thread::spawn(move || {
            loop {
                let instance = client % INSTANCES;
                let number = next_id.fetch_add(1, Ordering::Relaxed);
                let id = format!("e{}-{number:05}", instance + 1);
                let front = fronts.lock().unwrap()[instance].clone();
                record.line(&format!("{id} sent to edge-{}", instance + 1));
                if let Some(status) = exchange(&front, &id) {
                    record.line(&format!("{id} answered with {status}"));
                    answers.lock().unwrap().push(status);
                }
                std::thread::sleep(Duration::from_millis(PAUSE_MS));
            }
        });
    }
    answers
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
