//! Startup and graceful shutdown of an instance.
//!
//! [`App`] binds the listeners, wires the components together and runs their tasks. Shutdown
//! reports not ready first, so that load balancers stop sending before connections are refused.

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
use policy::limits::BodyMemory;
use policy::limits::Customers;
use policy::membership::Member;
use policy::membership::Status;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::AppError;
use super::Environment;
use super::ReadyAddress;
use super::Result;
use crate::Clock;
use crate::Settings;
use crate::admin::Admin;
use crate::callers::BackgroundTasks;
use crate::callers::CallerListener;
use crate::callers::ProxyState;
use crate::callers::RequestQueues;
use crate::clock::unix_ms;
use crate::control::ControlHandle;
use crate::control::ControlLoop;
use crate::control::ControlLoopDependencies;
use crate::control::PendingPermits;
use crate::control::PendingRetryLoans;
use crate::control::RegistryFollower;
use crate::control::RereadSignals;
use crate::logs::Sampler;
use crate::metrics::Metrics;
use crate::targets::Pool;
use crate::targets::Prober;

/// Time before the stop limit at which requests that wait for a response are answered.
pub(super) const LAST_ANSWERS_TIME: Duration = Duration::from_millis(150);

/// Path of the readiness check on the administrative listener.
const ADMIN_READY_PATH: &str = "/ready";
/// Interval at which expired idle connections to targets are closed.
const IDLE_SWEEP_PERIOD: Duration = Duration::from_secs(2);

/// A running instance.
pub struct App {
    member: Member,
    admin: Admin,
    callers: CallerListener,
    _peers: Listener,
    control: ControlHandle,
    proxy_state: Arc<ProxyState>,
    tasks: Vec<JoinHandle<()>>,
    drain_grace: Duration,
    stop_limit: Option<Duration>,
    _ready: Option<Admin>,
}

impl App {
    /// Starts an instance with the project's native interfaces.
    ///
    /// # Errors
    ///
    /// Returns [`AppError`] if an address cannot be bound.
    pub async fn start(settings: &Settings) -> Result<Self> {
        Self::start_with(settings, &Environment::native(settings)).await
    }

    /// Starts an instance in the given environment.
    ///
    /// # Errors
    ///
    /// Returns [`AppError`] if an address cannot be bound.
    pub async fn start_with(settings: &Settings, environment: &Environment) -> Result<Self> {
        let body_memory = Arc::new(BodyMemory::new(settings.limits.body_memory_bytes));
        let metrics = Arc::new(Metrics::default().with_body_memory(body_memory.clone()));
        let clock = Clock::default();
        let started_ms = unix_ms();
        let reread_signals = Arc::new(RereadSignals::default());

        // The member record contains both the caller and the peer address, so the peer listener
        // is bound and the caller port resolved before the record is created.
        let deferred = Arc::new(DeferredHandle::default());
        let peers = bind_peers(settings, &metrics, &deferred).await?;
        let callers_address = resolve_port(settings.callers)
            .map_err(|source| bind_error("callers", settings.callers, source))?;
        let member = Member {
            id: settings.id.clone(),
            data_centre: settings.data_centre.clone(),
            caller_address: callers_address,
            peer_address: settings.advertised_peers.unwrap_or(peers.address()),
            incarnation: started_ms,
            status: Status::Alive,
        };
        let mut policy_settings = policy::Settings::new(member.clone(), rand::random());
        policy_settings.seeds = settings.seeds.clone();
        policy_settings.shared_retry_reserve = environment.shared_retry_reserve;
        policy_settings.is_first_start = environment.is_first_start;
        policy_settings.departure_limit_us = environment.departure_limit_us;
        if environment.registry.is_some() {
            policy_settings.source = ConfigurationSource::Registry;
            policy_settings.evidence = EvidenceSharing::Alerts;
        }
        let permits = Arc::new(PendingPermits::default());
        let retry_loans = Arc::new(PendingRetryLoans::default());
        let quota_answers = Arc::new(Notify::new());
        let parts = ControlLoopDependencies {
            clock,
            sender: Sender::new(metrics.peers.clone()),
            platform: environment.platform.clone(),
            reread_signals: reread_signals.clone(),
            prober: Prober,
            header_protocol: environment.header_protocol.clone(),
            metrics: metrics.clone(),
            permits: permits.clone(),
            retry_loans: retry_loans.clone(),
            quota_answers: quota_answers.clone(),
        };
        let (control_loop, control) = ControlLoop::new(Instance::new(policy_settings), parts);
        deferred.set(control.clone());
        let proxy_state = Arc::new(ProxyState {
            id: settings.id.clone(),
            started_ms,
            clock,
            control: control.clone(),
            pool: Pool::new(settings.limits.idle_connections, body_memory.clone()),
            admission: Arc::new(Admission::new(settings.limits.in_flight)),
            body_memory,
            customers: Arc::new(Customers::default()),
            request_queues: RequestQueues::default(),
            permits,
            retry_loans,
            quota_answers,
            last_answers_us: watch::Sender::new(None),
            claims: environment
                .platform
                .clone()
                .map(|platform| Arc::new(ClaimStore::new(platform, settings.limits.claims))),
            header_protocol: environment.header_protocol.clone(),
            sampler: Sampler::default(),
            tickets: Mutex::new(TicketTable::new(
                settings.id.clone(),
                started_ms,
                settings.limits.tickets,
            )),
            metrics: metrics.clone(),
            limits: settings.limits,
            background: BackgroundTasks::default(),
            next_attempt_number: AtomicU64::new(0),
        });
        let callers = CallerListener::bind(callers_address, proxy_state.clone())
            .await
            .map_err(|source| bind_error("callers", callers_address, source))?;
        let admin = Admin::bind(settings.admin, ADMIN_READY_PATH, &control, &metrics, clock)
            .await
            .map_err(|source| bind_error("admin", settings.admin, source))?;
        let ready = match environment.ready {
            Some(ReadyAddress { address, path }) => Some(
                Admin::bind(address, path, &control, &metrics, clock)
                    .await
                    .map_err(|source| bind_error("ready", address, source))?,
            ),
            None => None,
        };
        let mut tasks = vec![
            tokio::spawn(control_loop.run()),
            tokio::spawn(run_request_queues(proxy_state.clone())),
            tokio::spawn(sweep_idle_connections(proxy_state.clone())),
        ];
        if let Some(registry) = environment.registry.clone() {
            let follower = RegistryFollower {
                registry,
                handle: control.clone(),
                metrics,
                clock,
                member: member.clone(),
                reread_signals,
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
            proxy_state,
            tasks,
            _ready: ready,
            drain_grace: Duration::from_millis(settings.drain_grace_ms),
            stop_limit: environment.stop_limit_ms.map(Duration::from_millis),
        })
    }

    /// Returns the member record that the instance publishes to its peers.
    pub fn member(&self) -> &Member {
        &self.member
    }

    /// Returns the bound administrative address.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Returns the handle to the control loop.
    pub fn control(&self) -> &ControlHandle {
        &self.control
    }

    /// Sets the time limit for shutdown, counted from the stop signal.
    pub fn set_stop_limit_ms(&mut self, stop_limit_ms: u64) {
        self.stop_limit = Some(Duration::from_millis(stop_limit_ms));
    }

    /// Shuts down gracefully: reports not ready, stops accepting connections after the drain
    /// grace period, then waits for all requests to finish. The wait has no time limit unless a
    /// limit for shutdown is set; shortly before it, requests that still wait are answered.
    pub async fn drain(self) {
        self.control.send(Input::Drain);
        let clock = self.proxy_state.clock;
        let last_answers_us = self.stop_limit.map(|limit| {
            let left = limit.max(self.drain_grace + LAST_ANSWERS_TIME) - LAST_ANSWERS_TIME;
            clock.now_us() + left.as_micros() as u64
        });
        self.proxy_state
            .last_answers_us
            .send_replace(last_answers_us);
        tokio::time::sleep(self.drain_grace).await;
        let finish = async {
            self.callers.drain().await;
            self.proxy_state.background.wait_until_finished().await;
        };
        tokio::pin!(finish);
        match last_answers_us {
            Some(last_answers_us) => {
                let last_answers = clock.instant(last_answers_us);
                if tokio::time::timeout_at(last_answers, &mut finish)
                    .await
                    .is_err()
                {
                    log::warn!(
                        "event=stop-limit-reached in_work={}",
                        self.proxy_state.admission.in_flight()
                    );
                    let _ = tokio::time::timeout(LAST_ANSWERS_TIME, finish).await;
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

/// Control handle for the peer listener, which is bound before the control loop exists; set as
/// soon as the loop has been created. Messages received before that are dropped.
#[derive(Default)]
struct DeferredHandle {
    handle: std::sync::OnceLock<ControlHandle>,
}

impl DeferredHandle {
    fn set(&self, handle: ControlHandle) {
        let _ = self.handle.set(handle);
    }
}

async fn bind_peers(
    settings: &Settings,
    metrics: &Metrics,
    deferred: &Arc<DeferredHandle>,
) -> Result<Listener> {
    let deferred = deferred.clone();
    let handler = Arc::new(move |envelope| {
        if let Some(handle) = deferred.handle.get() {
            handle.send(Input::Received(envelope));
        }
    });
    let connections = settings.limits.peer_connections;
    Listener::bind(settings.peers, connections, metrics.peers.clone(), handler)
        .await
        .map_err(|source| bind_error("peers", settings.peers, source))
}

/// Replaces port 0 by a free port; any other address is returned unchanged.
fn resolve_port(address: SocketAddr) -> io::Result<SocketAddr> {
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

async fn run_request_queues(proxy_state: Arc<ProxyState>) {
    let shared = proxy_state.control.shared().clone();
    let last_answers_us = proxy_state.last_answers_us.subscribe();
    proxy_state
        .request_queues
        .run(proxy_state.clock, &shared, last_answers_us)
        .await;
}

async fn sweep_idle_connections(proxy_state: Arc<ProxyState>) {
    loop {
        tokio::time::sleep(IDLE_SWEEP_PERIOD).await;
        proxy_state.pool.sweep();
    }
}
