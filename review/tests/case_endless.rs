//! A server whose response bodies never end: do callers get a final answer half a second after the route's timeout?

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use crate::bed;
use crate::bed::Instance;
use crate::bed::Record;
use crate::bed::Server;
use crate::store::Store;

/// `timeout` of the route, and half a second.
const BOUND_MS: u64 = 3_000 + 500;
/// `X-Deadline-Ms` of the callers, as for `level-reads`.
const DEADLINE_MS: u64 = 6_000;
const WORK_MS: u64 = 60;
const REQUESTS: u64 = 160;
const GAP_MS: u64 = 100;

pub fn play(record: &Arc<Record>) -> bool {
    let store = Store::start(([127, 0, 0, 1], 0).into());
    store.put("op/config", &bed::configuration(7, "huvo11a", "wuno96b", 4_000));
    let in_trouble = Arc::new(AtomicBool::new(false));
    let mut servers = Vec::new();
    for number in 0..3 {
        let flag = in_trouble.clone();
        let behaviour: bed::Behaviour = Arc::new(move |server: &Server, message, channel| {
            server.run(message);
            bed::sleep_ms(WORK_MS);
            if number != 0 || !flag.load(Ordering::Relaxed) {
                server.answer(message, channel, "")?;
                return Ok(true);
            }
            let id = message.header("x-attempt-id").unwrap_or("").to_owned();
            let head = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: 3e1b.07.5a2\r\n\r\n");
            channel.stream.write_all(head.as_bytes())?;
            server.record.add(format!("server {} sends bytes without end for {id}", server.id));
            loop {
                channel.stream.write_all(&[0x5a; 1_024])?;
                bed::sleep_ms(20);
            }
        });
        servers.push(Server::start(record, &store, &format!("i-{number}"), "huvo11a", 6, behaviour));
    }
    Server::start(record, &store, "i-9", "wuno96b", 6, bed::works(WORK_MS));
    let instances: Vec<Instance> = ["edge-smolyan-1", "edge-devin-1"]
        .iter()
        .zip(["smolyan", "devin"])
        .map(|(name, zone)| Instance::start(record, store.address, name, zone))
        .collect();
    for instance in &instances {
        bed::wait_until("readiness", 15_000, || instance.is_ready());
    }
    // Longer than `stableWindow`, so that all machines are in touch.
    bed::sleep_ms(5_000);
    in_trouble.store(bed::with_trouble(), Ordering::Relaxed);
    record.add(format!("trouble: {}", bed::with_trouble()));
    let seen = Arc::new(Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    for number in 0..REQUESTS {
        let address = instances[number as usize % instances.len()].front;
        let (record, seen) = (record.clone(), seen.clone());
        callers.push(std::thread::spawn(move || {
            let id = bed::next_id();
            let Some(mut channel) = bed::connect(address) else { return };
            let path = format!("/lepu270/{number}");
            let answer = bed::ask(&record, &mut channel, ("GET", &path), &id, DEADLINE_MS, b"");
            record.add(format!("caller {id} sent_ms={} {}", answer.sent_ms, answer.text()));
            seen.lock().unwrap().push((id, answer));
        }));
        bed::sleep_ms(GAP_MS);
    }
    for caller in callers {
        let _ = caller.join();
    }
    let seen = seen.lock().unwrap();
    // Requests that last longer than the route's timeout, and those of them without a final answer half a second later.
    let lasting = seen.iter().filter(|(_, answer)| answer.end_ms - answer.sent_ms > 3_000).count();
    let unanswered = seen.iter().filter(|(_, answer)| answer.end_ms - answer.sent_ms > BOUND_MS).count();
    let served = seen.iter().filter(|(_, answer)| answer.status == Some(200) && answer.is_complete()).count();
    record.add(format!(
        "of {} requests {served} were served whole, {lasting} lasted longer than the route's timeout, {unanswered} of these had no final answer 0.5 s after it",
        seen.len()
    ));
    if seen.len() < REQUESTS as usize || served == 0 {
        bed::cannot_run("requests were not served at all");
    }
    for instance in &instances {
        if let Some(status) = instance.ended() {
            record.add(format!("{} ended by itself: {status}", instance.name));
        }
    }
    unanswered >= 8 && unanswered * 4 > lasting
}
