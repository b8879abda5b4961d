//! What the silence of an attempt says about its target, and when another target is tried.
//!
//! A hanging target swallows most requests without an answer, so nothing but time tells it from
//! a healthy one. The longer an attempt waits beyond the time that the service's responses take,
//! the likelier its request is lost. A repeatable request goes to a further target once its
//! attempts are probably lost, or earlier if a response could otherwise miss the objective.

use crate::evidence::HANG_SHARE;
use crate::evidence::LatencyProfile;
use crate::evidence::MAX_OVERDUE_REPORTS;
use crate::evidence::overdue_share;

/// Period in which a waiting repeatable request is checked for a hedge, in microseconds.
pub const HEDGE_CHECK_PERIOD_US: u64 = 80_000;
/// Probability that all attempts are lost from which another target is tried.
const HEDGE_LOSS_PROBABILITY: f64 = 0.5;
/// The same when a later hedge would probably miss the latency objective.
const URGENT_LOSS_PROBABILITY: f64 = 0.1;
/// Share of the responses that meet the objective if a hedge is sent at the last moment.
const TIMELY_HEDGE_SHARE: f64 = 0.8;

/// Time without a response, in microseconds, after which an attempt is reported as overdue for
/// the time after `reports` earlier ones; `None` if it is not reported again.
pub fn overdue_after_us(profile: &LatencyProfile, reports: u8) -> Option<u64> {
    (reports < MAX_OVERDUE_REPORTS).then(|| profile.time_exceeded_by(overdue_share(reports)))
}

/// An attempt that waits for its response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingAttempt {
    /// Time since the request was sent, in microseconds.
    pub elapsed_us: u64,
    /// Failure probability of the target.
    pub failure_probability: f64,
}

impl WaitingAttempt {
    /// Probability that the request is lost, given its silence.
    pub fn loss_probability(&self, profile: &LatencyProfile) -> f64 {
        let lost = self.failure_probability * HANG_SHARE;
        let slow = (1.0 - lost) * profile.survival(self.elapsed_us);
        lost / (lost + slow).max(f64::MIN_POSITIVE)
    }
}

/// Whether a repeatable request should be sent to another target while its attempts wait.
/// `objective_left_us` is the time until its latency objective, in microseconds.
pub fn is_hedge_due(
    profile: &LatencyProfile,
    attempts: &[WaitingAttempt],
    objective_left_us: Option<u64>,
) -> bool {
    let loss_probability: f64 = attempts
        .iter()
        .map(|attempt| attempt.loss_probability(profile))
        .product();
    let is_urgent = objective_left_us
        .is_some_and(|left_us| left_us <= profile.time_exceeded_by(1.0 - TIMELY_HEDGE_SHARE));
    loss_probability
        >= if is_urgent {
            URGENT_LOSS_PROBABILITY
        } else {
            HEDGE_LOSS_PROBABILITY
        }
}
