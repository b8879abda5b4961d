//! The cases as the request path reads them.

use std::collections::HashMap;

use arc_swap::ArcSwap;

use super::Fingerprint;
use super::trial::TrialPermit;

/// A case as the request path reads it.
#[derive(Clone, Debug)]
pub struct CaseView {
    /// End of the quarantine, in microseconds; `None` if there is none.
    pub(super) until_us: Option<u64>,
    pub(super) trial: TrialPermit,
}

/// The requests that have a case.
#[derive(Debug, Default)]
pub struct QuarantineView {
    cases: ArcSwap<HashMap<Fingerprint, CaseView>>,
}

impl QuarantineView {
    /// Time until the quarantine of a request ends, in microseconds; `None` if it may be sent.
    pub fn left_us(&self, now_us: u64, fingerprint: &Fingerprint) -> Option<u64> {
        let until_us = self.cases.load().get(fingerprint)?.until_us?;
        until_us.checked_sub(now_us).filter(|left_us| *left_us > 0)
    }

    /// Takes the permit for the trial of a request in quarantine; `false` if there is none.
    pub fn take_trial(&self, now_us: u64, fingerprint: &Fingerprint) -> bool {
        let cases = self.cases.load();
        let case = cases.get(fingerprint);
        case.is_some_and(|case| case.trial.take(now_us))
    }

    /// Whether the request has a case, so that a response to it has to be reported.
    pub fn has_case(&self, fingerprint: &Fingerprint) -> bool {
        self.cases.load().contains_key(fingerprint)
    }

    /// Number of requests in quarantine.
    pub fn quarantined(&self, now_us: u64) -> usize {
        let cases = self.cases.load();
        let until_us = cases.values().filter_map(|case| case.until_us);
        until_us.filter(|until_us| *until_us > now_us).count()
    }

    /// Replaces the cases.
    pub fn publish(&self, cases: HashMap<Fingerprint, CaseView>) {
        self.cases.store(cases.into());
    }
}
