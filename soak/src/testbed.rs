//! Processes, fakes and links of one run.

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
use serde_json::json;
use standin::UsersStore;
use standin::UsersTarget;
use standin::users::CONFIGURATION_KEY;
use standin::users::add_route;
use standin::users::configuration;
use standin::users::wire::header;
use standin::users::wire::read_message;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::Arrival;
use super::Change;
use super::FOREIGN_TARGET;
use super::Link;
use super::Record;
use super::Request;
use super::RequestKind;
use super::Size;
use crate::checks::customers::SERVICE_WITH_GUEST;
use crate::foreign_entries;
use crate::process::InstanceSpec;
use crate::process::Process;

/// Services for reads and for commands. The moving route points to one of them at a time.
const SERVICES: [&str; 2] = ["reads", "gates"];
/// Customers of all configurations.
pub(crate) const CUSTOMERS: [&str; 2] = ["kilo", "lima"];
/// Customer whose key is withdrawn while the moving route points to another service than
/// [`SERVICE_WITH_GUEST`].
pub(crate) const GUEST: &str = "guest";
/// Service to which the moving route points in the configurations that have a route for orders below
/// it, whose requests must run at most once.
pub(crate) const SERVICE_WITH_ORDERS: &str = "gates";
/// Processing time of a request at a target.
const PROCESSING_TIME: Duration = Duration::from_millis(15);
/// Pause between readiness checks of the load balancer, and the timeout of a check.
const READY_POLL_PERIOD: Duration = Duration::from_millis(250);
const READY_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of instances whose peer connections are proxied. Each connection takes
/// two file descriptors, and the total must stay far below the limit of 20,000 open files.
const MAX_PROXIED_PEERS: usize = 50;
/// Time within which all instances must be ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// An instance with its links and its current process.
pub(crate) struct InstanceHandle {
    pub(crate) spec: InstanceSpec,
    pub(crate) caller_link: Link,
    /// `None` above [`MAX_PROXIED_PEERS`], as every instance connects to every other.
    pub(crate) peer_link: Option<Link>,
    pub(crate) store_link: Link,
    pub(crate) process: Mutex<Option<Process>>,
    /// Whether a planned stop is in progress. Meanwhile no other process may be started on
    /// the same addresses.
    pub(crate) is_stopping: AtomicBool,
    is_ready: AtomicBool,
}

/// A target with its link.
pub(crate) struct TargetHandle {
    pub(crate) target: UsersTarget,
    pub(crate) link: Link,
    service: &'static str,
}

impl TargetHandle {
    fn entry(&self, state: &str) -> serde_json::Value {
        self.target
            .entry_at(self.link.address(), self.service, state)
    }
}

/// All components of one run.
pub(crate) struct Testbed {
    program: PathBuf,
    started: Instant,
    pub(crate) store: UsersStore,
    pub(crate) instances: Vec<InstanceHandle>,
    pub(crate) targets: Mutex<Vec<Arc<TargetHandle>>>,
    /// Target at the address that entries of other writers have.
    foreign_target: UsersTarget,
    /// Targets that were replaced; the requests that they received still count.
    removed_targets: Mutex<Vec<Arc<TargetHandle>>>,
    record: Mutex<Record>,
    finished: AtomicBool,
    version: AtomicU32,
    next_target: AtomicU32,
    /// Routes of each configuration that get no requests.
    idle_routes: usize,
}

impl Testbed {
    /// Starts the fakes, the links and the instances, and waits until all instances are ready.
    pub(crate) async fn start(
        program: PathBuf,
        folder: PathBuf,
        size: Size,
        idle_routes: usize,
    ) -> io::Result<Arc<Self>> {
        let store = UsersStore::bind(ephemeral_address()).await?;
        let block = next_address_block();
        let mut instances = Vec::new();
        for number in 0..size.instances {
            let mut instance = bind_instance(&store, &folder, block, number).await?;
            if size.instances <= MAX_PROXIED_PEERS {
                instance.peer_link =
                    Some(Link::bind(ephemeral_address(), instance.spec.peer_address()).await?);
            }
            instances.push(instance);
        }
        let testbed = Arc::new(Self {
            program,
            started: Instant::now(),
            store,
            instances,
            targets: Mutex::default(),
            foreign_target: UsersTarget::bind(ephemeral_address(), FOREIGN_TARGET).await?,
            removed_targets: Mutex::default(),
            record: Mutex::default(),
            finished: AtomicBool::new(false),
            version: AtomicU32::new(5),
            next_target: AtomicU32::new(0),
            idle_routes,
        });
        for service in SERVICES {
            for _ in 0..size.targets_per_service {
                let added = testbed.add_target(service).await?;
                let target = (added.target.id().into(), service.into());
                testbed.record.lock().targets.push(target);
                testbed.targets.lock().push(added);
            }
        }
        testbed.put_configuration(0);
        for number in 0..size.instances {
            testbed.start_instance(number)?;
        }
        testbed.wait_until_ready().await?;
        Ok(testbed)
    }

    /// Returns the time since the start of the testbed in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Whether callers and background tasks must stop.
    pub(crate) fn is_finished(&self) -> bool {
        self.finished.load(Ordering::Relaxed)
    }

    /// Makes callers and background tasks stop.
    pub(crate) fn finish(&self) {
        self.finished.store(true, Ordering::Relaxed);
    }

    /// Records a request as its caller observed it.
    pub(crate) fn record_request(&self, request: Request) {
        let mut record = self.record.lock();
        match request.kind {
            RequestKind::Guest | RequestKind::Stranger => record.guests.push(request),
            _ => record.requests.push(request),
        }
    }

    /// Records a change at the current time.
    pub(crate) fn record_change(&self, change: Change) {
        let now_ms = self.now_ms();
        self.record.lock().changes.push((now_ms, change));
    }

    /// Records a fault that lasted from `from_ms` until now.
    pub(crate) fn record_fault(&self, from_ms: u64, component: super::Component) {
        let to_ms = self.now_ms();
        self.record.lock().fault_periods.push(super::FaultPeriod {
            from_ms,
            to_ms,
            component,
        });
    }

    /// Returns the address at which callers connect to an instance, through its link.
    pub(crate) fn caller_link_address(&self, instance: usize) -> SocketAddr {
        self.instances[instance].caller_link.address()
    }

    /// Picks a random instance that passed its last readiness check, or any instance if none did.
    pub(crate) fn pick_instance(&self, rng: &mut ChaCha8Rng) -> usize {
        let ready = |number: &usize| self.instances[*number].is_ready.load(Ordering::Relaxed);
        let ready: Vec<usize> = (0..self.instances.len()).filter(ready).collect();
        match ready.len() {
            0 => rng.random_range(0..self.instances.len()),
            len => ready[rng.random_range(0..len)],
        }
    }

    /// Starts an instance's process unless one is running or stopping.
    pub(crate) fn start_instance(&self, number: usize) -> io::Result<()> {
        let instance = &self.instances[number];
        let mut process = instance.process.lock();
        if process.is_none() && !instance.is_stopping.load(Ordering::Relaxed) {
            let peers = instance.peer_link.as_ref().map(Link::address);
            let peers = peers.unwrap_or(instance.spec.peer_address());
            *process = Some(Process::start(&self.program, &instance.spec, peers)?);
            self.record_change(Change::Started { instance: number });
        }
        Ok(())
    }

    /// Returns whether a process exited without a planned stop, and clears its handle if so.
    pub(crate) fn take_unexpected_exit(&self, number: usize) -> io::Result<bool> {
        let is_stopping = self.instances[number].is_stopping.load(Ordering::Relaxed);
        Ok(!is_stopping && self.take_exit(number)?)
    }

    /// Returns whether a process has exited, and clears its handle if so.
    pub(crate) fn take_exit(&self, number: usize) -> io::Result<bool> {
        let mut process = self.instances[number].process.lock();
        let has_exited = match &mut *process {
            Some(running) => running.has_exited()?,
            None => false,
        };
        if has_exited {
            *process = None;
        }
        Ok(has_exited)
    }

    /// Records that an instance exited without a planned stop.
    pub(crate) fn record_unexpected_exit(&self, number: usize) {
        let now_ms = self.now_ms();
        self.record.lock().unexpected_exits.push((now_ms, number));
    }

    /// Records which instances did not pass their last readiness check.
    pub(crate) fn record_unready_instances(&self) {
        let unready = |number: &usize| !self.instances[*number].is_ready.load(Ordering::Relaxed);
        self.record.lock().unready_instances = (0..self.instances.len()).filter(unready).collect();
    }

    /// Checks the readiness of an instance, as a load balancer does.
    pub(crate) async fn check_readiness(&self, number: usize) {
        let instance = &self.instances[number];
        let ready = tokio::time::timeout(
            READY_TIMEOUT,
            query_readiness(instance.spec.ready_address()),
        )
        .await;
        instance
            .is_ready
            .store(matches!(ready, Ok(Ok(true))), Ordering::Relaxed);
    }

    /// Checks the readiness of all instances periodically until the run is finished.
    pub(crate) async fn poll_readiness(self: Arc<Self>) {
        while !self.is_finished() {
            let checks = (0..self.instances.len()).map(|number| self.check_readiness(number));
            futures::future::join_all(checks).await;
            tokio::time::sleep(READY_POLL_PERIOD).await;
        }
    }

    /// Writes a configuration that points the moving route to a service: number `service`,
    /// modulo the number of services.
    pub(crate) fn put_configuration(&self, service: usize) {
        let version = self.version.fetch_add(1, Ordering::Relaxed);
        let service = SERVICES[service % SERVICES.len()];
        let mut document = configuration(version, service);
        document["tenants"] = CUSTOMERS
            .iter()
            .map(|name| (name.to_string(), json!({"apiKeys": [key_of(name)]})))
            .collect::<serde_json::Map<_, _>>()
            .into();
        if service == SERVICE_WITH_GUEST {
            document["tenants"][GUEST] = json!({"apiKeys": [key_of(GUEST)]});
        }
        for number in 0..self.idle_routes {
            let (name, path) = (format!("r-idle-{number}"), format!("/idle-{number}/"));
            add_route(&mut document, &name, &path, "idempotent");
        }
        if service == SERVICE_WITH_ORDERS {
            add_route(&mut document, "r-order", "/moved/order/", "non_idempotent");
        }
        self.store.put(CONFIGURATION_KEY, &document);
        self.record_change(Change::RouteMoved {
            service: service.into(),
        });
    }

    /// Writes a configuration with the route for orders.
    pub(crate) fn put_configuration_with_orders(&self) {
        let service = SERVICES
            .iter()
            .position(|service| *service == SERVICE_WITH_ORDERS);
        self.put_configuration(service.unwrap_or(0));
    }

    /// Marks a target as draining in the store.
    pub(crate) fn drain_target(&self, handle: &TargetHandle) {
        self.put_target(handle, "draining");
        let target: Arc<str> = handle.target.id().into();
        self.record
            .lock()
            .targets
            .retain(|(other, _)| *other != target);
        self.record_change(Change::Draining { target });
    }

    /// Replaces a drained target with a new one of the same service.
    pub(crate) async fn replace_target(&self, number: usize) -> io::Result<()> {
        let service = self.targets.lock()[number].service;
        let replacement = self.add_target(service).await?;
        let old = std::mem::replace(&mut self.targets.lock()[number], replacement);
        self.store.remove(&format!("servers/{}", old.target.id()));
        self.removed_targets.lock().push(old);
        Ok(())
    }

    async fn add_target(&self, service: &'static str) -> io::Result<Arc<TargetHandle>> {
        let number = self.next_target.fetch_add(1, Ordering::Relaxed);
        let target = UsersTarget::bind(ephemeral_address(), &format!("i-{number}")).await?;
        target.set_work_time(PROCESSING_TIME);
        let link = Link::bind(ephemeral_address(), target.address()).await?;
        let handle = TargetHandle {
            target,
            link,
            service,
        };
        self.put_target(&handle, "ready");
        Ok(Arc::new(handle))
    }

    fn put_target(&self, handle: &TargetHandle, state: &str) {
        let key = format!("servers/{}", handle.target.id());
        self.store.put(&key, &handle.entry(state));
    }

    /// Writes entries of another writer after that of a target.
    pub(crate) fn put_foreign_entries(&self, target: &str, kind: usize) {
        let whole = self.foreign_target.entry(SERVICES[0], "ready");
        for name in foreign_entries::names(target, kind) {
            let value = foreign_entries::value(whole.clone(), kind);
            self.store.put_bytes(&format!("servers/{name}"), value);
        }
    }

    /// Removes the entries of another writer if the number of their kind is a multiple of three, else
    /// gives them another value.
    pub(crate) fn change_foreign_entries(&self, target: &str, kind: usize) {
        for name in foreign_entries::names(target, kind) {
            let key = format!("servers/{name}");
            match kind % 3 {
                0 => self.store.remove(&key),
                _ => self.store.put_bytes(&key, name.into_bytes()),
            }
        }
    }

    async fn wait_until_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        for (number, instance) in self.instances.iter().enumerate() {
            while !instance.is_ready.load(Ordering::Relaxed) {
                if Instant::now() > deadline {
                    let reason = format!("instance {number} was not ready in time");
                    return Err(io::Error::new(io::ErrorKind::TimedOut, reason));
                }
                self.check_readiness(number).await;
            }
        }
        Ok(())
    }

    /// Takes the record and adds the requests that the targets received.
    pub(crate) fn take_record(&self) -> Record {
        let mut record = std::mem::take(&mut *self.record.lock());
        let current = self.targets.lock();
        let removed = self.removed_targets.lock();
        for handle in current.iter().chain(removed.iter()) {
            let received = handle.target.observed();
            let target: Arc<str> = handle.target.id().into();
            let arrivals = received.arrivals.into_iter().map(|arrival| Arrival {
                at_ms: arrival.at.duration_since(self.started).as_millis() as u64,
                id: arrival.id.into(),
                target: target.clone(),
                service: handle.service.into(),
                customer: None,
            });
            // A target records the head of a request together with its arrival.
            let customers = received.heads.iter().map(|head| header(head, "x-tenant"));
            let arrivals = arrivals.zip(customers).map(|(arrival, customer)| Arrival {
                customer: customer.map(Into::into),
                ..arrival
            });
            record.arrivals.extend(arrivals);
            let ran = received.ran.into_iter();
            record.ran.extend(ran.map(|id| (id.into(), target.clone())));
        }
        let foreign = self.foreign_target.observed().arrivals.into_iter();
        record.arrivals.extend(foreign.map(|arrival| Arrival {
            at_ms: arrival.at.duration_since(self.started).as_millis() as u64,
            id: arrival.id.into(),
            target: FOREIGN_TARGET.into(),
            service: FOREIGN_TARGET.into(),
            customer: None,
        }));
        record.arrivals.sort_by_key(|arrival| arrival.at_ms);
        record.end_ms = self.now_ms();
        record
    }
}

/// Returns the key of a customer.
pub(crate) fn key_of(customer: &str) -> String {
    format!("key-of-{customer}")
}

/// Returns the second and third octet of the loopback addresses of a run. Each run uses a
/// block of its own.
fn next_address_block() -> [u8; 2] {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let [.., high, low] = std::process::id().to_be_bytes();
    let number = NUMBER.fetch_add(1, Ordering::Relaxed) as u8;
    // 127.0 and 127.1 are reserved for tests.
    [(high ^ number) | 0x80, low]
}

async fn bind_instance(
    store: &UsersStore,
    folder: &std::path::Path,
    block: [u8; 2],
    number: usize,
) -> io::Result<InstanceHandle> {
    let ip = IpAddr::V4(Ipv4Addr::new(127, block[0], block[1], number as u8 + 1));
    let store_link = Link::bind(ephemeral_address(), store.address()).await?;
    let spec = InstanceSpec {
        name: format!("edge-north-{number}"),
        ip,
        store_address: store_link.address(),
        folder: folder.to_owned(),
    };
    Ok(InstanceHandle {
        caller_link: Link::bind(ephemeral_address(), spec.caller_address()).await?,
        peer_link: None,
        store_link,
        spec,
        process: Mutex::default(),
        is_stopping: AtomicBool::new(false),
        is_ready: AtomicBool::new(false),
    })
}

async fn query_readiness(address: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect(address).await?;
    let text = "GET /sniperun/ready HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    stream.write_all(text.as_bytes()).await?;
    let message = read_message(&mut stream, &mut Vec::new()).await?;
    Ok(message.is_some_and(|message| message.head.starts_with("HTTP/1.1 200")))
}

fn ephemeral_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
