//! A server starts again under its name while the store is down, and says in its answers that it leaves.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::bed;
use crate::bed::Instance;
use crate::bed::Record;
use crate::bed::Server;
use crate::store::Store;

/// `drain` of the settings.
const DRAIN_MS: u64 = 2_000;
/// How long the store is down: `for_s` of `platform_down` at the site.
const DOWN_MS: u64 = 9_000;
const DEADLINE_MS: u64 = 6_000;
const GAP_MS: u64 = 25;
const FIRST_BORN: u64 = 1_790_000_000_000;
const SECOND_BORN: u64 = 1_790_000_100_000;

/// When the instance passed on the first answer with the sign, and the requests that were sent later.
type Passed = Arc<Mutex<Option<u64>>>;

fn entry(server: &Server, born: u64) -> String {
    server.entry("ready", 6).replace(&FIRST_BORN.to_string(), &born.to_string())
}

pub fn play(record: &Arc<Record>) -> bool {
    let store = Store::start(([127, 0, 0, 1], 0).into());
    store.put("op/config", &bed::configuration(7, "huvo11a", "wuno96b", 4_000));
    // 0: as at first, 1: started again, 2: says that it leaves.
    let phase = Arc::new(AtomicU64::new(0));
    let mut servers = Vec::new();
    for number in 0..3 {
        let phase = phase.clone();
        let behaviour: bed::Behaviour = Arc::new(move |server: &Server, message, channel| {
            server.run(message);
            bed::sleep_ms(10);
            let is_leaving = number == 0 && phase.load(Ordering::Relaxed) == 2;
            server.answer(message, channel, if is_leaving { "Server-Leaving: 1\r\n" } else { "" })?;
            // A process that ends closes its channels; none is kept here, so that none outlives it.
            Ok(number != 0)
        });
        servers.push(Server::start(record, &store, &format!("i-{number}"), "huvo11a", 6, behaviour));
    }
    Server::start(record, &store, "i-9", "wuno96b", 6, bed::works(10));
    let instance = Instance::start(record, store.address, "edge-smolyan-1", "smolyan");
    bed::wait_until("readiness", 15_000, || instance.is_ready());
    bed::sleep_ms(4_000);
    let passed: Passed = Arc::default();
    let sent: Arc<Mutex<Vec<(String, u64)>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for _ in 0..4 {
        let (record, passed, sent, is_over) = (record.clone(), passed.clone(), sent.clone(), is_over.clone());
        let front = instance.front;
        callers.push(std::thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                let id = bed::next_id();
                let Some(mut channel) = bed::connect(front) else { continue };
                sent.lock().unwrap().push((id.clone(), record.now_ms()));
                let seen = bed::ask(&record, &mut channel, ("GET", "/lepu270/2f"), &id, DEADLINE_MS, b"");
                if seen.headers.iter().any(|(name, value)| name.eq_ignore_ascii_case("server-leaving") && value == "1") {
                    let mut passed = passed.lock().unwrap();
                    if passed.is_none() {
                        record.add(format!("caller {id} gets an answer with Server-Leaving"));
                        *passed = Some(record.now_ms());
                    }
                }
                bed::sleep_ms(GAP_MS);
            }
        }));
    }
    bed::sleep_ms(1_000);
    store.set_down(bed::with_trouble());
    record.add(format!("the store is down: {}", bed::with_trouble()));
    bed::sleep_ms(1_000);
    phase.store(1, Ordering::Relaxed);
    record.add("i-0 starts again under its name");
    if !bed::with_trouble() {
        // It registers as soon as it reaches the store.
        store.put("servers/i-0", &entry(&servers[0], SECOND_BORN));
    }
    bed::sleep_ms(1_000);
    phase.store(2, Ordering::Relaxed);
    record.add("i-0 says in all its answers that it leaves");
    bed::sleep_ms(DOWN_MS - 2_000);
    if bed::with_trouble() {
        store.put("servers/i-0", &entry(&servers[0], SECOND_BORN));
        store.set_down(false);
        record.add("the store is back, and i-0 registers with its new `born`");
    }
    bed::sleep_ms(6_000);
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let Some(passed_ms) = *passed.lock().unwrap() else { bed::cannot_run("no answer with the sign came") };
    let sent = sent.lock().unwrap();
    let arrived = servers[0].arrived.lock().unwrap();
    let mut late = 0;
    for (at_ms, id) in arrived.iter() {
        let sent_ms = sent.iter().find(|(other, _)| other == id).map_or(0, |(_, sent_ms)| *sent_ms);
        if sent_ms > passed_ms + DRAIN_MS {
            late += 1;
            record.add(format!("{id}, sent {} ms after the instance had passed on that i-0 leaves, reached i-0 at {at_ms} ms", sent_ms - passed_ms));
        }
    }
    record.add(format!("{late} requests reached the leaving server late; of {} sent", sent.len()));
    late > 0
}
