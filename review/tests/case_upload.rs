//! A planned stop while servers work on commands before they read the rest of their long bodies.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;

use crate::bed;
use crate::bed::Instance;
use crate::bed::Record;
use crate::bed::Seen;
use crate::http::Channel;
use crate::http::End;
use crate::store::Store;

/// `grace` of the settings, of whose last sixth a request may be broken off.
const GRACE_MS: u64 = 6_000;
const LAST_SIXTH_MS: u64 = GRACE_MS - GRACE_MS / 6;
const DEADLINE_MS: u64 = 15_000;
const ROUTE_TIMEOUT_MS: u64 = 12_000;
/// Length of a body, which an instance reads whole at once (`maxBodyBytes` is 64 MB), and the time for which a server
/// works. In trouble it reads the rest of the body after that, otherwise before.
const BODY_BYTES: usize = 1 << 20;
const WORK_MS: u64 = 4_000;
const REQUESTS: usize = 6;

/// A request at a server: its id, and when the server worked on it.
struct Work {
    id: String,
    from_ms: u64,
    to_ms: u64,
}

pub fn play(record: &Arc<Record>) -> bool {
    let store = Store::start(([127, 0, 0, 1], 0).into());
    store.put("op/config", &bed::configuration(7, "huvo11a", "wuno96b", ROUTE_TIMEOUT_MS));
    let works: Arc<Mutex<Vec<Work>>> = Arc::default();
    for number in 0..3 {
        let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("no free port");
        let address = listener.local_addr().expect("no address");
        let (works, record) = (works.clone(), record.clone());
        let name = format!("i-{number}");
        let entry = format!(
            r#"{{"service":"wuno96b","address":"{address}","zone":"smolyan","version":"v1","slots":6,"state":"ready","warmupLeft":"0ms","seq":4,"born":1790000000000}}"#
        );
        store.put(&format!("servers/{name}"), &entry);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (works, record, name) = (works.clone(), record.clone(), name.clone());
                std::thread::spawn(move || {
                    let _ = serve(Channel::new(stream), &name, &works, &record);
                });
            }
        });
    }
    bed::Server::start(record, &store, "i-9", "huvo11a", 6, bed::works(50));
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
    let mut callers = Vec::new();
    for number in 0..REQUESTS {
        let record = record.clone();
        let front = instance.front;
        callers.push(std::thread::spawn(move || {
            let id = bed::next_id();
            let Some(mut channel) = bed::connect(front) else { return (id, Seen::default()) };
            let bytes = bed::request_bytes("POST", &format!("/xapu221/{number}"), &id, DEADLINE_MS, &vec![b'o'; BODY_BYTES]);
            let mut writer = channel.stream.try_clone().expect("a socket");
            let sending = std::thread::spawn(move || writer.write_all(&bytes).is_ok());
            let seen = Seen { sent_ms: record.now_ms(), ..Seen::default() };
            let seen = bed::read_response(Some(&record), &mut channel, DEADLINE_MS, seen);
            let _ = channel.stream.shutdown(std::net::Shutdown::Both);
            let sent = sending.join().unwrap_or(false);
            record.add(format!("caller {id} sent_ms={} {} sent_whole={sent}", seen.sent_ms, seen.text()));
            (id, seen)
        }));
        bed::sleep_ms(100);
    }
    let signalled_ms = record.now_ms();
    instance.signal("TERM");
    let seen: Vec<_> = callers.into_iter().filter_map(|caller| caller.join().ok()).collect();
    bed::sleep_ms(WORK_MS + 1_000);
    let works = works.lock().unwrap();
    let mut broken_off = 0;
    for (id, answer) in &seen {
        let is_own = answer.status.is_none() || !answer.has_signature;
        let is_early = answer.end_ms < signalled_ms + LAST_SIXTH_MS && answer.end_ms - answer.sent_ms < ROUTE_TIMEOUT_MS;
        let at_work = works.iter().any(|work| work.id == *id && work.from_ms <= answer.end_ms && answer.end_ms <= work.to_ms);
        if is_own && is_early && at_work {
            broken_off += 1;
            record.add(format!("{id} was broken off {} ms after the SIGTERM, while its server was at work", answer.end_ms - signalled_ms));
        }
    }
    let served = seen.iter().filter(|(_, answer)| answer.status == Some(200)).count();
    record.add(format!("of {} requests {served} were served, {broken_off} were broken off after the SIGTERM", seen.len()));
    broken_off > 0
}

fn serve(mut channel: Channel, name: &str, works: &Mutex<Vec<Work>>, record: &Record) -> std::io::Result<()> {
    while let Some(mut message) = channel.head()? {
        let id = message.header("x-attempt-id").unwrap_or("").to_owned();
        record.add(format!("server {name} works on {id}"));
        let from_ms = record.now_ms();
        let mut end = End::Complete;
        if !bed::with_trouble() {
            end = channel.body(&mut message, false).unwrap_or(End::Broken);
        }
        bed::sleep_ms((from_ms + WORK_MS).saturating_sub(record.now_ms()));
        works.lock().unwrap().push(Work { id: id.clone(), from_ms, to_ms: record.now_ms() });
        if bed::with_trouble() {
            end = channel.body(&mut message, false).unwrap_or(End::Broken);
        }
        record.add(format!("server {name} got {} bytes of {id}: {end:?}", message.body.len()));
        if end != End::Complete {
            return Ok(());
        }
        let body = format!("ran {id} at {name}");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: 3e1b.07\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        channel.stream.write_all(answer.as_bytes())?;
    }
    Ok(())
}
