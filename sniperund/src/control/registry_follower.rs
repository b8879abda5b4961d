//! Following the registry: its release, its targets, and the other instances.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use border::Reading;
use border::Registry;
use border::Result;
use border::Watched;
use futures::future::BoxFuture;
use policy::Input;
use policy::feed::CallOutcome;
use policy::feed::CallSchedule;
use policy::feed::EntryChanges;
use policy::feed::NextCall;
use policy::feed::WATCH_TIMEOUT_MS;
use policy::instance::PlatformAnswer;
use policy::instance::RegistryPart;
use policy::instance::RegistryUpdate;
use policy::membership::Member;
use rand::RngExt;
use tokio::sync::Notify;

use super::ControlHandle;
use crate::Clock;
use crate::metrics::Metrics;

/// Failures in a row after which the registry counts as away: one alone may be
/// a watch that was cut.
const AWAY_FAILURES: u32 = 2;
/// Life of the instance's announcement without renewal, in milliseconds: peers
/// notice an end far sooner by heartbeats.
const ANNOUNCEMENT_MS: u64 = 20_000;
/// Renewals in the life of an announcement.
const RENEWALS: u64 = 3;
/// How often an instance without watches looks whether it is to hold them.
const LOOK_PERIOD: Duration = Duration::from_secs(1);
/// Looks after which such an instance reads by itself, whatever others tell.
const LOOKS_PER_FALLBACK: u32 = 60;
/// Time between two probes of the registry: with the time limit of a call and the way
/// to all others, a registry that is back is read well within the three seconds after
/// which the users hold instances to their bounds again.
const PROBE_PERIOD: Duration = Duration::from_millis(1_000);
/// Pause after a failed announcement or renewal.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(700);
/// When the instances are read again after a start, so that those that started
/// at the same time are seen.
const SECOND_LOOK: Duration = Duration::from_secs(2);
/// Renewals between two readings of the instances.
const RENEWALS_PER_LOOK: u64 = 8;

/// Follows a registry and tells the control loop.
pub struct RegistryFollower {
    /// The registry.
    pub registry: Arc<dyn Registry>,
    /// The way to the control loop.
    pub handle: ControlHandle,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// The clock.
    pub clock: Clock,
    /// The instance itself.
    pub member: Member,
    /// Asks for another reading.
    pub rereads: Arc<Rereads>,
}

/// Asks for another reading of a part of the registry.
#[derive(Debug, Default)]
pub struct Rereads {
    release: Notify,
    targets: Notify,
}

impl Rereads {
    /// Asks for another reading of `part`.
    pub fn ask(&self, part: RegistryPart) {
        match part {
            RegistryPart::Release => self.release.notify_one(),
            RegistryPart::Targets => self.targets.notify_one(),
        }
    }
}

#[derive(Default)]
struct Reach {
    failures: AtomicU32,
}

/// One part of the registry: how it is read, watched and told.
trait Part {
    type Change;

    fn read(&self) -> BoxFuture<'_, Result<Reading<Option<RegistryUpdate>>>>;
    fn watch(&self, after: u64) -> BoxFuture<'_, Result<Watched<Self::Change>>>;
    fn news(after: u64, changes: Reading<Vec<Self::Change>>) -> Option<RegistryUpdate>;

    /// Whether a first reading has told this part, while note `number` is in force.
    fn is_known(&self, number: u64) -> bool;
}

struct ReleasePart(Arc<dyn Registry>);

impl Part for ReleasePart {
    type Change = policy::feed::Release;

    fn read(&self) -> BoxFuture<'_, Result<Reading<Option<RegistryUpdate>>>> {
        Box::pin(async move {
            let reading = self.0.release().await?;
            Ok(Reading {
                revision: reading.revision,
                value: reading.value.map(RegistryUpdate::Release),
            })
        })
    }

    fn watch(&self, after: u64) -> BoxFuture<'_, Result<Watched<Self::Change>>> {
        self.0.watch_release(after, WATCH_TIMEOUT_MS)
    }

    fn news(_after: u64, changes: Reading<Vec<Self::Change>>) -> Option<RegistryUpdate> {
        let latest = changes.value.into_iter().next_back();
        latest.map(RegistryUpdate::Release)
    }

    fn is_known(&self, number: u64) -> bool {
        number > 0
    }
}

struct TargetsPart(Arc<dyn Registry>);

impl Part for TargetsPart {
    type Change = policy::feed::TargetEntry;

    fn read(&self) -> BoxFuture<'_, Result<Reading<Option<RegistryUpdate>>>> {
        Box::pin(async move {
            let reading = self.0.targets().await?;
            Ok(Reading {
                revision: reading.revision,
                value: Some(RegistryUpdate::Targets {
                    revision: reading.revision,
                    targets: reading.value,
                }),
            })
        })
    }

    fn watch(&self, after: u64) -> BoxFuture<'_, Result<Watched<Self::Change>>> {
        self.0.watch_targets(after, WATCH_TIMEOUT_MS)
    }

    fn news(after: u64, changes: Reading<Vec<Self::Change>>) -> Option<RegistryUpdate> {
        let changes = EntryChanges {
            after,
            revision: changes.revision,
            complete_to: changes.revision,
            entries: changes.value,
            retain_ms: 0,
        };
        (!changes.entries.is_empty()).then_some(RegistryUpdate::Entries(changes))
    }

    fn is_known(&self, _number: u64) -> bool {
        true
    }
}

impl RegistryFollower {
    /// Follows the registry until the task is ended.
    pub async fn run(self) {
        let reach = Reach::default();
        let release = ReleasePart(self.registry.clone());
        let targets = TargetsPart(self.registry.clone());
        tokio::join!(
            self.follow("release", release, &reach, &self.rereads.release),
            self.follow("targets", targets, &reach, &self.rereads.targets),
            self.keep_probing(&reach),
            self.stay_announced(),
        );
    }

    /// Asks the registry now and then, where this instance holds watches: one that
    /// was swallowed looks like one without news. Once the registry answers again,
    /// both parts are read at once.
    async fn keep_probing(&self, reach: &Reach) {
        let mut is_silent = false;
        // Instances that start together are not to probe together: others count on an
        // answer to one of them several times a second.
        let phase: f64 = rand::rng().random();
        tokio::time::sleep(PROBE_PERIOD.mul_f64(phase)).await;
        loop {
            tokio::time::sleep(PROBE_PERIOD).await;
            if !self.handle.shared().watch_role().is_watcher() && !is_silent {
                continue;
            }
            self.metrics.platform_calls.inc();
            match self.registry.ping().await {
                Ok(()) if is_silent => {
                    is_silent = false;
                    self.reached(reach);
                    self.rereads.ask(RegistryPart::Release);
                    self.rereads.ask(RegistryPart::Targets);
                }
                Ok(()) => self.reached(reach),
                Err(error) => {
                    is_silent = true;
                    self.failed("probe", reach, &error);
                }
            }
        }
    }

    async fn follow<P: Part>(&self, name: &str, part: P, reach: &Reach, reread: &Notify) {
        let mut pace = CallSchedule::default();
        let mut next = NextCall::Read {
            at_us: self.clock.now_us(),
        };
        loop {
            let (NextCall::Read { at_us } | NextCall::Watch { at_us, .. }) = next;
            tokio::time::sleep_until(self.clock.instant(at_us)).await;
            let shared = self.handle.shared();
            let is_needed = shared.watch_role().is_watcher()
                || !part.is_known(shared.table().configuration.number);
            if let NextCall::Watch { .. } = next
                && !is_needed
            {
                next = self.wait_to_be_needed(reach, reread).await;
            }
            self.metrics.platform_calls.inc();
            let outcome = match next {
                NextCall::Read { .. } => self.read(name, &part, reach).await,
                NextCall::Watch { after, .. } => tokio::select! {
                    outcome = self.watch(name, &part, after, reach) => outcome,
                    () = reread.notified() => CallOutcome::HistoryLost,
                },
            };
            next = pace.next(self.clock.now_us(), outcome, &mut rand::rng());
        }
    }

    async fn read<P: Part>(&self, name: &str, part: &P, reach: &Reach) -> CallOutcome {
        match part.read().await {
            Ok(reading) => {
                self.reached(reach);
                match reading.value {
                    Some(news) => self.handle.tell(Input::Registry(news)),
                    None => log::info!("event=registry-empty part={name}"),
                }
                CallOutcome::Read(reading.revision)
            }
            Err(error) => self.failed(name, reach, &error),
        }
    }

    async fn watch<P: Part>(&self, name: &str, part: &P, after: u64, reach: &Reach) -> CallOutcome {
        match part.watch(after).await {
            Ok(Watched::Changes(reading)) => {
                self.reached(reach);
                let revision = reading.revision;
                match P::news(after, reading) {
                    Some(news) => {
                        self.handle.tell(Input::Registry(news));
                        CallOutcome::Changes(revision)
                    }
                    None => CallOutcome::Nothing(revision),
                }
            }
            Ok(Watched::HistoryLost) => {
                log::info!("event=registry-history-lost part={name} after={after}");
                CallOutcome::HistoryLost
            }
            Err(error) => self.failed(name, reach, &error),
        }
    }

    /// Waits, where others hold the watches, until there is something to read or
    /// a look is due; gives what to do then.
    async fn wait_to_be_needed(&self, reach: &Reach, reread: &Notify) -> NextCall {
        let watch_role = self.handle.shared().watch_role();
        let mut looks = LOOKS_PER_FALLBACK;
        loop {
            let asked = tokio::time::timeout(LOOK_PERIOD, reread.notified()).await;
            looks -= 1;
            let failing = reach.failures.load(Ordering::Relaxed) > 0;
            if asked.is_ok() || watch_role.is_watcher() || failing || looks == 0 {
                return NextCall::Read {
                    at_us: self.clock.now_us(),
                };
            }
        }
    }

    fn reached(&self, reach: &Reach) {
        reach.failures.store(0, Ordering::Relaxed);
        self.handle
            .tell(Input::Registry(RegistryUpdate::Reachable(true)));
    }

    fn failed(&self, name: &str, reach: &Reach, error: &border::PlatformError) -> CallOutcome {
        self.metrics.platform_failures.inc();
        let failures = reach.failures.fetch_add(1, Ordering::Relaxed) + 1;
        log::warn!("event=registry-call-failed part={name} failures={failures} reason=\"{error}\"");
        if failures == AWAY_FAILURES {
            self.handle
                .tell(Input::Registry(RegistryUpdate::Reachable(false)));
        }
        CallOutcome::Failed
    }

    /// Keeps the instance announced, and learns of the others.
    async fn stay_announced(&self) {
        let mut looked_twice = false;
        loop {
            self.metrics.platform_calls.inc();
            let lease = match self.registry.announce(&self.member, ANNOUNCEMENT_MS).await {
                Ok(lease) => lease,
                Err(error) => {
                    log::warn!("event=announcement-failed reason=\"{error}\"");
                    tokio::time::sleep(ANNOUNCE_PAUSE).await;
                    continue;
                }
            };
            self.look_for_members().await;
            if !looked_twice {
                tokio::time::sleep(SECOND_LOOK).await;
                self.look_for_members().await;
                looked_twice = true;
            }
            self.renew(lease).await;
        }
    }

    /// Renews a lease until it has ended.
    async fn renew(&self, lease: border::Lease) {
        for renewal in 1.. {
            tokio::time::sleep(Duration::from_millis(lease.ttl_ms / RENEWALS)).await;
            self.metrics.platform_calls.inc();
            match self.registry.renew(lease).await {
                Ok(true) => {}
                Ok(false) => {
                    log::info!("event=announcement-lapsed lease={}", lease.id);
                    return;
                }
                Err(error) => log::warn!("event=renewal-failed reason=\"{error}\""),
            }
            if renewal % RENEWALS_PER_LOOK == 0 {
                self.look_for_members().await;
            }
        }
    }

    async fn look_for_members(&self) {
        self.metrics.platform_calls.inc();
        match self.registry.members().await {
            Ok(members) => self
                .handle
                .tell(Input::Platform(PlatformAnswer::Instances(members))),
            Err(error) => log::warn!("event=members-unread reason=\"{error}\""),
        }
    }
}
