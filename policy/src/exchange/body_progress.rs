//! When the body of a response that is being forwarded is broken off.
//!
//! A request ends with the last byte of its response. The time limit of its route ends a response
//! that is still under way, unless it is nearly whole. On a route without a time limit, a response
//! of a declared length may take as long as it makes progress, as downloads do; one without a
//! length could be endless, and ends at the caller's own time limit.

/// Time for which a response that is nearly whole at the time limit is forwarded further, in
/// microseconds: the users allow half a second.
const NEARLY_WHOLE_TIME_US: u64 = 400_000;
/// Time without progress after which a response is broken off, in microseconds.
pub const STALL_TIMEOUT_US: u64 = 60_000_000;
/// Maximum time between checks, in microseconds. Timers do not count the time for which a machine
/// was suspended.
const CHECK_PERIOD_US: u64 = 500_000;

/// The time limits of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BodyLimits {
    /// Time limit of the route, in microseconds; `None` if it has none.
    pub route_deadline_us: Option<u64>,
    /// Time after which the caller has no use for the response, in microseconds; `None` if it has
    /// not stated any.
    pub caller_deadline_us: Option<u64>,
}

/// Why a response is broken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum BreakOffReason {
    /// The time limit has passed and the target has not finished.
    #[display("time-limit")]
    TimeLimit,
    /// The target sends nothing.
    #[display("target-silent")]
    TargetSilent,
    /// The caller reads nothing, or too slowly.
    #[display("caller-slow")]
    CallerSlow,
}

/// What follows a check of the progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyStep {
    /// Check again at this time, in microseconds.
    CheckAt(u64),
    /// Break the response off.
    BreakOff(BreakOffReason),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    Target,
    Caller,
}

/// Progress of a response's body.
#[derive(Clone, Copy, Debug)]
pub struct BodyProgress {
    limits: BodyLimits,
    /// Declared length in bytes.
    length: Option<u64>,
    began_us: u64,
    received_bytes: u64,
    /// The side whose turn it is.
    waits_for: Side,
    waits_since_us: u64,
    /// Time for which the caller was waited for before, in microseconds.
    caller_time_us: u64,
}

impl BodyProgress {
    /// Creates the progress of a body of which nothing was received.
    pub fn new(now_us: u64, limits: BodyLimits, length: Option<u64>) -> Self {
        Self {
            limits,
            length,
            began_us: now_us,
            received_bytes: 0,
            waits_for: Side::Target,
            waits_since_us: now_us,
            caller_time_us: 0,
        }
    }

    /// Number of bytes that were received.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// Time since the body began, in microseconds.
    pub fn elapsed_us(&self, now_us: u64) -> u64 {
        now_us.saturating_sub(self.began_us)
    }

    /// Records that the caller can take more bytes.
    pub fn wait_for_target(&mut self, now_us: u64) {
        if self.waits_for == Side::Caller {
            self.caller_time_us += now_us.saturating_sub(self.waits_since_us);
            self.waits_for = Side::Target;
            self.waits_since_us = now_us;
        }
    }

    /// Records bytes of the target, which the caller has to take next.
    pub fn receive(&mut self, now_us: u64, bytes: usize) {
        self.received_bytes += bytes as u64;
        self.waits_for = Side::Caller;
        self.waits_since_us = now_us;
    }

    /// Records that all bytes were received, and only the caller has to take the rest.
    pub fn finish(&mut self, now_us: u64) {
        self.receive(now_us, 0);
        self.limits = BodyLimits::default();
    }

    /// Decides whether the response is forwarded further.
    pub fn check(&self, now_us: u64) -> BodyStep {
        let limit_us = self.limit_us(now_us);
        if limit_us.is_some_and(|limit_us| limit_us <= now_us) {
            return BodyStep::BreakOff(match self.is_caller_slow(now_us) {
                true => BreakOffReason::CallerSlow,
                false => BreakOffReason::TimeLimit,
            });
        }
        let stalled_us = self.waits_since_us + STALL_TIMEOUT_US;
        if stalled_us <= now_us {
            return BodyStep::BreakOff(match self.waits_for {
                Side::Target => BreakOffReason::TargetSilent,
                Side::Caller => BreakOffReason::CallerSlow,
            });
        }
        let next_us = stalled_us.min(now_us + CHECK_PERIOD_US);
        BodyStep::CheckAt(limit_us.map_or(next_us, |limit_us| limit_us.min(next_us)))
    }

    /// Time at which the response is broken off, as far as it is known now.
    fn limit_us(&self, now_us: u64) -> Option<u64> {
        let Some(deadline_us) = self.limits.route_deadline_us else {
            let is_bounded = self.length.is_some();
            return self.limits.caller_deadline_us.filter(|_| !is_bounded);
        };
        let extended_us = deadline_us + NEARLY_WHOLE_TIME_US;
        let is_nearly_whole = now_us >= deadline_us
            && self
                .expected_end_us(now_us)
                .is_some_and(|end_us| end_us <= extended_us);
        Some(match is_nearly_whole {
            true => extended_us,
            false => deadline_us,
        })
    }

    /// Time at which a response of a declared length ends at its speed so far.
    fn expected_end_us(&self, now_us: u64) -> Option<u64> {
        let left_bytes = self.length?.saturating_sub(self.received_bytes);
        let elapsed_us = self.elapsed_us(now_us).max(1);
        let left_us = u128::from(left_bytes) * u128::from(elapsed_us)
            / u128::from(self.received_bytes.max(1));
        u64::try_from(left_us).ok()?.checked_add(now_us)
    }

    /// Whether the caller was waited for more than half of the time.
    fn is_caller_slow(&self, now_us: u64) -> bool {
        let current_us = match self.waits_for {
            Side::Caller => now_us.saturating_sub(self.waits_since_us),
            Side::Target => 0,
        };
        let elapsed_us = self.elapsed_us(now_us);
        (self.caller_time_us + current_us) * 2 > elapsed_us
    }
}
