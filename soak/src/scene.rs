//! The processes, fakes and links of one run.

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use standin::UsersStore;
use standin::UsersTarget;
use standin::users::CONFIGURATION;
use standin::users::configuration;
use standin::users::wire::read_frame;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::Arrival;
use super::Change;
use super::Link;
use super::Record;
use super::Request;
use super::Size;
use crate::process::Place;
use crate::process::Process;

/// Services of reads and of commands; the route that moves goes to either.
const SERVICES: [&str; 2] = ["reads", "gates"];
/// Time that a target works on a request.
const WORK: Duration = Duration::from_millis(15);
/// Pause between two looks of the balancer, and its time limit.
const READY_PERIOD: Duration = Duration::from_millis(250);
const READY_LIMIT: Duration = Duration::from_millis(500);
/// Instances whose connections to each other, two files each for a proxy, stay far
/// below the files that a process may open here (20,000).
const MAX_PROXIED_PEERS: usize = 50;
/// Time for all instances to be ready.
const START_LIMIT: Duration = Duration::from_secs(20);

/// One instance's place, with its links.
pub(crate) struct Slot {
    pub(crate) place: Place,
    pub(crate) callers: Link,
    /// None in large scenes, where each instance has a connection to each other.
    pub(crate) peers: Option<Link>,
    pub(crate) store: Link,
    pub(crate) process: Mutex<Option<Process>>,
    /// Whether it has been asked to stop and still runs; no other process is started
    /// at its addresses then.
    pub(crate) is_stopping: AtomicBool,
    is_ready: AtomicBool,
}

/// One target with its link.
pub(crate) struct TargetSlot {
    pub(crate) target: UsersTarget,
    pub(crate) link: Link,
    service: &'static str,
}

impl TargetSlot {
    fn entry(&self, state: &str) -> serde_json::Value {
        self.target
            .entry_at(self.link.address(), self.service, state)
    }
}

/// All that runs in one run.
pub(crate) struct Scene {
    program: PathBuf,
    started: Instant,
    pub(crate) store: UsersStore,
    pub(crate) slots: Vec<Slot>,
    pub(crate) targets: Mutex<Vec<Arc<TargetSlot>>>,
    /// Targets that have left; what they got still counts.
    gone: Mutex<Vec<Arc<TargetSlot>>>,
    record: Mutex<Record>,
    over: AtomicBool,
    version: AtomicU32,
    next_target: AtomicU32,
}

impl Scene {
    /// Starts the fakes, the links and the instances, and waits until all are ready.
    pub(crate) async fn start(
        program: PathBuf,
        folder: PathBuf,
        size: Size,
    ) -> io::Result<Arc<Self>> {
        let store = UsersStore::bind(any_port()).await?;
        let block = next_block();
        let mut slots = Vec::new();
        for number in 0..size.instances {
            let mut slot = slot(&store, &folder, block, number).await?;
            if size.instances <= MAX_PROXIED_PEERS {
                slot.peers = Some(Link::bind(any_port(), slot.place.peers()).await?);
            }
            slots.push(slot);
        }
        let scene = Arc::new(Self {
            program,
            started: Instant::now(),
            store,
            slots,
            targets: Mutex::default(),
            gone: Mutex::default(),
            record: Mutex::default(),
            over: AtomicBool::new(false),
            version: AtomicU32::new(5),
            next_target: AtomicU32::new(0),
        });
        for service in SERVICES {
            for _ in 0..size.targets_each {
                let added = scene.add_target(service).await?;
                let target = (added.target.id().into(), service.into());
                scene.record.lock().targets.push(target);
                scene.targets.lock().push(added);
            }
        }
        scene.put_configuration(0);
        for number in 0..size.instances {
            scene.start_instance(number)?;
        }
        scene.wait_until_ready().await?;
        Ok(scene)
    }

    /// Milliseconds since the start.
    pub(crate) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Whether callers are to end.
    pub(crate) fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    /// Tells callers to end.
    pub(crate) fn end(&self) {
        self.over.store(true, Ordering::Relaxed);
    }

    /// Notes what a caller saw.
    pub(crate) fn tell(&self, request: Request) {
        self.record.lock().requests.push(request);
    }

    /// Notes a change that is in force from now on.
    pub(crate) fn changed(&self, change: Change) {
        let now_ms = self.now_ms();
        self.record.lock().changes.push((now_ms, change));
    }

    /// Notes a fault.
    pub(crate) fn troubled(&self, from_ms: u64, place: super::Place) {
        let to_ms = self.now_ms();
        self.record.lock().troubles.push(super::Trouble {
            from_ms,
            to_ms,
            place,
        });
    }

    /// Where callers reach an instance.
    pub(crate) fn callers_address(&self, instance: usize) -> SocketAddr {
        self.slots[instance].callers.address()
    }

    /// An instance that the balancer believes in; any, if it believes in none.
    pub(crate) fn pick_instance(&self, rng: &mut ChaCha8Rng) -> usize {
        let ready = |number: &usize| self.slots[*number].is_ready.load(Ordering::Relaxed);
        let ready: Vec<usize> = (0..self.slots.len()).filter(ready).collect();
        match ready.len() {
            0 => rng.random_range(0..self.slots.len()),
            len => ready[rng.random_range(0..len)],
        }
    }

    /// Starts an instance's process, if none runs or is stopping.
    pub(crate) fn start_instance(&self, number: usize) -> io::Result<()> {
        let slot = &self.slots[number];
        let mut process = slot.process.lock();
        if process.is_none() && !slot.is_stopping.load(Ordering::Relaxed) {
            let peers = slot.peers.as_ref().map(Link::address);
            let peers = peers.unwrap_or(slot.place.peers());
            *process = Some(Process::start(&self.program, &slot.place, peers)?);
            self.changed(Change::Started { instance: number });
        }
        Ok(())
    }

    /// Whether a process has ended that nobody asked to stop; it is then forgotten.
    pub(crate) fn has_left(&self, number: usize) -> io::Result<bool> {
        let is_stopping = self.slots[number].is_stopping.load(Ordering::Relaxed);
        Ok(!is_stopping && self.take_ended(number)?)
    }

    /// Whether a process has ended; it is then forgotten.
    pub(crate) fn take_ended(&self, number: usize) -> io::Result<bool> {
        let mut process = self.slots[number].process.lock();
        let has_ended = match &mut *process {
            Some(running) => running.has_ended()?,
            None => false,
        };
        if has_ended {
            *process = None;
        }
        Ok(has_ended)
    }

    /// Notes that an instance ended though nobody asked it to.
    pub(crate) fn ended_by_itself(&self, number: usize) {
        let now_ms = self.now_ms();
        self.record
            .lock()
            .ended_by_themselves
            .push((now_ms, number));
    }

    /// Asks an instance for readiness, as a balancer does.
    pub(crate) async fn look(&self, number: usize) {
        let slot = &self.slots[number];
        let asked = tokio::time::timeout(READY_LIMIT, ask_ready(slot.place.ready())).await;
        slot.is_ready
            .store(matches!(asked, Ok(Ok(true))), Ordering::Relaxed);
    }

    /// Looks at all instances until the run is over.
    pub(crate) async fn balance(self: Arc<Self>) {
        while !self.is_over() {
            let looks = (0..self.slots.len()).map(|number| self.look(number));
            futures::future::join_all(looks).await;
            tokio::time::sleep(READY_PERIOD).await;
        }
    }

    /// Moves the route to a service, by its number.
    pub(crate) fn put_configuration(&self, service: usize) {
        let version = self.version.fetch_add(1, Ordering::Relaxed);
        let service = SERVICES[service % SERVICES.len()];
        self.store
            .put(CONFIGURATION, &configuration(version, service));
        self.changed(Change::Moved {
            service: service.into(),
        });
    }

    /// Marks a target as draining.
    pub(crate) fn drain_target(&self, slot: &TargetSlot) {
        self.put_target(slot, "draining");
        let target: Arc<str> = slot.target.id().into();
        self.record
            .lock()
            .targets
            .retain(|(known, _)| *known != target);
        self.changed(Change::Draining { target });
    }

    /// Replaces a target that has drained.
    pub(crate) async fn replace_target(&self, number: usize) -> io::Result<()> {
        let service = self.targets.lock()[number].service;
        let fresh = self.add_target(service).await?;
        let old = std::mem::replace(&mut self.targets.lock()[number], fresh);
        self.store.remove(&format!("servers/{}", old.target.id()));
        self.gone.lock().push(old);
        Ok(())
    }

    async fn add_target(&self, service: &'static str) -> io::Result<Arc<TargetSlot>> {
        let number = self.next_target.fetch_add(1, Ordering::Relaxed);
        let target = UsersTarget::bind(any_port(), &format!("i-{number}")).await?;
        target.set_work(WORK);
        let link = Link::bind(any_port(), target.address()).await?;
        let slot = TargetSlot {
            target,
            link,
            service,
        };
        self.put_target(&slot, "ready");
        Ok(Arc::new(slot))
    }

    fn put_target(&self, slot: &TargetSlot, state: &str) {
        let key = format!("servers/{}", slot.target.id());
        self.store.put(&key, &slot.entry(state));
    }

    async fn wait_until_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + START_LIMIT;
        for (number, slot) in self.slots.iter().enumerate() {
            while !slot.is_ready.load(Ordering::Relaxed) {
                if Instant::now() > deadline {
                    let reason = format!("instance {number} is not ready");
                    return Err(io::Error::new(io::ErrorKind::TimedOut, reason));
                }
                self.look(number).await;
            }
        }
        Ok(())
    }

    /// All that was seen, with what the targets got.
    pub(crate) fn take_record(&self) -> Record {
        let mut record = std::mem::take(&mut *self.record.lock());
        let here = self.targets.lock();
        let gone = self.gone.lock();
        for slot in here.iter().chain(gone.iter()) {
            let got = slot.target.got();
            let target: Arc<str> = slot.target.id().into();
            let arrivals = got.arrivals.into_iter().map(|arrival| Arrival {
                at_ms: arrival.at.duration_since(self.started).as_millis() as u64,
                id: arrival.id.into(),
                target: target.clone(),
                service: slot.service.into(),
            });
            record.arrivals.extend(arrivals);
            let ran = got.ran.into_iter();
            record.ran.extend(ran.map(|id| (id.into(), target.clone())));
        }
        record.arrivals.sort_by_key(|arrival| arrival.at_ms);
        record.end_ms = self.now_ms();
        record
    }
}

/// The addresses of a run: each has a block of loopback addresses of its own.
fn next_block() -> [u8; 2] {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let [.., high, low] = std::process::id().to_be_bytes();
    let number = NUMBER.fetch_add(1, Ordering::Relaxed) as u8;
    // 127.0 and 127.1 are left to tests.
    [(high ^ number) | 0x80, low]
}

async fn slot(
    store: &UsersStore,
    folder: &std::path::Path,
    block: [u8; 2],
    number: usize,
) -> io::Result<Slot> {
    let ip = IpAddr::V4(Ipv4Addr::new(127, block[0], block[1], number as u8 + 1));
    let store = Link::bind(any_port(), store.address()).await?;
    let place = Place {
        name: format!("edge-north-{number}"),
        ip,
        store: store.address(),
        folder: folder.to_owned(),
    };
    Ok(Slot {
        callers: Link::bind(any_port(), place.callers()).await?,
        peers: None,
        store,
        place,
        process: Mutex::default(),
        is_stopping: AtomicBool::new(false),
        is_ready: AtomicBool::new(false),
    })
}

async fn ask_ready(address: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect(address).await?;
    let text = "GET /sniperun/ready HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    stream.write_all(text.as_bytes()).await?;
    let frame = read_frame(&mut stream, &mut Vec::new()).await?;
    Ok(frame.is_some_and(|frame| frame.head.starts_with("HTTP/1.1 200")))
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
