//! GONE: uploads of clients that have left while targets asked for a pause still go to targets.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
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
use crate::target::Target;

const INTAKE: &str = "depot-intake";
const INSTANCES: usize = 3;
const TARGETS: usize = 3;
/// Targets of the service have three slots on the users' sheet.
const SLOTS: u32 = 3;
const WORK_MS: u64 = 60;
/// Clients of the uploads wait for 8 s on the users' sheet, with an objective of 3 s.
const DEADLINE_MS: u64 = 8_000;
const OBJECTIVE_MS: u64 = 3_000;
const BODY_BYTES: usize = 80_000;
/// Some times the targets want nothing for a time, and say so. This is part of the runs without
/// trouble too.
const PAUSES_AT_S: [u64; 5] = [1, 9, 17, 25, 33];
const PAUSE_MS: u64 = 900;
/// Uploads that are sent at the begin of a pause, and the time over which they are.
const UPLOADS_PER_PAUSE: usize = 45;
const CLUMP_MS: u64 = 90;
/// One client in five leaves, before half of the objective.
const LEAVING_DIVISOR: usize = 5;
const LEAVES_AFTER_MS: u64 = 150;
/// The users' bound: requests that reach a target this late after the close count.
const BOUND_MS: u64 = 500;
/// "More than a few" requests.
const A_FEW: usize = 10;

/// When the clients that have left closed their channels, by request.
type Closes = Arc<Mutex<BTreeMap<String, u64>>>;

pub fn play(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let addresses = Addresses::pick();
    let store = Store::start(&addresses.store());
    let arrivals: Arrivals = Arc::default();
    let mut targets = Vec::new();
    for number in 0..TARGETS {
        let name = format!("i-{number}");
        let ip = addresses.target(number);
        let behaviour = Behaviour {
            work_ms: WORK_MS,
            response_bytes: 400,
            slow_reading: None,
        };
        let target = Target::start((&name, INTAKE, &ip), SLOTS, behaviour, &arrivals, record);
        target.register(&store);
        targets.push(target);
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
    let closes: Closes = Arc::default();
    let statuses: Arc<Mutex<Vec<u16>>> = Arc::default();
    let mut passed_s = 0;
    for (clump, at_s) in PAUSES_AT_S.into_iter().enumerate() {
        std::thread::sleep(Duration::from_secs(at_s - passed_s));
        passed_s = at_s;
        let until_ms = record.now_ms() + PAUSE_MS;
        targets
            .iter()
            .for_each(|target| target.pause_until(until_ms));
        for number in 0..UPLOADS_PER_PAUSE {
            let client = Client {
                id: format!("u{clump}-{number:02}"),
                front: fronts[number % fronts.len()].clone(),
                starts_after_ms: CLUMP_MS * number as u64 / UPLOADS_PER_PAUSE as u64,
                leaves: setting.has_trouble && number % LEAVING_DIVISOR == 0,
                record: record.clone(),
            };
            let (closes, statuses) = (closes.clone(), statuses.clone());
            std::thread::spawn(move || match client.leaves {
                true => client.send_and_leave(&closes),
                false => {
                    let status = client.exchange().unwrap_or(0);
                    statuses.lock().unwrap().push(status);
                }
            });
        }
    }
    std::thread::sleep(Duration::from_secs(10));

    let statuses = statuses.lock().unwrap();
    let served = statuses.iter().filter(|status| **status == 200).count();
    let closes = closes.lock().unwrap();
    let arrivals = arrivals.lock().unwrap();
    let late: Vec<_> = arrivals
        .iter()
        .filter_map(|arrival| Some((arrival, *closes.get(&arrival.id)?)))
        .filter(|(arrival, closed_ms)| arrival.at_ms > closed_ms + BOUND_MS)
        .collect();
    for (arrival, closed_ms) in &late {
        record.line(&format!(
            "GONE: {} reached target {} {} ms after its client had closed its channel",
            arrival.id,
            arrival.target,
            arrival.at_ms - closed_ms
        ));
    }
    record.line(&format!(
        "{} clients stayed, {served} of them served; {} left, the requests of {} reached a target over {BOUND_MS} ms later",
        statuses.len(),
        closes.len(),
        late.len()
    ));
    match (served * 2 > statuses.len(), late.len() > A_FEW) {
        (false, _) => Verdict::NotRun("most requests were not served".to_owned()),
        (true, false) => Verdict::Held,
        (true, true) => Verdict::Broken,
    }
}

struct Client {
    id: String,
    front: String,
    starts_after_ms: u64,
    leaves: bool,
    record: Record,
}

impl Client {
    fn send(&self) -> Option<TcpStream> {
        std::thread::sleep(Duration::from_millis(self.starts_after_ms));
        let mut stream = TcpStream::connect(&self.front).ok()?;
        let (id, front, host) = (&self.id, &self.front, operator::HOST);
        let head = format!(
            "POST /uploads/{id} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        );
        let mut request = head.into_bytes();
        request.resize(request.len() + BODY_BYTES, b'u');
        self.record
            .line(&format!("{id} sent to {front}: {BODY_BYTES} bytes"));
        stream.write_all(&request).ok()?;
        Some(stream)
    }

    fn exchange(&self) -> Option<u16> {
        let stream = self.send()?;
        let timeout = Duration::from_millis(DEADLINE_MS + 500);
        stream.set_read_timeout(Some(timeout)).ok()?;
        let mut channel = Channel::new(stream);
        let head = channel.read_head().ok()??;
        channel.read_body(&head).ok()?;
        self.record
            .line(&format!("{} answered with {}", self.id, head.status()));
        Some(head.status())
    }

    /// Sends the whole request and closes the channel a little later, if it is not answered yet.
    fn send_and_leave(&self, closes: &Closes) {
        let Some(stream) = self.send() else {
            return;
        };
        std::thread::sleep(Duration::from_millis(LEAVES_AFTER_MS));
        let mut byte = [0];
        let _ = stream.set_nonblocking(true);
        // An answered request is over, and a close after unacknowledged bytes may come late.
        if stream.peek(&mut byte).is_ok() || unacknowledged_bytes(&stream) != 0 {
            return;
        }
        drop(stream);
        let closed_ms = self.record.now_ms();
        closes.lock().unwrap().insert(self.id.clone(), closed_ms);
        let text = "its client, all of whose bytes were acknowledged, has closed its channel";
        self.record.line(&format!("{}: {text}", self.id));
    }
}

const SIOCOUTQ: u64 = 0x5411;

unsafe extern "C" {
    fn ioctl(file: i32, request: u64, value: *mut i32) -> i32;
}

/// Bytes that the instance's machine has not acknowledged; -1 if the system does not tell.
fn unacknowledged_bytes(stream: &TcpStream) -> i32 {
    let mut bytes = -1;
    // SAFETY: the socket is open, and the system writes one integer.
    unsafe { ioctl(stream.as_raw_fd(), SIOCOUTQ, &raw mut bytes) };
    bytes
}
