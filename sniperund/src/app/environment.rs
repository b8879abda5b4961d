//! External interfaces of an instance: the project's native ones, or those of the users' platform.

use std::net::SocketAddr;
use std::sync::Arc;

use border::CallBudget;
use border::HeaderProtocol;
use border::HttpPlatform;
use border::Platform;
use border::Registry;
use log::LevelFilter;
use platform::BootSettings;
use platform::CommonServiceSettings;
use platform::Store;
use platform::UsersHeaderProtocol;
use platform::UsersRegistry;
use policy::instance::RetryLimits;
use policy::limits::DEFAULT_BODY_MEMORY_BYTES;
use policy::limits::MEMORY_DIVISOR;
use policy::routing::DEFAULT_DEPARTURE_LIMIT_US;

use super::app::LAST_ANSWERS_TIME;
use crate::Settings;
use crate::callers::NativeHeaderProtocol;
use crate::settings::Limits;

/// Port of the administrative address on the users' machines: the metrics port in their deploy
/// file.
const USERS_ADMIN_PORT: u16 = 9_464;
/// Time between reporting not ready and refusing new connections on the users' machines, in
/// milliseconds: their load balancer probes once a second and stops sending after the second
/// failed probe.
const USERS_DRAIN_GRACE_MS: u64 = 2_700;
/// Fraction of the users' retry bound that instances use. The margin is needed because each
/// instance counts only its own requests and the bound applies to sliding windows.
const RETRY_BOUND_FRACTION: f64 = 0.95;
/// Longest time before the platform's forced kill at which an instance exits by itself, in
/// milliseconds. The margin is needed because an instance that has used up its CPU quota is suspended
/// for a tenth of a second.
const MAX_STOP_MARGIN_MS: u64 = 700;
/// Part of the grace period, as a divisor, in which work of targets may be broken off.
const LAST_PART_DIVISOR: u64 = 6;
/// Time by which timers may be early, in milliseconds.
const TIMER_SLACK_MS: u64 = 20;
/// Maximum number of requests in flight on the users' small machines.
const USERS_IN_FLIGHT: u32 = 1_024;
/// Maximum number of caller connections on the users' small machines.
const USERS_CONNECTIONS: usize = 2_000;

/// Additional address at which a load balancer checks readiness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadyAddress {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Path of the check.
    pub path: &'static str,
}

/// External interfaces of an instance, and the limits that depend on them.
#[derive(Clone)]
pub struct Environment {
    /// Header protocol used with callers and targets.
    pub header_protocol: Arc<dyn HeaderProtocol>,
    /// Key-value service that stores notes and claims; `None` if the configuration comes from a
    /// registry.
    pub platform: Option<Arc<dyn Platform>>,
    /// Registry that provides the configuration; `None` if it comes from notes.
    pub registry: Option<Arc<dyn Registry>>,
    /// Readiness address in addition to the administrative one.
    pub ready: Option<ReadyAddress>,
    /// Retries to a service that all instances together may make within ten seconds in addition to
    /// the retry share; if `None`, each instance has its own reserve.
    pub shared_retry_reserve: Option<f64>,
    /// Whether the fleet starts for the first time.
    pub is_first_start: bool,
    /// Time for which a target gets requests after it has said that it leaves, in microseconds.
    pub departure_limit_us: u64,
    /// Time limit for shutdown, counted from the stop signal, in milliseconds; `None` waits for
    /// all requests without a limit.
    pub stop_limit_ms: Option<u64>,
}

impl Environment {
    /// Returns the project's native interfaces.
    pub fn native(settings: &Settings) -> Self {
        let calls = settings.limits.platform_calls_per_s;
        let platform = HttpPlatform::new(&settings.platform)
            .limit_ms(settings.platform_limit_ms)
            .budget(CallBudget::new(calls, calls * 2));
        Self {
            header_protocol: Arc::new(NativeHeaderProtocol),
            platform: Some(Arc::new(platform)),
            registry: None,
            ready: None,
            shared_retry_reserve: None,
            is_first_start: false,
            departure_limit_us: DEFAULT_DEPARTURE_LIMIT_US,
            stop_limit_ms: None,
        }
    }

    /// Returns the interfaces of the users' platform.
    pub fn users(boot: &BootSettings, store: Store) -> Self {
        let retries = users_retries(boot);
        let service_settings = CommonServiceSettings {
            floor_share: boot.floor_share,
            retry_share: retries.share,
        };
        let registry = UsersRegistry::new(store, service_settings);
        Self {
            header_protocol: Arc::new(UsersHeaderProtocol),
            platform: None,
            registry: Some(Arc::new(registry)),
            ready: Some(ReadyAddress {
                address: boot.ready,
                path: platform::READY_PATH,
            }),
            shared_retry_reserve: Some(retries.reserve),
            is_first_start: boot.is_first_start,
            departure_limit_us: users_departure_limit_us(boot),
            stop_limit_ms: Some(users_stop_limit_ms(boot)),
        }
    }
}

/// Returns the retry limits of instances on the users' machines, slightly below the users' bound.
pub(super) fn users_retries(boot: &BootSettings) -> RetryLimits {
    RetryLimits {
        share: boot.retry_share * RETRY_BOUND_FRACTION,
        reserve: boot.retry_reserve * RETRY_BOUND_FRACTION,
    }
}

/// Returns the time for which a target gets requests after it has said that it leaves, in
/// microseconds: shorter than the users' bound by the time that a request needs to reach it.
fn users_departure_limit_us(boot: &BootSettings) -> u64 {
    boot.departure_limit_ms * 1_000 * 3 / 4
}

/// Returns the time limit for shutdown on the users' machines, in milliseconds from the stop
/// signal.
///
/// Requests that wait for a response are given up [`LAST_ANSWERS_TIME`] earlier. Their targets' work
/// may be broken off only in the last part of the grace period.
pub(super) fn users_stop_limit_ms(boot: &BootSettings) -> u64 {
    let last_part_ms = boot.stop_limit_ms / LAST_PART_DIVISOR;
    let last_answers_ms = LAST_ANSWERS_TIME.as_millis() as u64 + TIMER_SLACK_MS;
    let margin_ms = last_part_ms.saturating_sub(last_answers_ms);
    boot.stop_limit_ms
        .saturating_sub(margin_ms.min(MAX_STOP_MARGIN_MS))
}

/// Returns the memory that bodies may take on the users' machines, in bytes.
fn users_body_memory_bytes(boot: &BootSettings) -> u64 {
    let memory_bytes = boot.memory_mb.map(|memory_mb| memory_mb << 20);
    memory_bytes.map_or(DEFAULT_BODY_MEMORY_BYTES, |bytes| bytes / MEMORY_DIVISOR)
}

/// Converts the users' boot settings to instance settings.
pub fn users_settings(boot: &BootSettings) -> Settings {
    Settings {
        id: boot.id.clone(),
        data_centre: boot.data_centre.clone(),
        callers: boot.callers,
        peers: SocketAddr::new(boot.ip, boot.peer_port),
        advertised_peers: None,
        admin: SocketAddr::new(boot.ip, USERS_ADMIN_PORT),
        platform: boot.store.clone(),
        seeds: boot.seeds.clone(),
        platform_limit_ms: 0,
        drain_grace_ms: USERS_DRAIN_GRACE_MS,
        log_level: LevelFilter::Info,
        limits: Limits {
            in_flight: USERS_IN_FLIGHT,
            connections: USERS_CONNECTIONS,
            idle_connections: 2,
            body_memory_bytes: users_body_memory_bytes(boot),
            ..Limits::default()
        },
    }
}
