//! The decision which requests to quarantine.
//!
//! All instances keep the same cases, so that a decision outlives any of them. A crash cuts all
//! requests of the target, of which one is the cause. If the quarantine of one of them is confirmed,
//! it explains the crash, which then does not count for the others.

use std::collections::BTreeMap;
use std::collections::HashMap;

use super::Case;
use super::CaseReport;
use super::Crash;
use super::Fingerprint;
use super::quarantine_view::CaseView;
use crate::routing::TargetProcess;

/// Crashes without a response in between from which a request is quarantined.
pub const CRASHES_UNTIL_QUARANTINE: usize = 3;
/// Crashes from which a request is suspect.
const SUSPECT_CRASHES: usize = 2;
/// Time between the last crash needed and the decision, in microseconds. Until then the reports of
/// all instances arrive, and responses to requests that were only beside the cause.
const SETTLE_US: u64 = 500_000;
/// Duration of the first quarantine, in microseconds; each further one is twice as long.
const FIRST_QUARANTINE_US: u64 = 600 * 1_000_000;
/// Doublings of that duration at most.
const MAX_DOUBLINGS: u32 = 7;
/// Time after which the decision to quarantine a request is broadcast again, in microseconds.
const REPEAT_US: u64 = 1_000_000;
/// Time for which reports of other instances on a cleared request are ignored, in microseconds: they
/// may be older than the response that cleared it.
const CLEARED_US: u64 = 3 * REPEAT_US;
/// Time after which a case without quarantine is dropped, in microseconds.
const CASE_EXPIRY_US: u64 = 600 * 1_000_000;
/// Bound on the memory that callers with ever new requests can use.
const MAX_CASES: usize = 2_048;

/// The cases of all requests that were at crashes.
#[derive(Debug, Default)]
pub struct Quarantine {
    cases: BTreeMap<Fingerprint, Case>,
    /// Requests that were cleared lately, with the time until which reports from before may arrive.
    cleared: BTreeMap<Fingerprint, u64>,
}

impl Quarantine {
    /// Returns the case of a request.
    pub fn case(&self, fingerprint: &Fingerprint) -> Option<&Case> {
        self.cases.get(fingerprint)
    }

    /// Adds a crash to the case of its request. `is_own` if this instance has seen the crash itself.
    pub fn record(&mut self, now_us: u64, crash: Crash, is_own: bool) {
        self.make_room(&crash.fingerprint);
        let case = self.cases.entry(crash.fingerprint).or_default();
        case.add_crash(now_us, crash.process);
        case.is_witnessed |= is_own;
    }

    /// Merges the case of another instance. Returns `true` if the request is in quarantine there
    /// and was not here.
    pub fn merge(&mut self, now_us: u64, report: CaseReport) -> bool {
        if self.cleared.contains_key(&report.fingerprint) {
            return false;
        }
        self.make_room(&report.fingerprint);
        let case = self.cases.entry(report.fingerprint).or_default();
        for process in report.crashes {
            case.add_crash(now_us, process);
        }
        let was_quarantined = case.left_us(now_us).is_some();
        if let Some(left_ms) = report.left_ms {
            let quarantines = case.quarantines.max(report.quarantines);
            case.start_quarantine(now_us, now_us + left_ms * 1_000, quarantines);
            if report.is_confirmed {
                case.trial.confirm();
            }
        }
        !was_quarantined && case.left_us(now_us).is_some()
    }

    /// Quarantines requests whose crashes suffice and are not explained by others. Returns them.
    pub fn decide(&mut self, now_us: u64) -> Vec<Fingerprint> {
        let mut decided = Vec::new();
        loop {
            let unexplained = self.unexplained_crashes(now_us);
            let most = unexplained.iter().map(|(_, crashes)| *crashes).max();
            // Several requests with the same crashes cannot be told apart.
            let worst = unexplained
                .into_iter()
                .filter(|(_, crashes)| Some(*crashes) == most);
            let worst: Vec<Fingerprint> = worst.map(|(fingerprint, _)| fingerprint).collect();
            if worst.is_empty() {
                return decided;
            }
            for fingerprint in &worst {
                if let Some(case) = self.cases.get_mut(fingerprint) {
                    let doublings = case.quarantines.min(MAX_DOUBLINGS);
                    let until_us = now_us + (FIRST_QUARANTINE_US << doublings);
                    case.start_quarantine(now_us, until_us, case.quarantines + 1);
                    case.broadcast_at_us = case.is_witnessed.then_some(now_us);
                }
            }
            decided.extend(worst);
        }
    }

    /// Drops the case of a request to which a target has responded.
    pub fn clear(&mut self, now_us: u64, fingerprint: &Fingerprint) -> Option<Case> {
        let case = self.cases.remove(fingerprint)?;
        self.cleared.insert(*fingerprint, now_us + CLEARED_US);
        Some(case)
    }

    /// Drops expired cases; returns `true` if there were any.
    pub fn tick(&mut self, now_us: u64) -> bool {
        self.cleared.retain(|_, until_us| now_us < *until_us);
        let count = self.cases.len();
        self.cases.retain(|_, case| {
            let end_us = case.until_us.unwrap_or(0).max(case.changed_us);
            now_us < end_us + CASE_EXPIRY_US
        });
        self.cases.len() < count
    }

    /// Returns the cases as reports, those in quarantine first.
    pub fn reports(&self, now_us: u64) -> Vec<CaseReport> {
        let reports = self.cases.iter();
        let reports = reports.map(|(fingerprint, case)| report(now_us, *fingerprint, case));
        let (mut quarantined, others): (Vec<_>, Vec<_>) =
            reports.partition(|report| report.left_ms.is_some());
        quarantined.extend(others);
        quarantined
    }

    /// Returns the case of a request as a report, if it is in quarantine.
    pub fn quarantined(&self, now_us: u64, fingerprint: &Fingerprint) -> Option<CaseReport> {
        let case = self.cases.get(fingerprint)?;
        let report = report(now_us, *fingerprint, case);
        report.left_ms.is_some().then_some(report)
    }

    /// Returns the cases in quarantine that this instance has to broadcast now: those of which it
    /// has seen a crash, once at the decision and once more, as messages get lost.
    pub fn due_reports(&mut self, now_us: u64) -> Vec<CaseReport> {
        let is_due = |case: &mut Case| {
            let is_due = case.broadcast_at_us.is_some_and(|at_us| at_us <= now_us);
            if is_due {
                let is_first = case.broadcast_at_us == Some(case.changed_us);
                case.broadcast_at_us = is_first.then_some(now_us + REPEAT_US);
            }
            is_due && case.left_us(now_us).is_some()
        };
        let cases = self.cases.iter_mut();
        cases
            .filter_map(|(fingerprint, case)| {
                is_due(case).then(|| report(now_us, *fingerprint, case))
            })
            .collect()
    }

    /// Confirms quarantines by the crashes of their trials. A crash at which another suspect request
    /// was, one with several crashes, is no proof.
    fn confirm_by_trials(&mut self, now_us: u64) {
        let settled = self.cases.iter().filter_map(|(fingerprint, case)| {
            let (process, at_us) = case.trial.crash.as_ref()?;
            let is_proof = !self.cases.iter().any(|(other, suspect)| {
                other != fingerprint
                    && suspect.crashes().len() >= SUSPECT_CRASHES
                    && suspect.crashes().contains(process)
            });
            (at_us + SETTLE_US <= now_us).then_some((*fingerprint, is_proof))
        });
        let settled: Vec<(Fingerprint, bool)> = settled.collect();
        for (fingerprint, is_proof) in settled {
            if let Some(case) = self.cases.get_mut(&fingerprint) {
                match is_proof {
                    true => case.trial.confirm(),
                    false => case.trial.repeat(now_us),
                }
            }
        }
    }

    /// Permits the trials that are due of requests in quarantine that this instance owns.
    pub fn permit_trials(&mut self, now_us: u64, is_owner: impl Fn(&Fingerprint) -> bool) {
        self.confirm_by_trials(now_us);
        for (fingerprint, case) in &mut self.cases {
            if case.left_us(now_us).is_some() {
                case.trial.tick(now_us, || is_owner(fingerprint));
            }
        }
    }

    /// Returns the cases for the request path.
    pub fn views(&self) -> HashMap<Fingerprint, CaseView> {
        let view = |case: &Case| CaseView {
            until_us: case.until_us,
            trial: case.trial.permit.clone(),
        };
        let cases = self.cases.iter();
        cases
            .map(|(fingerprint, case)| (*fingerprint, view(case)))
            .collect()
    }

    /// The requests whose crashes suffice for a quarantine without those that are explained, and
    /// how many crashes remain.
    fn unexplained_crashes(&self, now_us: u64) -> Vec<(Fingerprint, usize)> {
        let is_settled = |case: &Case| {
            case.suffices_us
                .is_some_and(|suffices_us| suffices_us + SETTLE_US <= now_us)
        };
        let cases = self.cases.iter().filter(|(_, case)| is_settled(case));
        let counted = cases.map(|(fingerprint, case)| {
            let crashes = case.crashes().iter();
            let unexplained =
                crashes.filter(|process| !self.is_explained(now_us, fingerprint, process));
            (case, *fingerprint, unexplained.count())
        });
        counted
            .filter(|(case, _, unexplained)| *unexplained >= case.crashes_needed())
            .map(|(_, fingerprint, unexplained)| (fingerprint, unexplained))
            .collect()
    }

    /// Whether another request, whose quarantine is confirmed, was sent to the process as well.
    fn is_explained(
        &self,
        now_us: u64,
        fingerprint: &Fingerprint,
        process: &TargetProcess,
    ) -> bool {
        self.cases.iter().any(|(other, case)| {
            other != fingerprint
                && case.trial.is_confirmed
                && case.left_us(now_us).is_some()
                && case.crashes().contains(process)
        })
    }

    /// Drops the oldest case, if there is no room for that of `fingerprint`.
    fn make_room(&mut self, fingerprint: &Fingerprint) {
        if self.cases.len() < MAX_CASES || self.cases.contains_key(fingerprint) {
            return;
        }
        let oldest = self
            .cases
            .iter()
            .min_by_key(|(_, case)| (case.until_us, case.changed_us));
        if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.cases.remove(&oldest);
        }
    }
}

fn report(now_us: u64, fingerprint: Fingerprint, case: &Case) -> CaseReport {
    CaseReport {
        fingerprint,
        crashes: match case.is_on_probation(now_us) {
            true => Vec::new(),
            false => case.crashes().to_vec(),
        },
        left_ms: case.left_us(now_us).map(|left_us| left_us.div_ceil(1_000)),
        quarantines: case.quarantines,
        is_confirmed: case.trial.is_confirmed,
    }
}
