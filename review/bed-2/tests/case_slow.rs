//! LOST: during a planned stop, uploads to targets that read slowly are broken off, and answered by the
//! instance in place of the target.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::Setting;
use crate::Verdict;
use crate::bed::Addresses;
use crate::bed::Instance;
use crate::bed::Record;
use crate::http::Channel;
use crate::operator;
use crate::operator::Route;
use crate::store::Store;
use crate::target::Arrivals;
use crate::target::Behaviour;
use crate::target::SlowReading;
use crate::target::Target;

const INTAKE: &str = "depot-intake";
const INSTANCES: usize = 3;
const TARGETS: usize = 6;
const SLOTS: u32 = 3;
const WORK_MS: u64 = 100;
/// The users' sheet: clients wait for 8 s, and uploads have 60,000 bytes on average.
const DEADLINE_MS: u64 = 8_000;
const OBJECTIVE_MS: u64 = 3_000;
const BODY_BYTES: usize = 64_000;
/// 16 KB a second, so that a body takes about 4 s.
const SLOW_READING: SlowReading = SlowReading {
    part_bytes: 4 * 1024,
    pause_ms: 250,
    window_bytes: 8 * 1024,
};
const UPLOADS_PER_STOP: usize = 6;
/// Time from the uploads to the stop of their instance.
const STOP_AFTER_MS: u64 = 300;
/// The users' `grace`. Work of targets may be broken off in its last sixth.
const GRACE_MS: u64 = 6_000;
const LAST_SIXTH_MS: u64 = GRACE_MS / 6;

/// What became of an upload.
struct Outcome {
    id: String,
    /// When the stop of its instance was signalled.
    stopped_ms: u64,
    /// The status, and whether a target has signed the answer; `None` if the channel ended without one.
    answer: Option<(u16, bool)>,
    ended_ms: u64,
}

pub fn play(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let addresses = Addresses::pick();
    let store = Store::start(&addresses.store());
    let arrivals: Arrivals = Arc::default();
    for number in 0..TARGETS {
        let name = format!("i-{number}");
        let ip = addresses.target(number);
        let behaviour = Behaviour {
            work_ms: WORK_MS,
            response_bytes: 400,
            slow_reading: setting.has_trouble.then_some(SLOW_READING),
        };
        let target = Target::start((&name, INTAKE, &ip), SLOTS, behaviour, &arrivals, record);
        target.register(&store);
    }
    let route = Route {
        name: "depot-uploads".to_owned(),
        prefix: "/uploads/".to_owned(),
        kind: "upload",
        service: INTAKE,
        timeout_ms: DEADLINE_MS,
        objective_ms: OBJECTIVE_MS,
    };
    store.put(
        "op/config",
        &operator::configuration(1, &[INTAKE], &[route]),
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
    std::thread::sleep(Duration::from_secs(3));

    // The instances are stopped and started in turn.
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    for number in 1..=INSTANCES {
        let stopped_ms = record.now_ms() + STOP_AFTER_MS;
        let clients = (0..UPLOADS_PER_STOP).map(|upload| {
            let (front, record) = (instances[number - 1].front.clone(), record.clone());
            let outcomes = outcomes.clone();
            let id = format!("u{number}-{upload}");
            std::thread::spawn(move || {
                let answer = exchange(&front, &id, &record);
                let text = match answer {
                    Some((status, true)) => format!("{id} answered by a target with {status}"),
                    Some((status, false)) => format!("{id} answered by the instance with {status}"),
                    None => format!("{id} got no answer"),
                };
                record.line(&text);
                let ended_ms = record.now_ms();
                outcomes.lock().unwrap().push(Outcome {
                    id,
                    stopped_ms,
                    answer,
                    ended_ms,
                });
            })
        });
        let clients: Vec<_> = clients.collect();
        std::thread::sleep(Duration::from_millis(STOP_AFTER_MS));
        record.line(&format!("edge-{number}: SIGTERM"));
        instances[number - 1].terminate();
        std::thread::sleep(Duration::from_millis(GRACE_MS));
        if !instances[number - 1].has_ended() {
            record.line(&format!("edge-{number}: SIGKILL"));
        }
        for client in clients {
            let _ = client.join();
        }
        instances[number - 1] = start(number);
        record.line(&format!("edge-{number}: started again"));
        if !instances[number - 1].wait_ready() {
            return Verdict::NotRun("an instance is not ready again".to_owned());
        }
        std::thread::sleep(Duration::from_secs(4));
    }
    judge(setting, &outcomes.lock().unwrap(), &arrivals)
}

fn judge(setting: &Setting, outcomes: &[Outcome], arrivals: &Arrivals) -> Verdict {
    let record = &setting.record;
    let arrivals = arrivals.lock().unwrap();
    let mut lost = 0;
    for outcome in outcomes {
        let has_arrived = arrivals.iter().any(|arrival| arrival.id == outcome.id);
        let is_answered = outcome.answer.is_some_and(|(_, is_signed)| is_signed);
        let since_stop_ms = outcome.ended_ms.saturating_sub(outcome.stopped_ms);
        // The excuses of the rule: work of targets in the last sixth of the grace period, and the
        // client's time limit, which ends later here.
        let is_excused = since_stop_ms >= GRACE_MS - LAST_SIXTH_MS;
        if has_arrived && !is_answered && !is_excused {
            lost += 1;
            record.line(&format!(
                "LOST: {} was passed on to a target and broken off {since_stop_ms} ms after the SIGTERM",
                outcome.id
            ));
        }
    }
    let signed = |outcome: &&Outcome| outcome.answer.is_some_and(|(_, is_signed)| is_signed);
    let answered = outcomes.iter().filter(signed).count();
    record.line(&format!(
        "{} uploads, {answered} answered by targets, {lost} lost",
        outcomes.len()
    ));
    match (lost, answered == outcomes.len()) {
        (0, true) => Verdict::Held,
        (0, false) => Verdict::NotRun("uploads were not answered, but are excused".to_owned()),
        _ => Verdict::Broken,
    }
}

fn exchange(front: &str, id: &str, record: &Record) -> Option<(u16, bool)> {
    let mut stream = TcpStream::connect(front).ok()?;
    let timeout = Duration::from_millis(DEADLINE_MS);
    stream.set_read_timeout(Some(timeout)).ok()?;
    let head = format!(
        "POST /uploads/{id} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {BODY_BYTES}\r\n\r\n",
        operator::HOST
    );
    let mut request = head.into_bytes();
    request.resize(request.len() + BODY_BYTES, b'u');
    stream.write_all(&request).ok()?;
    record.line(&format!("{id} sent to {front}: {BODY_BYTES} bytes"));
    let mut channel = Channel::new(stream);
    let head = channel.read_head().ok()??;
    channel.read_body(&head).ok()?;
    Some((head.status(), head.header("x-response-signature").is_some()))
}
