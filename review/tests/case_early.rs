//! A server answers before it has read a long body, keeps the channel and reads on later.

use std::io::Read;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::bed;
use crate::bed::Instance;
use crate::bed::Record;
use crate::bed::Seen;
use crate::http::Channel;
use crate::store::Store;

/// Length of a body: an eighth of `maxBodyBytes`.
const BODY_BYTES: usize = 8 << 20;
const DEADLINE_MS: u64 = 15_000;
const ROUTE_TIMEOUT_MS: u64 = 12_000;
const REQUESTS: usize = 6;
/// What the server reads in each step of `STEP_MS`: some 3.2 s for the whole body.
const STEP_BYTES: usize = 256 << 10;
const STEP_MS: u64 = 100;
/// How long a caller keeps its channel after it has sent the body: twice what the server takes to read it.
const KEPT_MS: u64 = 7_000;

/// The byte of a body at a position; differs between requests.
fn body_byte(request: usize, position: usize) -> u8 {
    (position.wrapping_mul(31) ^ (position >> 12) ^ request) as u8
}

struct Got {
    id: String,
    bytes: usize,
    wrong: usize,
    end: String,
}

pub fn play(record: &Arc<Record>) -> bool {
    let store = Store::start(([127, 0, 0, 1], 0).into());
    store.put("op/config", &bed::configuration(7, "huvo11a", "wuno96b", ROUTE_TIMEOUT_MS));
    let is_early = Arc::new(AtomicBool::new(false));
    let got: Arc<Mutex<Vec<Got>>> = Arc::default();
    for number in 0..2 {
        // A server that reads bodies itself, so that it can answer before the end of one.
        let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("no free port");
        let address = listener.local_addr().expect("no address");
        let (early, got, record) = (is_early.clone(), got.clone(), record.clone());
        let name = format!("i-{number}");
        let entry = format!(
            r#"{{"service":"wuno96b","address":"{address}","zone":"smolyan","version":"v1","slots":6,"state":"ready","warmupLeft":"0ms","seq":4,"born":1790000000000}}"#
        );
        store.put(&format!("servers/{name}"), &entry);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (early, got, record, name) = (early.clone(), got.clone(), record.clone(), name.clone());
                std::thread::spawn(move || {
                    let _ = serve(Channel::new(stream), &name, &early, &got, &record);
                });
            }
        });
    }
    crate::bed::Server::start(record, &store, "i-9", "huvo11a", 6, bed::works(50));
    let instance = Instance::start(record, store.address, "edge-smolyan-1", "smolyan");
    bed::wait_until("readiness", 15_000, || instance.is_ready());
    bed::sleep_ms(5_000);
    is_early.store(bed::with_trouble(), Ordering::Relaxed);
    let mut callers = Vec::new();
    for number in 0..REQUESTS {
        let (record, got) = (record.clone(), got.clone());
        let front = instance.front;
        callers.push(std::thread::spawn(move || {
            let id = bed::next_id();
            let Some(channel) = bed::connect(front) else { return (id, Seen::default(), 0) };
            let body: Vec<u8> = (0..BODY_BYTES).map(|position| body_byte(number, position)).collect();
            let head = format!(
                "POST /xapu221/{number} HTTP/1.1\r\nHost: jepu9.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\nX-Number: {number}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
            );
            let mut writer = channel.stream.try_clone().expect("a socket");
            let log = record.clone();
            let name = id.clone();
            let sending = std::thread::spawn(move || {
                if writer.write_all(head.as_bytes()).is_err() {
                    return 0;
                }
                let mut sent = 0;
                for chunk in body.chunks(64 << 10) {
                    match writer.write_all(chunk) {
                        Ok(()) => sent += chunk.len(),
                        Err(error) => {
                            log.add(format!("caller {name} could send {sent} bytes of the body: {}", error.kind()));
                            break;
                        }
                    }
                }
                sent
            });
            let mut channel = channel;
            let seen = Seen { sent_ms: record.now_ms(), ..Seen::default() };
            let seen = bed::read_response(Some(&record), &mut channel, DEADLINE_MS, seen);
            record.add(format!("caller {id} {}", seen.text()));
            // The caller goes on sending, as the server reads on.
            let sent = sending.join().unwrap_or(0);
            record.add(format!("caller {id} has sent {sent} bytes of the body"));
            // It keeps its channel until the server has got the body, or would have got it twice over.
            let until_ms = record.now_ms() + KEPT_MS;
            while record.now_ms() < until_ms && !got.lock().unwrap().iter().any(|got| got.id == id) {
                bed::sleep_ms(50);
            }
            record.add(format!("caller {id} closes its channel"));
            (id, seen, sent)
        }));
        bed::sleep_ms(700);
    }
    let seen: Vec<_> = callers.into_iter().filter_map(|caller| caller.join().ok()).collect();
    bed::sleep_ms(1_000);
    let got = got.lock().unwrap();
    let mut broken = 0;
    let mut served = 0;
    for (id, answer, _) in &seen {
        if answer.status != Some(200) || !answer.is_complete() {
            continue;
        }
        served += 1;
        match got.iter().find(|got| got.id == *id) {
            Some(got) if got.bytes == BODY_BYTES && got.wrong == 0 => {}
            Some(got) => {
                record.add(format!("{id} was answered 200, and its server got {} of {BODY_BYTES} bytes, {} wrong: {}", got.bytes, got.wrong, got.end));
                broken += 1;
            }
            None => record.add(format!("{id}: its server is still reading")),
        }
    }
    record.add(format!("of {} requests {served} were served; the bodies of {broken} of them did not come whole", seen.len()));
    if served == 0 {
        bed::cannot_run("no request was served");
    }
    broken > 0
}

fn serve(mut channel: Channel, name: &str, early: &AtomicBool, got: &Mutex<Vec<Got>>, record: &Record) -> std::io::Result<()> {
    while let Some(head) = channel.head()? {
        let id = head.header("x-attempt-id").unwrap_or("").to_owned();
        let number: usize = head.header("x-number").and_then(|text| text.parse().ok()).unwrap_or(0);
        let length: usize = head.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let is_early = early.load(Ordering::Relaxed);
        let body = format!("ran {id} at {name}");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: 3e1b.07\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        record.add(format!("server {name} runs {id}"));
        if is_early {
            channel.stream.write_all(answer.as_bytes())?;
        }
        let mut bytes = 0;
        let mut wrong = 0;
        let mut check = |data: &[u8], bytes: &mut usize| {
            for byte in data {
                wrong += usize::from(*byte != body_byte(number, *bytes));
                *bytes += 1;
            }
        };
        let rest = std::mem::take(&mut channel.rest);
        check(&rest, &mut bytes);
        let mut end = "complete".to_owned();
        let _ = channel.stream.set_read_timeout(Some(Duration::from_secs(20)));
        let mut buffer = vec![0; STEP_BYTES];
        'body: while bytes < length {
            bed::sleep_ms(STEP_MS);
            let mut step = 0;
            while step < STEP_BYTES && bytes < length {
                let most = (length - bytes).min(STEP_BYTES - step);
                match channel.stream.read(&mut buffer[..most]) {
                    Ok(0) => {
                        end = "the channel was closed".to_owned();
                        break 'body;
                    }
                    Ok(count) => {
                        check(&buffer[..count], &mut bytes);
                        step += count;
                    }
                    Err(error) => {
                        end = format!("the channel failed: {}", error.kind());
                        break 'body;
                    }
                }
            }
        }
        record.add(format!("server {name} got {bytes} of {length} bytes of {id}, {wrong} wrong: {end}"));
        let is_whole = bytes == length;
        if !is_whole {
            // "Most targets drop a request when its channel closes."
            record.add(format!("server {name} drops {id}, as its channel has closed"));
        }
        got.lock().unwrap().push(Got { id, bytes, wrong, end });
        if !is_whole {
            return Ok(());
        }
        if !is_early {
            channel.stream.write_all(answer.as_bytes())?;
        }
    }
    Ok(())
}
