//! The time at which the registry last answered any instance.
//!
//! An instance that gets no answer cannot distinguish an outage of the registry from a
//! fault of its own network. Entries of running targets expire only while the registry
//! answers no instance, so instances report to each other how long ago it last answered
//! one of them.

/// Time without an answer to any instance after which entries may have expired, in
/// microseconds. Targets renew their entries every 1.5 s and these expire after 4.5 s
/// without a renewal, so no entry expires within the first 3 s of an outage.
const OUTAGE_THRESHOLD_US: u64 = 2_000_000;
/// Time after an outage within which expired entries reappear, in microseconds: the 2 s
/// that the users specify, plus the jitter with which targets renew their entries.
const REAPPEARANCE_GRACE_US: u64 = 2_300_000;

/// When the registry last answered any instance, as far as known here.
#[derive(Debug, Default)]
pub(super) struct Contact {
    answered_us: Option<u64>,
    grace_until_us: u64,
}

impl Contact {
    /// Records that the registry answered this or another instance at `at_us`.
    pub(super) fn record_answer(&mut self, at_us: u64) {
        let before_us = self.answered_us.unwrap_or(at_us);
        if at_us.saturating_sub(before_us) > OUTAGE_THRESHOLD_US {
            self.grace_until_us = at_us + REAPPEARANCE_GRACE_US;
        }
        self.answered_us = Some(at_us.max(before_us));
    }

    /// Time since the last known answer, in microseconds; `None` before the first.
    pub(super) fn age_us(&self, now_us: u64) -> Option<u64> {
        let answered_us = self.answered_us?;
        Some(now_us.saturating_sub(answered_us))
    }

    /// End of the period in which entries that expired in an outage may reappear; `None`
    /// unless an outage has just ended.
    pub(super) fn grace_until_us(&self, now_us: u64) -> Option<u64> {
        (now_us < self.grace_until_us).then_some(self.grace_until_us)
    }
}
