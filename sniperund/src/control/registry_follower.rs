//! Follows the registry: reads and watches the release and the targets, announces the instance
//! and lists the other instances.
//!
//! Only the instances selected as watchers hold watches. The others rely on the updates that these
//! broadcast, and read the registry only when an update is missing, calls fail or the fallback
//! read is due.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use border::Registry;
use border::Result;
use border::Versioned;
use border::WatchOutcome;
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

/// Consecutive failures after which the registry is considered unreachable. A single failure may
/// be a dropped watch connection.
const UNREACHABLE_AFTER_FAILURES: u32 = 2;
/// Time after which the instance's announcement expires without renewal, in milliseconds. It
/// can be long, as peers detect a dead instance far sooner by heartbeats.
const ANNOUNCEMENT_TTL_MS: u64 = 20_000;
/// Renewals within the TTL of an announcement.
const RENEWALS_PER_TTL: u64 = 3;
/// Interval at which an instance without watches checks whether it has become a watcher.
const WATCHER_CHECK_PERIOD: Duration = Duration::from_secs(1);
/// Checks after which an instance without watches reads the registry even if no update is known
/// to be missing.
const CHECKS_PER_FALLBACK_READ: u32 = 60;
/// Interval at which the registry is probed. Together with the call timeout and the broadcast to
/// all other instances, it must stay well within three seconds: that long after the registry
/// becomes reachable again, the users hold instances to their bounds again.
const PROBE_PERIOD: Duration = Duration::from_millis(1_000);
/// Delay before a failed announcement is retried.
const ANNOUNCE_RETRY_DELAY: Duration = Duration::from_millis(700);
/// Delay after startup before instances are listed a second time, to include those that started
/// at the same time.
const SECOND_LISTING_DELAY: Duration = Duration::from_secs(2);
/// Renewals between two listings of the instances.
const RENEWALS_PER_LISTING: u64 = 8;

/// Follows a registry and sends its updates to the control loop.
pub struct RegistryFollower {
    /// Registry to follow.
    pub registry: Arc<dyn Registry>,
    /// Handle to the control loop.
    pub handle: ControlHandle,
    /// Metrics that count registry calls and their failures.
    pub metrics: Arc<Metrics>,
    /// Clock of the control loop.
    pub clock: Clock,
    /// Member record that this instance announces.
    pub member: Member,
    /// Receives requests to reread the registry.
    pub reread_signals: Arc<RereadSignals>,
}

/// Signals that request a reread of a part of the registry.
#[derive(Debug, Default)]
pub struct RereadSignals {
    release: RereadSignal,
    targets: RereadSignal,
}

impl RereadSignals {
    /// Requests a reread of `part`.
    pub fn request(&self, part: RegistryPart) {
        match part {
            RegistryPart::Release => self.release.request(u64::MAX),
            RegistryPart::NewerRelease(number) => self.release.request(number),
            RegistryPart::Targets => self.targets.request(u64::MAX),
        }
    }
}

/// Requests to reread one part of the registry. Requests for a release that a read under way turns out
/// to bring have no effect: a large one takes longer than the interval between requests.
#[derive(Debug, Default)]
struct RereadSignal {
    requested: Notify,
    /// Highest number of a release that was requested; `u64::MAX` requests a read in any case.
    wanted_number: AtomicU64,
    /// Number of the release that was read last.
    read_number: AtomicU64,
}

impl RereadSignal {
    fn request(&self, number: u64) {
        self.wanted_number.fetch_max(number, Ordering::AcqRel);
        self.requested.notify_one();
    }

    fn record_read(&self, update: &RegistryUpdate) {
        if let RegistryUpdate::Release(release) = update {
            self.read_number.store(release.number, Ordering::Release);
        }
    }

    /// Waits for a request that no read has met.
    async fn wait(&self) {
        loop {
            self.requested.notified().await;
            let wanted_number = self.wanted_number.swap(0, Ordering::AcqRel);
            if wanted_number > self.read_number.load(Ordering::Acquire) {
                return;
            }
        }
    }
}

/// Count of consecutive failed calls, shared by all loops that call the registry.
#[derive(Default)]
struct Reachability {
    failures: AtomicU32,
}

/// A part of the registry that is read and watched on its own.
trait WatchedPart {
    type Change;

    fn read(&self) -> BoxFuture<'_, Result<Versioned<Option<RegistryUpdate>>>>;
    fn watch(&self, after: u64) -> BoxFuture<'_, Result<WatchOutcome<Self::Change>>>;
    /// Converts the changes that a watch returned to an update; `None` if there is nothing to apply.
    fn update(after: u64, changes: Versioned<Vec<Self::Change>>) -> Option<RegistryUpdate>;

    /// Whether a read has provided this part, given that note `number` is in force. Until then,
    /// the part is watched even by an instance that is not a watcher.
    fn is_loaded(&self, number: u64) -> bool;
}

struct ReleasePart(Arc<dyn Registry>);

impl WatchedPart for ReleasePart {
    type Change = policy::feed::Release;

    fn read(&self) -> BoxFuture<'_, Result<Versioned<Option<RegistryUpdate>>>> {
        Box::pin(async move {
            let reading = self.0.release().await?;
            Ok(Versioned {
                revision: reading.revision,
                value: reading.value.map(RegistryUpdate::Release),
            })
        })
    }

    fn watch(&self, after: u64) -> BoxFuture<'_, Result<WatchOutcome<Self::Change>>> {
        self.0.watch_release(after, WATCH_TIMEOUT_MS)
    }

    fn update(_after: u64, changes: Versioned<Vec<Self::Change>>) -> Option<RegistryUpdate> {
        let latest = changes.value.into_iter().next_back();
        latest.map(RegistryUpdate::Release)
    }

    fn is_loaded(&self, number: u64) -> bool {
        number > 0
    }
}

struct TargetsPart(Arc<dyn Registry>);

impl WatchedPart for TargetsPart {
    type Change = policy::feed::TargetEntry;

    fn read(&self) -> BoxFuture<'_, Result<Versioned<Option<RegistryUpdate>>>> {
        Box::pin(async move {
            let reading = self.0.targets().await?;
            Ok(Versioned {
                revision: reading.revision,
                value: Some(RegistryUpdate::Targets {
                    revision: reading.revision,
                    targets: reading.value,
                }),
            })
        })
    }

    fn watch(&self, after: u64) -> BoxFuture<'_, Result<WatchOutcome<Self::Change>>> {
        self.0.watch_targets(after, WATCH_TIMEOUT_MS)
    }

    fn update(after: u64, changes: Versioned<Vec<Self::Change>>) -> Option<RegistryUpdate> {
        let changes = EntryChanges {
            after,
            revision: changes.revision,
            complete_to: changes.revision,
            entries: changes.value,
            retain_ms: 0,
        };
        (!changes.entries.is_empty()).then_some(RegistryUpdate::Entries(changes))
    }

    fn is_loaded(&self, _number: u64) -> bool {
        true
    }
}

impl RegistryFollower {
    /// Follows the registry until the task is aborted.
    pub async fn run(self) {
        let reachability = Reachability::default();
        let release = ReleasePart(self.registry.clone());
        let targets = TargetsPart(self.registry.clone());
        tokio::join!(
            self.follow(
                "release",
                release,
                &reachability,
                &self.reread_signals.release
            ),
            self.follow(
                "targets",
                targets,
                &reachability,
                &self.reread_signals.targets
            ),
            self.probe_periodically(&reachability),
            self.maintain_announcement(),
        );
    }

    /// Probes the registry periodically while this instance holds watches, as a watch whose
    /// connection has silently failed looks the same as one without changes. After a failed probe,
    /// probing continues in any case, and both parts are reread as soon as the registry answers.
    async fn probe_periodically(&self, reachability: &Reachability) {
        let mut is_unreachable = false;
        let mut known_era = None;
        // A random phase distributes the probes of instances that start together over the period:
        // the instances without watches rely on one of these probes being answered several times
        // a second.
        let phase: f64 = rand::rng().random();
        tokio::time::sleep(PROBE_PERIOD.mul_f64(phase)).await;
        loop {
            tokio::time::sleep(PROBE_PERIOD).await;
            if !self.handle.shared().watch_role().is_watcher() && !is_unreachable {
                continue;
            }
            self.metrics.platform_calls.inc();
            match self.registry.ping().await {
                Ok(era) => {
                    self.record_success(reachability);
                    let is_restored = era > known_era && known_era.is_some();
                    known_era = known_era.max(era);
                    if is_restored {
                        log::warn!("event=registry-restored era={known_era:?}");
                    }
                    if is_restored || is_unreachable {
                        is_unreachable = false;
                        self.reread_signals.request(RegistryPart::Release);
                        self.reread_signals.request(RegistryPart::Targets);
                    }
                }
                Err(error) => {
                    is_unreachable = true;
                    self.record_failure("probe", reachability, &error);
                }
            }
        }
    }

    async fn follow<P: WatchedPart>(
        &self,
        name: &str,
        part: P,
        reachability: &Reachability,
        reread: &RereadSignal,
    ) {
        let mut call_schedule = CallSchedule::default();
        let mut next = NextCall::Read {
            at_us: self.clock.now_us(),
        };
        loop {
            let (NextCall::Read { at_us } | NextCall::Watch { at_us, .. }) = next;
            tokio::time::sleep_until(self.clock.instant(at_us)).await;
            let shared = self.handle.shared();
            let is_watch_needed = shared.watch_role().is_watcher()
                || !part.is_loaded(shared.table().configuration.number);
            if let NextCall::Watch { .. } = next
                && !is_watch_needed
            {
                next = self.wait_until_read_due(reachability, reread).await;
            }
            self.metrics.platform_calls.inc();
            let outcome = match next {
                NextCall::Read { .. } => self.read(name, &part, reachability, reread).await,
                NextCall::Watch { after, .. } => tokio::select! {
                    outcome = self.watch(name, &part, after, reachability, reread) => outcome,
                    () = reread.wait() => CallOutcome::HistoryLost,
                },
            };
            next = call_schedule.next(self.clock.now_us(), outcome, &mut rand::rng());
        }
    }

    async fn read<P: WatchedPart>(
        &self,
        name: &str,
        part: &P,
        reachability: &Reachability,
        reread: &RereadSignal,
    ) -> CallOutcome {
        match part.read().await {
            Ok(reading) => {
                self.record_success(reachability);
                match reading.value {
                    Some(update) => {
                        reread.record_read(&update);
                        self.handle.send(Input::Registry(update));
                    }
                    None => log::info!("event=registry-empty part={name}"),
                }
                CallOutcome::Read(reading.revision)
            }
            Err(error) => self.record_failure(name, reachability, &error),
        }
    }

    async fn watch<P: WatchedPart>(
        &self,
        name: &str,
        part: &P,
        after: u64,
        reachability: &Reachability,
        reread: &RereadSignal,
    ) -> CallOutcome {
        match part.watch(after).await {
            Ok(WatchOutcome::Changes(reading)) => {
                self.record_success(reachability);
                let revision = reading.revision;
                match P::update(after, reading) {
                    Some(update) => {
                        reread.record_read(&update);
                        self.handle.send(Input::Registry(update));
                        CallOutcome::Changes(revision)
                    }
                    None => CallOutcome::Nothing(revision),
                }
            }
            Ok(WatchOutcome::HistoryLost) => {
                log::info!("event=registry-history-lost part={name} after={after}");
                CallOutcome::HistoryLost
            }
            Err(error) => self.record_failure(name, reachability, &error),
        }
    }

    /// Waits while only other instances hold watches. Returns an immediate read once a reread is
    /// requested, the fallback read is due, calls fail or this instance becomes a watcher.
    async fn wait_until_read_due(
        &self,
        reachability: &Reachability,
        reread: &RereadSignal,
    ) -> NextCall {
        let watch_role = self.handle.shared().watch_role();
        let mut checks_left = CHECKS_PER_FALLBACK_READ;
        loop {
            let reread_request = tokio::time::timeout(WATCHER_CHECK_PERIOD, reread.wait()).await;
            checks_left -= 1;
            let has_failures = reachability.failures.load(Ordering::Relaxed) > 0;
            if reread_request.is_ok() || watch_role.is_watcher() || has_failures || checks_left == 0
            {
                return NextCall::Read {
                    at_us: self.clock.now_us(),
                };
            }
        }
    }

    fn record_success(&self, reachability: &Reachability) {
        reachability.failures.store(0, Ordering::Relaxed);
        self.handle
            .send(Input::Registry(RegistryUpdate::Reachable(true)));
    }

    fn record_failure(
        &self,
        name: &str,
        reachability: &Reachability,
        error: &border::PlatformError,
    ) -> CallOutcome {
        self.metrics.platform_failures.inc();
        let failures = reachability.failures.fetch_add(1, Ordering::Relaxed) + 1;
        log::warn!("event=registry-call-failed part={name} failures={failures} reason=\"{error}\"");
        if failures == UNREACHABLE_AFTER_FAILURES {
            self.handle
                .send(Input::Registry(RegistryUpdate::Reachable(false)));
        }
        CallOutcome::Failed
    }

    /// Keeps the announcement of the instance valid, and lists the other instances periodically.
    async fn maintain_announcement(&self) {
        let mut has_listed_twice = false;
        loop {
            self.metrics.platform_calls.inc();
            let lease = match self
                .registry
                .announce(&self.member, ANNOUNCEMENT_TTL_MS)
                .await
            {
                Ok(lease) => lease,
                Err(error) => {
                    log::warn!("event=announcement-failed reason=\"{error}\"");
                    tokio::time::sleep(ANNOUNCE_RETRY_DELAY).await;
                    continue;
                }
            };
            self.list_members().await;
            if !has_listed_twice {
                tokio::time::sleep(SECOND_LISTING_DELAY).await;
                self.list_members().await;
                has_listed_twice = true;
            }
            self.renew(lease).await;
        }
    }

    /// Renews a lease periodically until the registry reports that it has expired.
    async fn renew(&self, lease: border::Lease) {
        for renewal in 1.. {
            tokio::time::sleep(Duration::from_millis(lease.ttl_ms / RENEWALS_PER_TTL)).await;
            self.metrics.platform_calls.inc();
            match self.registry.renew(lease).await {
                Ok(true) => {}
                Ok(false) => {
                    log::info!("event=announcement-lapsed lease={}", lease.id);
                    return;
                }
                Err(error) => log::warn!("event=renewal-failed reason=\"{error}\""),
            }
            if renewal % RENEWALS_PER_LISTING == 0 {
                self.list_members().await;
            }
        }
    }

    async fn list_members(&self) {
        self.metrics.platform_calls.inc();
        match self.registry.members().await {
            Ok(members) => self
                .handle
                .send(Input::Platform(PlatformAnswer::Instances(members))),
            Err(error) => log::warn!("event=members-unread reason=\"{error}\""),
        }
    }
}
