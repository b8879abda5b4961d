//! A planned stop while requests wait in the instance for servers that are full.
//!
//! The slots of the servers are taken by calls that other servers make, which do not come through the instances.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use crate::bed;
use crate::bed::Instance;
use crate::bed::Record;
use crate::bed::Server;
use crate::store::Store;

/// `grace` and `lossSlack` of the settings.
const GRACE_MS: u64 = 6_000;
const LOSS_SLACK_MS: u64 = 200;
/// `X-Deadline-Ms` of the callers, as for `buchung`, and the timeout of the route.
const DEADLINE_MS: u64 = 15_000;
const ROUTE_TIMEOUT_MS: u64 = 12_000;
/// Callers with kept channels, and when they send after the signal.
const CALLERS: usize = 24;
const SEND_AFTER_MS: u64 = 2_300;

pub fn play(record: &Arc<Record>) -> bool {
    let store = Store::start(([127, 0, 0, 1], 0).into());
    store.put("op/config", &bed::configuration(7, "huvo11a", "wuno96b", ROUTE_TIMEOUT_MS));
    // Whether the calls of other servers take all slots.
    let is_full = Arc::new(AtomicBool::new(false));
    for number in 0..2 {
        let flag = is_full.clone();
        let behaviour: bed::Behaviour = Arc::new(move |server: &Server, message, channel| {
            if flag.load(Ordering::Relaxed) {
                let id = message.header("x-attempt-id").unwrap_or("");
                server.record.add(format!("server {} is full and turns {id} away", server.id));
                server.reject(message, channel, "Retry-After: 1\r\n")?;
                return Ok(true);
            }
            server.run(message);
            bed::sleep_ms(100);
            server.answer(message, channel, "")?;
            Ok(true)
        });
        Server::start(record, &store, &format!("i-{number}"), "wuno96b", 6, behaviour);
    }
    Server::start(record, &store, "i-9", "huvo11a", 6, bed::works(50));
    let instances: Vec<Instance> = ["edge-smolyan-1", "edge-devin-1"]
        .iter()
        .zip(["smolyan", "devin"])
        .map(|(name, zone)| Instance::start(record, store.address, name, zone))
        .collect();
    for instance in &instances {
        bed::wait_until("readiness", 15_000, || instance.is_ready());
    }
    bed::sleep_ms(5_000);
    let instance = &instances[0];
    let address = instance.front;
    // Kept channels: each has served one read.
    let mut channels = Vec::new();
    for number in 0..CALLERS {
        let Some(mut channel) = bed::connect(address) else { bed::cannot_run("no channel") };
        let first = bed::ask(record, &mut channel, ("GET", &format!("/lepu270/{number}")), &bed::next_id(), 6_000, b"");
        if first.status != Some(200) {
            bed::cannot_run("the first request on a channel was not served");
        }
        channels.push(channel);
    }
    let signalled_ms = record.now_ms();
    if bed::with_trouble() {
        instance.signal("TERM");
    }
    is_full.store(true, Ordering::Relaxed);
    record.add("calls of other servers take all slots of the service from now on");
    bed::sleep_ms(SEND_AFTER_MS);
    let seen = Arc::new(Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    for mut channel in channels {
        let (record, seen) = (record.clone(), seen.clone());
        callers.push(std::thread::spawn(move || {
            let id = bed::next_id();
            let answer = bed::ask(&record, &mut channel, ("POST", "/xapu221/ny95/2f"), &id, DEADLINE_MS, b"open gate 4");
            record.add(format!("caller {id} sent_ms={} {}", answer.sent_ms, answer.text()));
            seen.lock().unwrap().push((id, answer));
        }));
        bed::sleep_ms(5);
    }
    // The platform kills what still runs at the end of the grace.
    while record.now_ms() < signalled_ms + GRACE_MS {
        bed::sleep_ms(10);
    }
    match (bed::with_trouble(), instance.ended()) {
        (true, Some(status)) => record.add(format!("{} has ended: {status}", instance.name)),
        (true, None) => instance.signal("KILL"),
        (false, _) => {
            is_full.store(false, Ordering::Relaxed);
            record.add("the calls of other servers have ended");
        }
    }
    for caller in callers {
        let _ = caller.join();
    }
    let seen = seen.lock().unwrap();
    // A channel that ends without a reset had no unread bytes: the process has read the whole request.
    let cut = |(_, answer): &&(String, bed::Seen)| {
        answer.status.is_none()
            && answer.fault == "the channel was closed"
            && answer.end_ms - answer.sent_ms > LOSS_SLACK_MS
            && answer.end_ms - answer.sent_ms < ROUTE_TIMEOUT_MS
    };
    let cut = seen.iter().filter(cut).count();
    record.add(format!("of {} requests on kept channels {cut} ended with their channel, without an answer, later than lossSlack after they were sent", seen.len()));
    cut > 0
}
