//! Execution of the actions that the policy returns: messages, probes, platform calls and log
//! lines.

use std::sync::Arc;

use border::HeaderProtocol;
use border::NoteStore;
use border::Platform;
use border::SnapshotStore;
use model::configuration::Target;
use peers::Sender;
use policy::Action;
use policy::Input;
use policy::evidence::HealthState;
use policy::instance::LogEvent;
use policy::instance::PlatformAnswer;
use policy::instance::PlatformCall;
use policy::routing::TargetProcess;
use tokio::sync::Notify;

use super::ControlHandle;
use super::PendingPermits;
use super::PendingRetryLoans;
use super::RereadSignals;
use crate::metrics::Metrics;
use crate::targets::Prober;

/// Time for which a long poll for notes waits, in milliseconds.
const NOTE_WATCH_MS: u64 = 20_000;

/// Executes actions of the policy.
pub(super) struct ActionDriver {
    pub(super) id: Arc<str>,
    pub(super) handle: ControlHandle,
    pub(super) sender: Sender,
    pub(super) platform: Option<Arc<dyn Platform>>,
    pub(super) reread_signals: Arc<RereadSignals>,
    pub(super) prober: Prober,
    pub(super) header_protocol: Arc<dyn HeaderProtocol>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) permits: Arc<PendingPermits>,
    pub(super) retry_loans: Arc<PendingRetryLoans>,
    pub(super) quota_answers: Arc<Notify>,
}

impl ActionDriver {
    /// Executes an action without waiting for its result, which arrives as a later input.
    pub(super) fn execute(&self, action: Action) {
        match action {
            Action::Send {
                address, envelope, ..
            } => self.sender.send(address, &envelope),
            Action::Probe { target, path } => self.probe(target, path),
            Action::CheckDeparture { target, path } => self.check_departure(target, path),
            Action::Call(call) => self.call(call),
            Action::Reread(part) => self.reread_signals.request(part),
            Action::Permit { number, answer } => self.permits.answer(number, answer),
            Action::RetryAnswer { number, is_lent } => self.retry_loans.answer(number, is_lent),
            Action::QuotaAnswered => self.quota_answers.notify_waiters(),
            Action::Log(event) => self.log_event(&event),
        }
    }

    fn probe(&self, target: Arc<Target>, path: Arc<str>) {
        let handle = self.handle.clone();
        let prober = self.prober;
        tokio::spawn(async move {
            let good = prober.probe(target.address, &path).await;
            handle.send(Input::Probed {
                service: target.service.clone(),
                target: target.name.clone(),
                good,
            });
        });
    }

    fn check_departure(&self, target: Arc<Target>, path: Arc<str>) {
        let handle = self.handle.clone();
        let prober = self.prober;
        let header_protocol = self.header_protocol.clone();
        tokio::spawn(async move {
            let is_leaving = prober.is_leaving(&target, &path, &*header_protocol).await;
            log::info!(
                "event=target-departure-checked target={} incarnation={} leaves={is_leaving:?}",
                target.name,
                target.incarnation
            );
            handle.send(Input::DepartureChecked {
                process: TargetProcess::of(&target),
                is_leaving,
            });
        });
    }

    fn call(&self, call: PlatformCall) {
        let Some(platform) = self.platform.clone() else {
            log::error!("event=platform-call-without-platform call={call:?}");
            return;
        };
        self.metrics.platform_calls.inc();
        let handle = self.handle.clone();
        let id = self.id.clone();
        tokio::spawn(async move {
            let answer = call_platform(platform, call, &id).await;
            handle.send(Input::Platform(answer));
        });
    }

    fn log_event(&self, event: &LogEvent) {
        match event {
            LogEvent::NoteInForce { number } => {
                self.metrics.note_in_force.set(*number as i64);
                log::info!("event=note-in-force note={number}");
            }
            LogEvent::NoteVoid { number, reason } => {
                log::warn!("event=note-void note={number} reason=\"{reason}\"");
            }
            LogEvent::HealthDecided {
                service,
                target,
                health,
                from,
            } => {
                if *health == HealthState::Ejected {
                    self.metrics.count_ejection(service);
                }
                let from = from.join(",");
                log::info!(
                    "event=target-judged service={service} target={target} standing={health:?} from=\"{from}\""
                );
            }
            LogEvent::HealthChanged { target, health } => {
                log::info!("event=target-standing target={target} standing={health:?}");
            }
            LogEvent::SuspicionChanged {
                service,
                target,
                signal,
                by,
                before_milli,
                after_milli,
            } => {
                self.metrics.suspicion_changes.inc();
                log::info!(
                    "event=target-doubted service={service} target={target} signal={signal:?} by={by} doubt_before_milli={before_milli} doubt_milli={after_milli}"
                );
            }
            LogEvent::TargetCrashed(crash) => {
                self.metrics.target_crashes.inc();
                log::warn!(
                    "event=target-crashed request={} target={} incarnation={}",
                    crash.fingerprint,
                    crash.process.target,
                    crash.process.incarnation
                );
            }
            LogEvent::RequestQuarantined {
                fingerprint,
                targets,
                for_ms,
            } => {
                let targets = targets.join(",");
                log::warn!(
                    "event=request-quarantined request={fingerprint} targets=\"{targets}\" for_ms={for_ms}"
                );
            }
            LogEvent::QuarantineLifted { fingerprint } => {
                log::warn!("event=quarantine-lifted request={fingerprint}");
            }
            LogEvent::TargetsInForce { put, withdrawn } => {
                let (put, withdrawn) = (put.join(","), withdrawn.join(","));
                log::info!("event=targets-in-force put=\"{put}\" withdrawn=\"{withdrawn}\"");
            }
            LogEvent::TargetsRetained {
                targets,
                for_ms,
                reason,
                by,
            } => {
                let targets = targets.join(",");
                log::info!(
                    "event=targets-kept targets=\"{targets}\" stay={reason:?} for_ms={for_ms} by={by}"
                );
            }
            LogEvent::RateLimitChanged {
                target,
                limit_milli,
            } => {
                log::info!("event=target-limit target={target} limit_milli={limit_milli:?}");
            }
            LogEvent::DepartureStated { process, by } => {
                self.metrics.stated_departures.inc();
                log::info!(
                    "event=target-leaves target={} incarnation={} by={by}",
                    process.target,
                    process.incarnation
                );
            }
            LogEvent::DepartureRefuted { process } => {
                log::info!(
                    "event=target-stays target={} incarnation={}",
                    process.target,
                    process.incarnation
                );
            }
            LogEvent::PauseRequested { process, pause_ms } => {
                log::info!(
                    "event=target-pauses target={} incarnation={} pause_ms={pause_ms}",
                    process.target,
                    process.incarnation
                );
            }
            LogEvent::NoticeUnreadable { target } => {
                log::warn!("event=target-notice-unreadable target={target}");
            }
            LogEvent::RankedPermitUnanswered { owner } => {
                log::info!("event=ranked-permit-unanswered owner={owner}");
            }
            LogEvent::LedgerStarted { target } => {
                log::info!("event=permit-ledger-started target={target}");
            }
            LogEvent::OwnerChanged {
                target,
                owner,
                permits,
            } => {
                log::info!(
                    "event=target-owner-changed target={target} owner={owner} permits={permits}"
                );
            }
            LogEvent::RetryReserve { instances } => {
                log::info!("event=retry-reserve instances={instances}");
            }
            LogEvent::Overloaded {
                service,
                is_overloaded,
                slots,
                fleet_milli,
                work_ms,
            } => {
                log::info!(
                    "event=service-crowded service={service} crowded={is_overloaded} slots={slots} fleet_milli={fleet_milli:?} work_ms={work_ms}"
                );
            }
            LogEvent::QuotaRestricted {
                customer,
                is_restricted,
                balance_milli,
                rate_milli,
                capacity_milli,
            } => {
                let event = match is_restricted {
                    true => "quota-restricted",
                    false => "quota-unrestricted",
                };
                log::info!(
                    "event={event} customer={customer} balance_milli={balance_milli} rate_milli={rate_milli} capacity_milli={capacity_milli}"
                );
            }
            LogEvent::QuotaAccountsStarted {
                customers,
                instances,
                is_unspent,
            } => {
                log::info!(
                    "event=quota-account-started customers={customers} instances={instances} unspent={is_unspent}"
                );
            }
            LogEvent::QuotaOwnerChanged { owner } => {
                log::info!("event=quota-owner-changed owner={owner}");
            }
            LogEvent::QuotaOwnerSilent {
                owner,
                silent_ms,
                instances,
            } => {
                let owner = owner.as_deref().unwrap_or("-");
                log::warn!(
                    "event=quota-owner-silent owner={owner} silent_ms={silent_ms} instances={instances}"
                );
            }
            LogEvent::WatchTakenOver { view_age_ms } => {
                log::info!("event=registry-stand-in view_age_ms={view_age_ms}");
            }
            LogEvent::ReleaseFetched {
                number,
                own_number,
                from,
                parts,
            } => {
                log::info!(
                    "event=release-fetched note={number} before={own_number} from={from} parts={parts}"
                );
            }
            LogEvent::ReleaseSuperseded {
                is_superseded,
                own_number,
                newest_number,
            } => {
                log::info!(
                    "event=release-superseded superseded={is_superseded} note={own_number} newest={newest_number}"
                );
            }
            LogEvent::Isolated(is_isolated) => {
                log::warn!("event=isolated isolated={is_isolated}");
            }
            LogEvent::RegistryReachable(true) => log::info!("event=registry-regained"),
            LogEvent::RegistryReachable(false) => log::warn!("event=registry-lost"),
            LogEvent::Joined { instance } => {
                log::info!("event=instance-joined instance={instance}")
            }
            LogEvent::Gone { instance } => log::info!("event=instance-gone instance={instance}"),
            LogEvent::Ready => log::info!("event=ready"),
            LogEvent::Draining => log::info!("event=draining"),
        }
    }
}

async fn call_platform(
    platform: Arc<dyn Platform>,
    call: PlatformCall,
    id: &str,
) -> PlatformAnswer {
    match call {
        PlatformCall::WatchNotes { after, wait } => {
            let wait_ms = if wait { NOTE_WATCH_MS } else { 0 };
            match NoteStore::new(platform).after(after, wait_ms).await {
                Ok(notes) => PlatformAnswer::Notes(notes),
                Err(_) => PlatformAnswer::NotesUnavailable,
            }
        }
        PlatformCall::ReadSnapshot => match SnapshotStore::new(platform).read().await {
            Ok(Some((number, parts))) => PlatformAnswer::Snapshot { number, parts },
            Ok(None) => PlatformAnswer::Snapshot {
                number: 0,
                parts: Vec::new(),
            },
            Err(_) => PlatformAnswer::SnapshotUnavailable,
        },
        PlatformCall::ListInstances => match platform.instances().await {
            Ok(members) => PlatformAnswer::Instances(members),
            Err(_) => PlatformAnswer::InstancesUnavailable,
        },
        PlatformCall::WriteSnapshot { number, parts } => {
            match SnapshotStore::new(platform).write(number, &parts, id).await {
                Ok(()) => PlatformAnswer::SnapshotWritten { number },
                Err(_) => PlatformAnswer::SnapshotNotWritten,
            }
        }
    }
}
