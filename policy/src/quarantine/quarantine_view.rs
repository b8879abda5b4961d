//! The cases as the request path reads them.

use std::collections::HashMap;

use arc_swap::ArcSwap;

use super::Fingerprint;

/// The requests that have a case, each with the end of its quarantine in microseconds.
#[derive(Debug, Default)]
pub struct QuarantineView {
    cases: ArcSwap<HashMap<Fingerprint, Option<u64>>>,
}

impl QuarantineView {
    /// Time until the quarantine of a request ends, in microseconds; `None` if it may be sent.
    pub fn left_us(&self, now_us: u64, fingerprint: &Fingerprint) -> Option<u64> {
        let until_us = (*self.cases.load().get(fingerprint)?)?;
        until_us.checked_sub(now_us).filter(|left_us| *left_us > 0)
    }

    /// Whether the request has a case, so that a response to it has to be reported.
    pub fn has_case(&self, fingerprint: &Fingerprint) -> bool {
        self.cases.load().contains_key(fingerprint)
    }

    /// Number of requests in quarantine.
    pub fn quarantined(&self, now_us: u64) -> usize {
        let cases = self.cases.load();
        let until_us = cases.values().flatten();
        until_us.filter(|until_us| **until_us > now_us).count()
    }

    /// Replaces the cases.
    pub(crate) fn publish(&self, cases: HashMap<Fingerprint, Option<u64>>) {
        self.cases.store(cases.into());
    }
}
