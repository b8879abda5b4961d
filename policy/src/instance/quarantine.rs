//! Crashes of targets under requests, as seen by all instances.
//!
//! Each crash is broadcast at once, and so are a decision, by the instances that have seen a crash of
//! the request, and the response that clears a request. An instance that missed a quarantine learns
//! of it when it starts, after a freeze, when it hears from others again, and when it reports a crash
//! of that request.

use std::sync::Arc;

use rand::seq::IndexedRandom;

use super::Action;
use super::Instance;
use super::LogEvent;
use super::Message;
use crate::notes::IdRange;
use crate::quarantine::CaseReport;
use crate::quarantine::Crash;
use crate::quarantine::Fingerprint;
use crate::rendezvous::weight;

/// Peers from which an instance requests the cases.
const CASE_PULL_PEERS: usize = 2;
const CASES_PER_MESSAGE: usize = 100;

impl Instance {
    /// Records that a target's process ended under a request of this instance.
    pub(super) fn record_crash(&mut self, now_us: u64, crash: Crash) {
        self.actions
            .push(Action::Log(LogEvent::TargetCrashed(crash.clone())));
        let ids = self.other_ids();
        self.broadcast_crash(now_us, &crash, &ids);
        self.quarantine.record(now_us, crash, true);
        self.publish_quarantine();
    }

    /// Adds a crash that another instance reports, and forwards it within `id_range`.
    pub(super) fn handle_crash(
        &mut self,
        now_us: u64,
        from: &Arc<str>,
        crash: Crash,
        id_range: Option<&IdRange>,
    ) {
        if let Some(id_range) = id_range {
            let ids = id_range.select_ids(&self.other_ids());
            self.broadcast_crash(now_us, &crash, &ids);
        }
        if let Some(report) = self.quarantine.quarantined(now_us, &crash.fingerprint) {
            let reports = vec![report];
            let id_range = None;
            self.send(now_us, from, Message::CrashCases { reports, id_range });
        }
        self.quarantine.record(now_us, crash, false);
        self.publish_quarantine();
    }

    /// Drops the case of a request to which a target has responded, and tells all instances.
    pub(super) fn clear_request(&mut self, now_us: u64, fingerprint: Fingerprint) {
        if self.drop_case(now_us, &fingerprint) {
            let ids = self.other_ids();
            self.broadcast_cleared(now_us, fingerprint, &ids);
        }
    }

    /// Drops the case of a request that another instance has cleared, and forwards this within
    /// `id_range`.
    pub(super) fn handle_cleared_request(
        &mut self,
        now_us: u64,
        fingerprint: Fingerprint,
        id_range: Option<&IdRange>,
    ) {
        if let Some(id_range) = id_range {
            let ids = id_range.select_ids(&self.other_ids());
            self.broadcast_cleared(now_us, fingerprint, &ids);
        }
        self.drop_case(now_us, &fingerprint);
    }

    fn drop_case(&mut self, now_us: u64, fingerprint: &Fingerprint) -> bool {
        let Some(case) = self.quarantine.clear(now_us, fingerprint) else {
            return false;
        };
        if case.left_us(now_us).is_some() {
            let fingerprint = *fingerprint;
            self.actions
                .push(Action::Log(LogEvent::QuarantineLifted { fingerprint }));
        }
        self.publish_quarantine();
        true
    }

    fn pull_crash_cases(&mut self, now_us: u64) {
        let peers: Vec<Arc<str>> = self
            .peer_ids
            .sample(&mut self.rng, CASE_PULL_PEERS)
            .cloned()
            .collect();
        self.may_miss_crash_cases = peers.is_empty();
        for id in peers {
            self.send(now_us, &id, Message::PullCrashCases);
        }
    }

    /// Sends all cases to an instance that requests them.
    pub(super) fn send_crash_cases(&mut self, now_us: u64, to: &Arc<str>) {
        let reports = self.quarantine.reports(now_us);
        for chunk in reports.chunks(CASES_PER_MESSAGE) {
            let reports = chunk.to_vec();
            let id_range = None;
            self.send(now_us, to, Message::CrashCases { reports, id_range });
        }
    }

    /// Merges the cases of another instance, and forwards them within `id_range`.
    pub(super) fn merge_crash_cases(
        &mut self,
        now_us: u64,
        reports: Vec<CaseReport>,
        id_range: Option<&IdRange>,
    ) {
        if let Some(id_range) = id_range {
            let ids = id_range.select_ids(&self.other_ids());
            self.broadcast_cases(now_us, &reports, &ids);
        }
        for report in reports {
            let fingerprint = report.fingerprint;
            if self.quarantine.merge(now_us, report) {
                self.log_quarantine(now_us, fingerprint);
            }
        }
        self.publish_quarantine();
    }

    /// Decides on quarantines and drops expired cases. Requests those of some peers after a
    /// freeze or a time without contact; after a start they come with the suspect targets.
    pub(super) fn tick_quarantine(&mut self, now_us: u64) {
        if self.may_miss_crash_cases {
            self.pull_crash_cases(now_us);
        }
        let decided = self.quarantine.decide(now_us);
        for fingerprint in &decided {
            self.log_quarantine(now_us, *fingerprint);
        }
        let membership = &self.membership;
        self.quarantine.permit_trials(now_us, |fingerprint| {
            let name = fingerprint.to_string();
            let present = membership.present().filter(|member| member.is_present());
            let owner = present.max_by_key(|member| (weight(&member.id, &name), &member.id));
            owner.is_some_and(|owner| owner.id == membership.own().id)
        });
        let due = self.quarantine.due_reports(now_us);
        if !due.is_empty() {
            let ids = self.other_ids();
            self.broadcast_cases(now_us, &due, &ids);
        }
        if self.quarantine.tick(now_us) || !decided.is_empty() {
            self.publish_quarantine();
        }
    }

    fn log_quarantine(&mut self, now_us: u64, fingerprint: Fingerprint) {
        let Some(case) = self.quarantine.case(&fingerprint) else {
            return;
        };
        let crashes = case.crashes().iter();
        let targets = crashes.map(|process| process.target.clone()).collect();
        let for_ms = case.left_us(now_us).unwrap_or(0) / 1_000;
        self.actions.push(Action::Log(LogEvent::RequestQuarantined {
            fingerprint,
            targets,
            for_ms,
        }));
    }

    fn publish_quarantine(&self) {
        self.shared.quarantine().publish(self.quarantine.views());
    }

    fn broadcast_crash(&mut self, now_us: u64, crash: &Crash, ids: &[Arc<str>]) {
        for (to, id_range) in crate::notes::partition_receivers(ids, &mut self.rng) {
            let crash = crash.clone();
            self.send(now_us, &to, Message::TargetCrashed { crash, id_range });
        }
    }

    fn broadcast_cases(&mut self, now_us: u64, reports: &[CaseReport], ids: &[Arc<str>]) {
        for (to, id_range) in crate::notes::partition_receivers(ids, &mut self.rng) {
            let reports = reports.to_vec();
            self.send(now_us, &to, Message::CrashCases { reports, id_range });
        }
    }

    fn broadcast_cleared(&mut self, now_us: u64, fingerprint: Fingerprint, ids: &[Arc<str>]) {
        for (to, id_range) in crate::notes::partition_receivers(ids, &mut self.rng) {
            let message = Message::RequestCleared {
                fingerprint,
                id_range,
            };
            self.send(now_us, &to, message);
        }
    }
}
