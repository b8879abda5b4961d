//! State of an instance, and the dispatch of its inputs.
//!
//! An instance is a state machine without I/O: [`Instance::handle`] takes an input with the
//! current time and returns the actions that the driver has to carry out.

use std::net::SocketAddr;
use std::sync::Arc;

use model::Configuration;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Action;
use super::ConfigurationSource;
use super::Envelope;
use super::EvidenceSharing;
use super::Input;
use super::LogEvent;
use super::Message;
use super::PlatformAnswer;
use super::RetryLimits;
use super::Settings;
use super::Shared;
use super::demand::Demand;
use super::fleet_load::FleetLoad;
use super::freeze_recovery::FreezeRecovery;
use super::latency_sharing::LatencySharing;
use super::local_evidence::LocalEvidence;
use super::notes::IncomingSnapshot;
use super::permits::Permits;
use super::platform::PlatformCalls;
use super::quotas::Quotas;
use super::quotas::ReceivedReport;
use super::readiness::Readiness;
use super::release_exchange::Transfers;
use super::retry_loans::RetryLoans;
use super::table_builder::TableBuilder;
use crate::evidence::DecisionTable;
use crate::evidence::HealthMonitor;
use crate::evidence::Observer;
use crate::feed::KnownVersions;
use crate::feed::Lag;
use crate::feed::RegistryView;
use crate::feed::ReleaseFetch;
use crate::feed::ReleaseHistory;
use crate::limits::PermitDecision;
use crate::limits::PermitRank;
use crate::membership::Change;
use crate::membership::Membership;
use crate::membership::Owners;
use crate::membership::RelayedPings;
use crate::notes::NoteLog;
use crate::quarantine::Quarantine;
use crate::routing::RoutingTable;

/// Tick period unless evidence is shared by alerts, in microseconds: owners and the instance
/// itself evaluate counted outcomes on ticks.
pub const TICK_US: u64 = 50_000;
/// Tick period if evidence is shared by alerts, in microseconds: everything urgent then
/// arrives as an input of its own.
const SLOW_TICK_US: u64 = 250_000;

/// Time without a message from any peer after which an instance watches the platform itself,
/// in microseconds.
const PEER_SILENCE_US: u64 = 2_500_000;

/// Time without a message from any peer after which broadcasts may have been missed, in
/// microseconds: instances ping each other every second.
const CONTACT_GAP_US: u64 = 1_000_000;

/// The control logic of one instance.
pub struct Instance {
    pub(super) membership: Membership,
    pub(super) note_log: NoteLog,
    pub(super) platform_calls: PlatformCalls,
    pub(super) incoming_snapshot: IncomingSnapshot,
    pub(super) next_pull_us: u64,
    pub(super) snapshot_number: u64,
    pub(super) actions: Vec<Action>,
    pub(super) is_watcher: bool,
    pub(super) owners: Owners,
    pub(super) relayed_pings: RelayedPings,
    pub(super) observer: Observer,
    pub(super) local_evidence: LocalEvidence,
    pub(super) health_monitor: HealthMonitor,
    pub(super) decision_table: DecisionTable,
    pub(super) table_builder: TableBuilder,
    pub(super) routing_table: RoutingTable,
    pub(super) shared: Arc<Shared>,
    pub(super) readiness: Readiness,
    pub(super) freeze_recovery: FreezeRecovery,
    pub(super) rng: ChaCha8Rng,
    pub(super) evidence: EvidenceSharing,
    pub(super) source: ConfigurationSource,
    pub(super) registry_view: RegistryView,
    pub(super) demand: Demand,
    pub(super) fleet_load: FleetLoad,
    pub(super) permits: Permits,
    pub(super) quotas: Quotas,
    pub(super) latency_sharing: LatencySharing,
    pub(super) retry_loans: RetryLoans,
    pub(super) quarantine: Quarantine,
    pub(super) lag: Lag,
    pub(super) release_history: ReleaseHistory,
    pub(super) release_fetch: ReleaseFetch,
    pub(super) transfers: Transfers,
    /// The last peer that sent newer versions than this instance has, and these versions.
    pub(super) peer_ahead: Option<(Arc<str>, KnownVersions)>,
    /// Highest number of a release in force at a peer.
    pub(super) newest_peer_release: u64,
    /// Number of the latest invalid release; stored so that it is logged only once.
    pub(super) logged_invalid_release: u64,
    /// Whether the registry has answered and this is not yet broadcast.
    pub(super) has_unsent_registry_answer: bool,
    pub(super) next_answer_broadcast_us: u64,
    pub(super) has_pulled_suspects: bool,
    /// Whether broadcasts of crashes may have been missed after the start.
    pub(super) may_miss_crash_cases: bool,
    pub(super) has_announced_start: bool,
    /// When the instance started or the set of present instances last changed, in microseconds.
    pub(super) members_changed_us: Option<u64>,
    pub(super) member_lists_received: u32,
    pub(super) retry_reserve_sharers: f64,
    pub(super) shared_retry_reserve: Option<f64>,
    pub(super) is_first_start: bool,
    /// New retry share, if the limits on retries have changed since the start.
    pub(super) changed_retry_share: Option<f64>,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) peer_ids: Vec<Arc<str>>,
    pub(super) next_flush_us: u64,
    pub(super) next_join_us: u64,
    pub(super) next_members_request_us: u64,
    pub(super) revival_until_us: u64,
    pub(super) next_dead_ping_us: u64,
    pub(super) last_message_us: u64,
    pub(super) has_unpublished_table: bool,
}

impl Instance {
    /// Creates an instance without configuration or peers.
    pub fn new(settings: Settings) -> Self {
        let shared = Arc::new(Shared::default());
        Self {
            membership: Membership::new(settings.own),
            note_log: NoteLog::default(),
            platform_calls: PlatformCalls::default(),
            incoming_snapshot: IncomingSnapshot::default(),
            next_pull_us: 0,
            snapshot_number: 0,
            actions: Vec::new(),
            is_watcher: true,
            owners: Owners::default(),
            relayed_pings: RelayedPings::default(),
            observer: Observer::default(),
            local_evidence: LocalEvidence::default(),
            health_monitor: HealthMonitor::default(),
            decision_table: DecisionTable::default(),
            table_builder: TableBuilder::new(
                shared.table_freshness().clone(),
                shared.quarantine().clone(),
                settings.departure_limit_us,
            ),
            routing_table: RoutingTable::default(),
            shared,
            readiness: Readiness::default(),
            freeze_recovery: FreezeRecovery::default(),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            evidence: settings.evidence,
            source: settings.source,
            registry_view: RegistryView::default(),
            demand: Demand::default(),
            fleet_load: FleetLoad::default(),
            permits: Permits::default(),
            quotas: Quotas::default(),
            latency_sharing: LatencySharing::default(),
            retry_loans: RetryLoans::default(),
            quarantine: Quarantine::default(),
            lag: Lag::default(),
            release_history: ReleaseHistory::default(),
            release_fetch: ReleaseFetch::default(),
            transfers: Transfers::default(),
            peer_ahead: None,
            newest_peer_release: 0,
            logged_invalid_release: 0,
            has_unsent_registry_answer: false,
            next_answer_broadcast_us: 0,
            has_pulled_suspects: false,
            may_miss_crash_cases: settings.evidence != EvidenceSharing::Alerts,
            has_announced_start: false,
            members_changed_us: None,
            member_lists_received: 0,
            retry_reserve_sharers: 0.0,
            shared_retry_reserve: settings.shared_retry_reserve,
            is_first_start: settings.is_first_start,
            changed_retry_share: None,
            seeds: settings.seeds,
            peer_ids: Vec::new(),
            next_flush_us: 0,
            next_join_us: 0,
            next_members_request_us: 0,
            revival_until_us: 0,
            next_dead_ping_us: 0,
            last_message_us: 0,
            has_unpublished_table: false,
        }
    }

    /// Period at which the driver has to send [`Input::Tick`], in microseconds.
    pub fn tick_us(&self) -> u64 {
        match self.evidence {
            EvidenceSharing::Alerts => SLOW_TICK_US,
            EvidenceSharing::Alone | EvidenceSharing::Owners => TICK_US,
        }
    }

    /// State that the request path reads.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// The instance's view of all instances.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The configuration in force.
    pub fn configuration(&self) -> &Configuration {
        self.note_log.configuration()
    }

    /// Whether the instance accepts requests.
    pub fn is_ready(&self) -> bool {
        self.readiness.is_ready() && !self.routing_table.draining
    }

    /// Handles one input; returns the actions to carry out.
    pub fn handle(&mut self, now_us: u64, input: Input) -> Vec<Action> {
        match input {
            Input::Tick => self.tick(now_us),
            Input::Received(envelope) => self.handle_message(now_us, envelope),
            Input::Observed(observation) => self.record_observation(now_us, &observation),
            Input::Crashed(crash) => self.record_crash(now_us, crash),
            Input::RequestCleared(fingerprint) => self.clear_request(now_us, fingerprint),
            Input::Noticed(noticed) => self.handle_notices(now_us, &noticed),
            Input::Probed {
                service,
                target,
                good,
            } => self.handle_probe_result(now_us, &service, &target, good),
            Input::DepartureChecked {
                process,
                is_leaving,
            } => self.handle_departure_check(now_us, &process, is_leaving),
            Input::Platform(answer) => self.handle_platform_answer(now_us, answer),
            Input::Registry(update) => self.handle_registry_update(now_us, update),
            Input::RequestPermit(request) => self.request_permit(now_us, request),
            Input::ReleasePermit {
                number,
                is_timed_out,
            } => self.release_permit(now_us, number, is_timed_out),
            Input::BorrowRetry { number, service } => self.borrow_retry(now_us, number, service),
            Input::QuotaAsked => self.ask_for_quota(now_us),
            Input::Retries(limits) => self.set_retry_limits(limits),
            Input::Drain => self.drain(now_us),
        }
        self.check_departures(now_us);
        self.publish();
        std::mem::take(&mut self.actions)
    }

    fn tick(&mut self, now_us: u64) {
        self.members_changed_us.get_or_insert(now_us);
        self.ping_after_freeze(now_us);
        for probe in self.membership.tick(now_us, &mut self.rng) {
            self.send_probe(now_us, probe);
        }
        self.apply_membership_changes(now_us);
        self.send_join_requests(now_us);
        self.ping_dead(now_us);
        match self.source {
            ConfigurationSource::Notes => self.tick_notes(now_us),
            ConfigurationSource::Registry => self.tick_registry(now_us),
        }
        if self.evidence == EvidenceSharing::Alerts {
            self.pull_suspects(now_us);
            self.measure_demand(now_us);
            self.permits.tick(now_us);
            self.retry_loans.tick(now_us);
            self.send_latency_samples(now_us);
        } else {
            self.tick_evidence(now_us);
        }
        self.tick_quotas(now_us);
        self.tick_quarantine(now_us);
        self.forget_old_departures(now_us);
        self.update_readiness();
    }

    fn set_retry_limits(&mut self, limits: RetryLimits) {
        self.shared_retry_reserve = Some(limits.reserve);
        self.changed_retry_share = Some(limits.share);
    }

    fn tick_notes(&mut self, now_us: u64) {
        let watches = self.is_watcher || self.has_no_recent_message(now_us);
        let calls = self
            .platform_calls
            .due(now_us, self.note_log.number(), watches);
        self.actions.extend(calls.into_iter().map(Action::Call));
        self.write_snapshot(now_us);
    }

    fn tick_evidence(&mut self, now_us: u64) {
        self.flush_reports(now_us);
        self.local_evidence.tick(now_us);
        let events = self
            .health_monitor
            .tick(now_us, self.note_log.configuration());
        self.apply_health_events(now_us, events);
        for target in self.decision_table.expire(now_us) {
            self.rebuild_service_of_target(&target);
        }
    }

    /// Whether there are peers, and none of them has sent a message lately.
    fn has_no_recent_message(&self, now_us: u64) -> bool {
        !self.peer_ids.is_empty() && self.are_peers_silent(now_us)
    }

    /// Whether no peer has sent a message lately.
    pub(super) fn are_peers_silent(&self, now_us: u64) -> bool {
        now_us.saturating_sub(self.last_message_us) > PEER_SILENCE_US
    }

    /// Pings some peers after the process was frozen, to learn which note is in force.
    fn ping_after_freeze(&mut self, now_us: u64) {
        if self.freeze_recovery.tick(now_us, self.note_log.number()) {
            let sequence = self.freeze_recovery.sequence();
            for id in FreezeRecovery::peers_to_ping(&self.membership) {
                self.send(now_us, &id, Message::Ping { sequence });
            }
            self.may_miss_crash_cases = true;
        }
        self.shared
            .table_freshness()
            .record_tick(now_us, !self.freeze_recovery.is_recovered());
    }

    pub(super) fn handle_message(&mut self, now_us: u64, envelope: Envelope) {
        let from = envelope.from;
        if from != self.membership.own().id {
            let silence_us = now_us.saturating_sub(self.last_message_us);
            let is_regained = self.last_message_us > 0 && silence_us >= CONTACT_GAP_US;
            self.may_miss_crash_cases |= is_regained;
            self.last_message_us = now_us;
        }
        for member in &envelope.member_updates {
            self.membership.merge(now_us, member);
        }
        self.membership
            .record_contact(now_us, &from, envelope.incarnation);
        if self.membership.is_dead(&from) {
            self.ping_revived(now_us, &from);
        }
        if self.membership.is_outdated(&from, envelope.incarnation) {
            // Gossip may pass by an instance, and for it the sender would stay dead or gone.
            self.request_members(now_us, &from);
        }
        self.readiness.record_peer_number(&from, envelope.note);
        self.apply_membership_changes(now_us);
        match envelope.message {
            Message::Ping { sequence } => self.answer_ping(now_us, &from, sequence),
            Message::Ack { sequence } => self.handle_ack(now_us, sequence, envelope.note),
            Message::PingFor { to, sequence } => self.ping_for(now_us, &from, &to, sequence),
            Message::Join => self.send_members(now_us, &from),
            Message::Members(members) => self.merge_members(now_us, &members),
            Message::Reports(reports) => self.handle_reports(now_us, &from, &reports),
            Message::Latencies(latencies) => self.apply_latencies(latencies),
            Message::HealthDecisions {
                owner,
                decisions,
                id_range,
            } => self.handle_decisions(now_us, &owner, &decisions, id_range.as_ref()),
            Message::NewNote { note, id_range } => {
                self.handle_new_note(now_us, &from, &note, id_range.as_ref())
            }
            Message::PullNotes { after } => self.send_notes(now_us, &from, after),
            Message::Notes(notes) => self.apply_notes(now_us, &notes, false),
            Message::SnapshotPart {
                number,
                index,
                count,
                text,
            } => self.store_snapshot_part(number, index, count, &text),
            Message::Release { release, id_range } => {
                self.handle_release(now_us, release, id_range.as_ref())
            }
            Message::ReleaseWithAccess {
                release,
                access,
                id_range,
            } => self.handle_release(now_us, release.with_access(*access), id_range.as_ref()),
            Message::Entries { changes, id_range } => {
                self.handle_entries(now_us, &from, changes, id_range.as_ref())
            }
            Message::RegistryAnswers { id_range } => {
                self.handle_registry_answers(now_us, id_range.as_ref())
            }
            Message::CatchUp { release, targets } => {
                self.send_missing_updates(now_us, &from, release, targets)
            }
            Message::PullRelease(request) => self.send_release_parts(now_us, &from, &request),
            Message::ReleasePart(part) => self.handle_release_part(now_us, &from, *part),
            Message::Targets { revision, targets } => {
                self.handle_targets(now_us, &from, revision, targets)
            }
            Message::Loads(loads) => self.fleet_load.add(now_us, loads),
            Message::RequestPermit {
                target,
                number,
                params,
            } => self.answer_permit_request(now_us, (&from, number), target, params, None),
            Message::RequestRankedPermit {
                target,
                number,
                params,
                priority,
                customer,
            } => {
                let rank = PermitRank { priority, customer };
                self.answer_permit_request(now_us, (&from, number), target, params, Some(&rank))
            }
            Message::PermitAnswer {
                number,
                is_permitted,
                in_flight,
                wait_ms,
            } => {
                let decision = PermitDecision {
                    is_permitted,
                    in_flight,
                    wait_ms,
                };
                self.handle_permit_answer(now_us, &from, number, decision)
            }
            Message::RegisterPermits { target, permits } => {
                self.handle_registered_permits(now_us, &from, target, &permits)
            }
            Message::ReleasePermit { target, number } => {
                self.handle_permit_release(&from, &target, number)
            }
            Message::LatencySamples(samples) => self.fit_latencies(now_us, &samples),
            Message::LatencyProfiles { profiles, id_range } => {
                self.handle_latency_profiles(now_us, &profiles, id_range.as_ref())
            }
            Message::BorrowRetry { service, number } => {
                self.lend_retry(now_us, &from, &service, number)
            }
            Message::RetryAnswer { number, is_lent } => {
                self.handle_retry_answer(now_us, &from, number, is_lent)
            }
            Message::QuotaReport {
                number,
                process,
                is_counted,
                uses,
            } => {
                let report = ReceivedReport {
                    number,
                    process,
                    is_counted,
                };
                self.answer_quota_report(now_us, &from, report, &uses)
            }
            Message::QuotaAnswer { number, leases } => {
                self.handle_quota_answer(now_us, &from, number, &leases)
            }
            Message::TargetCrashed { crash, id_range } => {
                self.handle_crash(now_us, &from, crash, id_range.as_ref())
            }
            Message::RequestCleared {
                fingerprint,
                id_range,
            } => self.handle_cleared_request(now_us, fingerprint, id_range.as_ref()),
            Message::PullCrashCases => self.send_crash_cases(now_us, &from),
            Message::CrashCases { reports, id_range } => {
                self.merge_crash_cases(now_us, reports, id_range.as_ref())
            }
            Message::PullSuspects => {
                self.send_suspects(now_us, &from);
                self.send_latency_profiles(now_us, &from);
                self.send_rate_limits(now_us, &from);
                self.send_departures(now_us, &from);
                self.send_crash_cases(now_us, &from);
            }
            Message::Suspects(suspects) => self.merge_suspects(now_us, &suspects),
            Message::RateLimits { limits, id_range } => {
                self.handle_rate_limits(now_us, &limits, id_range.as_ref())
            }
            Message::Departures {
                processes,
                id_range,
            } => self.handle_departures(now_us, &from, &processes, id_range.as_ref()),
            Message::MemberChanged { member, id_range } => {
                self.handle_member_change(now_us, &member, id_range.as_ref())
            }
            Message::Alerts { alerts, id_range } => {
                self.handle_alerts(now_us, &from, &alerts, id_range.as_ref())
            }
        }
        match self.source {
            ConfigurationSource::Notes => self.pull_if_behind(now_us, &from, envelope.note),
            ConfigurationSource::Registry => {
                let peer = KnownVersions {
                    release: envelope.note,
                    targets: envelope.targets_changed,
                };
                self.catch_up_with_peer(now_us, &from, peer);
                self.record_view_age(now_us, peer, envelope.view_age_ms);
            }
        }
        if !self.freeze_recovery.is_recovered() {
            self.freeze_recovery
                .end_if_recovered(now_us, self.note_log.number());
        }
        self.update_readiness();
    }

    fn handle_platform_answer(&mut self, now_us: u64, answer: PlatformAnswer) {
        match answer {
            PlatformAnswer::Notes(notes) => {
                let is_caught_up = notes.is_empty();
                self.apply_notes(now_us, &notes, true);
                self.platform_calls.record_notes(now_us, is_caught_up);
                if is_caught_up {
                    self.readiness
                        .record_platform_number(self.note_log.number());
                }
            }
            PlatformAnswer::Snapshot { number, parts } => {
                self.snapshot_number = self.snapshot_number.max(number);
                self.restore(number, parts.into_iter());
                self.platform_calls.record_snapshot(now_us);
            }
            PlatformAnswer::Instances(members) => {
                self.member_lists_received += 1;
                self.platform_calls.record_instances(now_us, &mut self.rng);
                self.merge_members(now_us, &members);
            }
            PlatformAnswer::SnapshotWritten { number } => {
                self.snapshot_number = self.snapshot_number.max(number);
                self.platform_calls
                    .record_write_result(now_us, true, &mut self.rng);
            }
            PlatformAnswer::NotesUnavailable => {
                self.platform_calls
                    .record_notes_failure(now_us, &mut self.rng);
                self.readiness.record_platform_unreachable();
            }
            PlatformAnswer::SnapshotUnavailable => {
                self.platform_calls
                    .record_snapshot_failure(now_us, &mut self.rng);
                self.readiness.record_platform_unreachable();
            }
            PlatformAnswer::InstancesUnavailable => self
                .platform_calls
                .record_instances_failure(now_us, &mut self.rng),
            PlatformAnswer::SnapshotNotWritten => {
                self.platform_calls
                    .record_write_result(now_us, false, &mut self.rng)
            }
        }
        self.update_readiness();
    }

    fn drain(&mut self, now_us: u64) {
        if self.routing_table.draining {
            return;
        }
        self.routing_table.draining = true;
        self.has_unpublished_table = true;
        self.membership.leave();
        self.actions.push(Action::Log(LogEvent::Draining));
        let ids = self.other_ids();
        let own = self.membership.own().clone();
        self.broadcast_member(now_us, &own, &ids);
        self.owners.change(&Change::Left(own), &self.membership);
        self.register_permits(now_us);
    }
}
