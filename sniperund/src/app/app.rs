//! Starting and stopping an instance.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use border::ClaimStore;
use parking_lot::Mutex;
use peers::Listener;
use peers::Sender;
use policy::Input;
use policy::Instance;
use policy::command::TicketTable;
use policy::instance::ConfigurationSource;
use policy::instance::EvidenceSharing;
use policy::limits::Admission;
use policy::limits::Customers;
use policy::membership::Member;
use policy::membership::Status;
use tokio::task::JoinHandle;

use super::AppError;
use super::ReadyAddress;
use super::Result;
use super::Surroundings;
use crate::Clock;
use crate::Settings;
use crate::admin::Admin;
use crate::callers::Background;
use crate::callers::CallerListener;
use crate::callers::Entry;
use crate::callers::WaitingRoom;
use crate::clock::unix_ms;
use crate::control::Control;
use crate::control::ControlHandle;
use crate::control::ControlParts;
use crate::control::Permits;
use crate::control::RegistryFollower;
use crate::control::Rereads;
use crate::logs::Sampler;
use crate::metrics::Metrics;
use crate::targets::Pool;
use crate::targets::Prober;

/// Path at which the administrative address tells readiness.
const OWN_READY_PATH: &str = "/ready";
const SWEEP_PERIOD: Duration = Duration::from_secs(2);

/// A running instance.
pub struct App {
    member: Member,
    admin: Admin,
    callers: CallerListener,
    _peers: Listener,
    control: ControlHandle,
    entry: Arc<Entry>,
    tasks: Vec<JoinHandle<()>>,
    drain_grace: Duration,
    stop_limit: Option<Duration>,
    _ready: Option<Admin>,
}

impl App {
    /// Starts an instance between the project's own interfaces.
    ///
    /// # Errors
    ///
    /// Returns [`AppError`] if an address cannot be bound.
    pub async fn start(settings: &Settings) -> Result<Self> {
        Self::start_between(settings, &Surroundings::own(settings)).await
    }

    /// Starts an instance.
    ///
    /// # Errors
    ///
    /// Returns [`AppError`] if an address cannot be bound.
    pub async fn start_between(settings: &Settings, around: &Surroundings) -> Result<Self> {
        let metrics = Arc::new(Metrics::default());
        let clock = Clock::default();
        let started_ms = unix_ms();
        let rereads = Arc::new(Rereads::default());

        // Peers need the address that callers use, so both are bound first.
        let late = Arc::new(LateHandle::default());
        let peers = bind_peers(settings, &metrics, &late).await?;
        let reserved = reserve(settings.callers)
            .map_err(|source| bind_error("callers", settings.callers, source))?;
        let member = Member {
            id: settings.id.clone(),
            data_centre: settings.data_centre.clone(),
            caller_address: reserved,
            peer_address: settings.advertised_peers.unwrap_or(peers.address()),
            incarnation: started_ms,
            status: Status::Alive,
        };
        let mut own = policy::Settings::new(member.clone(), rand::random());
        own.seeds = settings.seeds.clone();
        own.shared_retry_reserve = around.shared_retry_reserve;
        if around.registry.is_some() {
            own.source = ConfigurationSource::Registry;
            own.evidence = EvidenceSharing::Alerts;
        }
        let permits = Arc::new(Permits::default());
        let parts = ControlParts {
            clock,
            sender: Sender::new(metrics.peers.clone()),
            platform: around.platform.clone(),
            rereads: rereads.clone(),
            prober: Prober,
            metrics: metrics.clone(),
            permits: permits.clone(),
        };
        let (control_loop, control) = Control::new(Instance::new(own), parts);
        late.set(control.clone());
        let entry = Arc::new(Entry {
            id: settings.id.clone(),
            started_ms,
            clock,
            control: control.clone(),
            pool: Pool::new(settings.limits.idle_connections),
            admission: Arc::new(Admission::new(settings.limits.in_flight)),
            customers: Arc::new(Customers::default()),
            waiting: WaitingRoom::default(),
            permits,
            claims: around
                .platform
                .clone()
                .map(|platform| Arc::new(ClaimStore::new(platform, settings.limits.claims))),
            header_protocol: around.header_protocol.clone(),
            sampler: Sampler::default(),
            tickets: Mutex::new(TicketTable::new(
                settings.id.clone(),
                started_ms,
                settings.limits.tickets,
            )),
            metrics: metrics.clone(),
            limits: settings.limits,
            background: Background::default(),
            attempts: AtomicU64::new(0),
        });
        let callers = CallerListener::bind(reserved, entry.clone())
            .await
            .map_err(|source| bind_error("callers", reserved, source))?;
        let admin = Admin::bind(settings.admin, OWN_READY_PATH, &control, &metrics, clock)
            .await
            .map_err(|source| bind_error("admin", settings.admin, source))?;
        let ready = match around.ready {
            Some(ReadyAddress { address, path }) => Some(
                Admin::bind(address, path, &control, &metrics, clock)
                    .await
                    .map_err(|source| bind_error("ready", address, source))?,
            ),
            None => None,
        };
        let mut tasks = vec![
            tokio::spawn(control_loop.run()),
            tokio::spawn(call_waiting(entry.clone())),
            tokio::spawn(sweep(entry.clone())),
        ];
        if let Some(registry) = around.registry.clone() {
            let follower = RegistryFollower {
                registry,
                handle: control.clone(),
                metrics,
                clock,
                member: member.clone(),
                rereads,
            };
            tasks.push(tokio::spawn(follower.run()));
        }
        log::info!(
            "event=started instance={} data_centre={} callers={} peers={} admin={}",
            member.id,
            member.data_centre,
            callers.address(),
            member.peer_address,
            admin.address()
        );
        Ok(Self {
            member,
            admin,
            callers,
            _peers: peers,
            control,
            entry,
            tasks,
            _ready: ready,
            drain_grace: Duration::from_millis(settings.drain_grace_ms),
            stop_limit: around.stop_limit_ms.map(Duration::from_millis),
        })
    }

    /// The instance as others see it.
    pub fn member(&self) -> &Member {
        &self.member
    }

    /// The administrative address.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// The way to the control loop.
    pub fn control(&self) -> &ControlHandle {
        &self.control
    }

    /// Changes the time from the stop signal in which the instance ends.
    pub fn set_stop_limit_ms(&mut self, stop_limit_ms: u64) {
        self.stop_limit = Some(Duration::from_millis(stop_limit_ms));
    }

    /// Stops by plan: not ready first, then no new connections, then the end of
    /// all requests, however long they take.
    pub async fn drain(self) {
        self.control.tell(Input::Drain);
        tokio::time::sleep(self.drain_grace).await;
        let finish = async {
            self.callers.drain().await;
            self.entry.background.finished().await;
        };
        match self.stop_limit {
            Some(limit) => {
                let left = limit.saturating_sub(self.drain_grace);
                if tokio::time::timeout(left, finish).await.is_err() {
                    log::warn!(
                        "event=stop-limit-reached in_work={}",
                        self.entry.admission.in_flight()
                    );
                }
            }
            None => finish.await,
        }
        for task in &self.tasks {
            task.abort();
        }
        log::info!("event=stopped instance={}", self.member.id);
    }
}

/// The control handle, for the listener that is bound before it exists.
#[derive(Default)]
struct LateHandle {
    handle: std::sync::OnceLock<ControlHandle>,
}

impl LateHandle {
    fn set(&self, handle: ControlHandle) {
        let _ = self.handle.set(handle);
    }
}

async fn bind_peers(
    settings: &Settings,
    metrics: &Metrics,
    late: &Arc<LateHandle>,
) -> Result<Listener> {
    let late = late.clone();
    let handler = Arc::new(move |envelope| {
        if let Some(handle) = late.handle.get() {
            handle.tell(Input::Received(envelope));
        }
    });
    let connections = settings.limits.peer_connections;
    Listener::bind(settings.peers, connections, metrics.peers.clone(), handler)
        .await
        .map_err(|source| bind_error("peers", settings.peers, source))
}

/// Finds a free port where the settings leave it open.
fn reserve(address: SocketAddr) -> io::Result<SocketAddr> {
    if address.port() != 0 {
        return Ok(address);
    }
    std::net::TcpListener::bind(address)?.local_addr()
}

fn bind_error(role: &'static str, address: SocketAddr, source: io::Error) -> AppError {
    AppError::Bind {
        role,
        address,
        source,
    }
}

async fn call_waiting(entry: Arc<Entry>) {
    let shared = entry.control.shared().clone();
    entry.waiting.run(entry.clock, &shared).await;
}

async fn sweep(entry: Arc<Entry>) {
    loop {
        tokio::time::sleep(SWEEP_PERIOD).await;
        entry.pool.sweep();
    }
}
