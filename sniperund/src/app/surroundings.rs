//! What an instance runs between: the project's own interfaces, or the users'.

use std::net::SocketAddr;
use std::sync::Arc;

use border::CallBudget;
use border::HeaderProtocol;
use border::HttpPlatform;
use border::Platform;
use border::Registry;
use log::LevelFilter;
use platform::Boot;
use platform::ServiceTerms;
use platform::Store;
use platform::UsersHeaderProtocol;
use platform::UsersRegistry;
use policy::instance::RetryTerms;

use crate::Settings;
use crate::callers::NativeHeaderProtocol;
use crate::settings::Limits;

/// Port of the administrative address on the users' machines, as their deploy
/// file names it for metrics.
const USERS_ADMIN_PORT: u16 = 9_464;
/// Time from being not ready to taking no new connections on the users'
/// machines, in milliseconds: their balancer asks once a second and believes
/// the second miss.
const USERS_DRAIN_GRACE_MS: u64 = 2_700;
/// Part of the users' bound on retries that is used, as instances see their own
/// requests only and windows slide.
const RETRY_PART: f64 = 0.95;
/// Time before the end by force at which an instance ends by itself, in milliseconds:
/// a machine whose share of a core is used up stands still for a tenth of a second.
const STOP_MARGIN_MS: u64 = 700;
/// Places for requests and connections on the users' small machines.
const USERS_IN_FLIGHT: u32 = 1_024;
const USERS_CONNECTIONS: usize = 2_000;

/// Where the balancer asks whether an instance takes connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadyAddress {
    /// The address.
    pub address: SocketAddr,
    /// The path.
    pub path: &'static str,
}

/// What an instance runs between.
#[derive(Clone)]
pub struct Surroundings {
    /// How callers and targets mark requests and answers.
    pub header_protocol: Arc<dyn HeaderProtocol>,
    /// The key-value service of notes and claims, if these come from one.
    pub platform: Option<Arc<dyn Platform>>,
    /// The registry, if the configuration comes from one.
    pub registry: Option<Arc<dyn Registry>>,
    /// A second address for readiness.
    pub ready: Option<ReadyAddress>,
    /// Retries to a service that all instances may make beside their share.
    pub shared_retry_reserve: Option<f64>,
    /// Time from the stop signal in which the instance ends, in milliseconds;
    /// it waits for its requests, however long, if absent.
    pub stop_limit_ms: Option<u64>,
}

impl Surroundings {
    /// The project's own interfaces.
    pub fn own(settings: &Settings) -> Self {
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
            stop_limit_ms: None,
        }
    }

    /// The users' interfaces.
    pub fn users(boot: &Boot, store: Store) -> Self {
        let retries = users_retries(boot);
        let terms = ServiceTerms {
            floor_share: boot.floor_share,
            retry_share: retries.share,
        };
        let registry = UsersRegistry::new(store, terms);
        Self {
            header_protocol: Arc::new(UsersHeaderProtocol),
            platform: None,
            registry: Some(Arc::new(registry)),
            ready: Some(ReadyAddress {
                address: boot.ready,
                path: platform::READY_PATH,
            }),
            shared_retry_reserve: Some(retries.reserve),
            stop_limit_ms: Some(users_stop_limit_ms(boot)),
        }
    }
}

/// The bounds on retries on the users' machines.
pub(super) fn users_retries(boot: &Boot) -> RetryTerms {
    RetryTerms {
        share: boot.retry_share * RETRY_PART,
        reserve: boot.retry_reserve * RETRY_PART,
    }
}

/// Time from the stop signal in which an instance ends on the users' machines.
pub(super) fn users_stop_limit_ms(boot: &Boot) -> u64 {
    boot.stop_limit_ms.saturating_sub(STOP_MARGIN_MS)
}

/// The settings of an instance on the users' machines.
pub fn users_settings(boot: &Boot) -> Settings {
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
            ..Limits::default()
        },
    }
}
