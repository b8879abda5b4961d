//! When the registry last answered, whoever asked it.
//!
//! An instance that gets no answer cannot tell an outage of the registry from one of
//! its own. Entries lapse only while the registry answers nobody, so instances tell
//! each other how long ago it last answered one of them.

/// Time without an answer to anyone after which entries may have lapsed, in
/// microseconds: targets write every 1.5 s and lapse after 4.5 s of silence, so that
/// none lapses sooner than 3 s into an outage.
const OUTAGE_US: u64 = 2_000_000;
/// Time after an outage in which lapsed entries come back, in microseconds: the two
/// seconds that the users' letter gives, and a heartbeat's jitter.
const RETURN_US: u64 = 2_300_000;

/// What all instances together know of the registry's answers.
#[derive(Debug, Default)]
pub(super) struct Contact {
    answered_us: Option<u64>,
    lapses_until_us: u64,
}

impl Contact {
    /// Takes in that the registry answered some instance.
    pub(super) fn answered(&mut self, at_us: u64) {
        let before_us = self.answered_us.unwrap_or(at_us);
        if at_us.saturating_sub(before_us) > OUTAGE_US {
            self.lapses_until_us = at_us + RETURN_US;
        }
        self.answered_us = Some(at_us.max(before_us));
    }

    /// Time since the last answer that is known of, in microseconds.
    pub(super) fn age_us(&self, now_us: u64) -> Option<u64> {
        let answered_us = self.answered_us?;
        Some(now_us.saturating_sub(answered_us))
    }

    /// Until when entries that went come back if they lapsed; none without an outage.
    pub(super) fn lapses_until_us(&self, now_us: u64) -> Option<u64> {
        (now_us < self.lapses_until_us).then_some(self.lapses_until_us)
    }
}
