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
use policy::feed::Next;
use policy::feed::Outcome;
use policy::feed::Pace;
use policy::feed::WATCH_MS;
use policy::instance::PlatformAnswer;
use policy::instance::RegistryNews;
use policy::membership::Member;
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
    /// Asks for another reading of the release.
    pub reread: Arc<Notify>,
}

#[derive(Default)]
struct Reach {
    failures: AtomicU32,
}

/// One part of the registry: how it is read, watched and told.
trait Part {
    type Change;

    fn read(&self) -> BoxFuture<'_, Result<Reading<Option<RegistryNews>>>>;
    fn watch(&self, after: u64) -> BoxFuture<'_, Result<Watched<Self::Change>>>;
    fn news(changes: Vec<Self::Change>) -> Option<RegistryNews>;
}

struct ReleasePart(Arc<dyn Registry>);

impl Part for ReleasePart {
    type Change = policy::feed::Release;

    fn read(&self) -> BoxFuture<'_, Result<Reading<Option<RegistryNews>>>> {
        Box::pin(async move {
            let reading = self.0.release().await?;
            Ok(Reading {
                revision: reading.revision,
                value: reading.value.map(RegistryNews::Release),
            })
        })
    }

    fn watch(&self, after: u64) -> BoxFuture<'_, Result<Watched<Self::Change>>> {
        self.0.watch_release(after, WATCH_MS)
    }

    fn news(changes: Vec<Self::Change>) -> Option<RegistryNews> {
        changes.into_iter().next_back().map(RegistryNews::Release)
    }
}

struct TargetsPart(Arc<dyn Registry>);

impl Part for TargetsPart {
    type Change = policy::feed::TargetEntry;

    fn read(&self) -> BoxFuture<'_, Result<Reading<Option<RegistryNews>>>> {
        Box::pin(async move {
            let reading = self.0.targets().await?;
            Ok(Reading {
                revision: reading.revision,
                value: Some(RegistryNews::Targets(reading.value)),
            })
        })
    }

    fn watch(&self, after: u64) -> BoxFuture<'_, Result<Watched<Self::Change>>> {
        self.0.watch_targets(after, WATCH_MS)
    }

    fn news(changes: Vec<Self::Change>) -> Option<RegistryNews> {
        (!changes.is_empty()).then_some(RegistryNews::Entries(changes))
    }
}

impl RegistryFollower {
    /// Follows the registry until the task is ended.
    pub async fn run(self) {
        let reach = Reach::default();
        let never = Notify::new();
        tokio::join!(
            self.follow(
                "release",
                ReleasePart(self.registry.clone()),
                &reach,
                &self.reread
            ),
            self.follow(
                "targets",
                TargetsPart(self.registry.clone()),
                &reach,
                &never
            ),
            self.stay_announced(),
        );
    }

    async fn follow<P: Part>(&self, name: &str, part: P, reach: &Reach, reread: &Notify) {
        let mut pace = Pace::default();
        let mut next = Next::Read {
            at_us: self.clock.now_us(),
        };
        loop {
            let (Next::Read { at_us } | Next::Watch { at_us, .. }) = next;
            tokio::time::sleep_until(self.clock.instant(at_us)).await;
            self.metrics.platform_calls.inc();
            let outcome = match next {
                Next::Read { .. } => self.read(name, &part, reach).await,
                Next::Watch { after, .. } => tokio::select! {
                    outcome = self.watch(name, &part, after, reach) => outcome,
                    () = reread.notified() => Outcome::HistoryLost,
                },
            };
            next = pace.next(self.clock.now_us(), outcome, &mut rand::rng());
        }
    }

    async fn read<P: Part>(&self, name: &str, part: &P, reach: &Reach) -> Outcome {
        match part.read().await {
            Ok(reading) => {
                self.reached(reach);
                let Some(news) = reading.value else {
                    log::info!("event=registry-empty part={name}");
                    return Outcome::Failed;
                };
                self.handle.tell(Input::Registry(news));
                Outcome::Read(reading.revision)
            }
            Err(error) => self.failed(name, reach, &error),
        }
    }

    async fn watch<P: Part>(&self, name: &str, part: &P, after: u64, reach: &Reach) -> Outcome {
        match part.watch(after).await {
            Ok(Watched::Changes(reading)) => {
                self.reached(reach);
                match P::news(reading.value) {
                    Some(news) => {
                        self.handle.tell(Input::Registry(news));
                        Outcome::Changes(reading.revision)
                    }
                    None => Outcome::Nothing(reading.revision),
                }
            }
            Ok(Watched::HistoryLost) => {
                log::info!("event=registry-history-lost part={name} after={after}");
                Outcome::HistoryLost
            }
            Err(error) => self.failed(name, reach, &error),
        }
    }

    fn reached(&self, reach: &Reach) {
        if reach.failures.swap(0, Ordering::Relaxed) >= AWAY_FAILURES {
            self.handle
                .tell(Input::Registry(RegistryNews::Reachable(true)));
        }
    }

    fn failed(&self, name: &str, reach: &Reach, error: &border::PlatformError) -> Outcome {
        self.metrics.platform_failures.inc();
        let failures = reach.failures.fetch_add(1, Ordering::Relaxed) + 1;
        log::warn!("event=registry-call-failed part={name} failures={failures} reason=\"{error}\"");
        if failures == AWAY_FAILURES {
            self.handle
                .tell(Input::Registry(RegistryNews::Reachable(false)));
        }
        Outcome::Failed
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
