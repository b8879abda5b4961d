//! Stand-in of a target: registers itself, and runs the requests that expect it.

use std::io;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::bed::Record;
use crate::http::Channel;
use crate::http::Head;
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// What a target has got.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub target: String,
    pub path: String,
    /// When its head had arrived.
    pub at_ms: u64,
    /// When its body had arrived; `None` if the channel ended before.
    pub whole_ms: Option<u64>,
}

/// All that targets have got, and begun to work on.
pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// The time until which the targets want nothing, in milliseconds of the record.
pub type Pause = Arc<AtomicU64>;

pub struct Target {
    pub name: String,
    pub service: String,
    pub address: String,
    zone: String,
    slots: u32,
    born: u64,
    pause: Pause,
}

/// How a target treats its requests.
#[derive(Clone, Copy)]
pub struct Behaviour {
    pub work_ms: u64,
    pub response_bytes: usize,
    /// A target that reads slowly; `None` reads at once.
    pub slow_reading: Option<SlowReading>,
}

/// Reads a part of a body after each pause, on a link with a small window.
#[derive(Clone, Copy)]
pub struct SlowReading {
    pub part_bytes: usize,
    pub pause_ms: u64,
    pub window_bytes: i32,
}

/// The longest segment of an Ethernet link, in bytes.
const SEGMENT_BYTES: i32 = 1_400;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, bytes: u32) -> i32;
}

/// Gives a listener's connections the window and the segments of a small link.
fn limit_window(listener: &TcpListener, window_bytes: i32) {
    let socket = listener.as_raw_fd();
    set_option(socket, (SOL_SOCKET, SO_RCVBUF), window_bytes);
    set_option(socket, (IPPROTO_TCP, TCP_MAXSEG), SEGMENT_BYTES);
}

fn set_option(socket: i32, (level, name): (i32, i32), value: i32) {
    // SAFETY: the socket is open, and the option's value is an integer of four bytes.
    let result = unsafe { setsockopt(socket, level, name, &raw const value, 4) };
    assert_eq!(result, 0, "a socket option cannot be set");
}

impl Target {
    pub fn start(
        (name, service, ip): (&str, &str, &str),
        slots: u32,
        behaviour: Behaviour,
        arrivals: &Arrivals,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("the target cannot listen");
        let address = listener.local_addr().expect("no address").to_string();
        if let Some(slow_reading) = behaviour.slow_reading {
            limit_window(&listener, slow_reading.window_bytes);
        }
        let pause = Pause::default();
        let served = Served {
            name: name.to_owned(),
            behaviour,
            pause: pause.clone(),
            slots: Arc::new((Mutex::new(slots), Condvar::new())),
            arrivals: arrivals.clone(),
            record: record.clone(),
        };
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                std::thread::spawn(move || served.serve(stream));
            }
        });
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Self {
            name: name.to_owned(),
            service: service.to_owned(),
            address,
            zone: "zone-0".to_owned(),
            slots,
            born: born.map_or(0, |time| time.as_millis() as u64),
            pause,
        }
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.name)
    }

    fn entry(&self) -> String {
        let Self {
            service,
            address,
            zone,
            slots,
            born,
            ..
        } = self;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"warmupLeft\":\"0ms\",\"seq\":1,\"born\":{born}}}"
        )
    }

    /// Turns requests away until a time of the record, in milliseconds.
    pub fn pause_until(&self, until_ms: u64) {
        self.pause.store(until_ms, Ordering::Relaxed);
    }

    /// Writes the entry now only: what follows is the case's.
    pub fn register_once(&self, store: &Store) {
        store.put(&self.key(), &self.entry());
    }

    /// Writes the entry now and with each heartbeat; it changes only if another writer has changed it.
    pub fn register(&self, store: &Store) {
        let (key, entry, store) = (self.key(), self.entry(), store.clone());
        store.put(&key, &entry);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT);
                if !store.holds(&key, &entry) {
                    store.put(&key, &entry);
                }
            }
        });
    }
}

#[derive(Clone)]
struct Served {
    name: String,
    behaviour: Behaviour,
    pause: Pause,
    /// Free slots; further requests wait for one.
    slots: Arc<(Mutex<u32>, Condvar)>,
    arrivals: Arrivals,
    record: Record,
}

impl Served {
    fn serve(&self, stream: TcpStream) {
        let mut channel = Channel::new(stream);
        loop {
            if let Some(slow_reading) = self.behaviour.slow_reading {
                channel.read_parts(slow_reading.part_bytes, Duration::ZERO);
            }
            let Ok(Some(head)) = channel.read_head() else {
                return;
            };
            if self.answer(&mut channel, &head).is_err() {
                return;
            }
        }
    }

    fn answer(&self, channel: &mut Channel, head: &Head) -> io::Result<()> {
        let id = head.header("x-attempt-id").unwrap_or("-").to_owned();
        if head
            .header("x-expect-instance")
            .is_some_and(|name| name != self.name)
        {
            let _ = channel.read_body(head)?;
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                self.name
            );
            return channel.stream.write_all(text.as_bytes());
        }
        let now_ms = self.record.now_ms();
        let pause_ms = self.pause.load(Ordering::Relaxed).saturating_sub(now_ms);
        if pause_ms > 0 {
            let name = &self.name;
            self.record.line(&format!(
                "{id} was turned away by target {name} for {pause_ms} ms"
            ));
            let text = format!(
                "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nRetry-After: {:.3}\r\nContent-Length: 0\r\n\r\n",
                pause_ms as f64 / 1e3
            );
            channel.stream.write_all(text.as_bytes())?;
            return channel.read_body(head).map(|_| ());
        }
        let arrival = Arrival {
            id: id.clone(),
            target: self.name.clone(),
            path: head.path().to_owned(),
            at_ms: self.record.now_ms(),
            whole_ms: None,
        };
        let index = {
            let mut arrivals = self.arrivals.lock().unwrap();
            arrivals.push(arrival);
            arrivals.len() - 1
        };
        let (name, line) = (&self.name, &head.first_line);
        self.record
            .line(&format!("{id} reached target {name}: {line}"));
        if let Some(slow_reading) = self.behaviour.slow_reading {
            let pause = Duration::from_millis(slow_reading.pause_ms);
            channel.read_parts(slow_reading.part_bytes, pause);
        }
        let body = channel.read_body(head);
        if let Err(error) = body {
            self.record
                .line(&format!("{id} broke off at target {name}: {error}"));
            return Err(error);
        }
        self.record.line(&format!("{id} is whole at target {name}"));
        self.arrivals.lock().unwrap()[index].whole_ms = Some(self.record.now_ms());
        let (free, freed) = &*self.slots;
        let mut free_slots = free.lock().unwrap();
        while *free_slots == 0 {
            free_slots = freed.wait(free_slots).unwrap();
        }
        *free_slots -= 1;
        drop(free_slots);
        std::thread::sleep(Duration::from_millis(self.behaviour.work_ms));
        *free.lock().unwrap() += 1;
        freed.notify_one();
        self.record.line(&format!("{id} was run by target {name}"));
        let bytes = self.behaviour.response_bytes;
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: s.{bytes}\r\nContent-Length: {bytes}\r\n\r\n"
        );
        let mut answer = text.into_bytes();
        answer.resize(answer.len() + bytes, b'x');
        channel.stream.write_all(&answer)
    }
}
