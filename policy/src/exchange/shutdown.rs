//! Requests of an instance that shuts down.
//!
//! At the time of the last answers, shortly before the instance exits, each request that still
//! waits is answered. A request that no target can have answered by then is refused as soon as
//! that is known, so that its caller turns to another instance early.

use model::ResultCode;
use rand::Rng;

use super::Exchange;
use super::Step;
use super::exchange::State;

impl Exchange {
    /// Sets the time of the last answers in microseconds; `None` while the instance does not shut
    /// down.
    pub fn set_last_answers_us(&mut self, last_answers_us: Option<u64>) {
        self.last_answers_us = last_answers_us;
    }

    /// Time within which most targets respond, in microseconds.
    pub fn response_time_us(&self) -> u64 {
        self.table.response_time_us(self.request.objective_us)
    }

    /// Whether no target that is chosen from now on can respond before the last answers.
    pub(super) fn is_too_late_to_send(&self, now_us: u64) -> bool {
        self.last_answers_us.is_some_and(|last_answers_us| {
            let objective_us = self.request.objective_us;
            !self
                .table
                .can_respond_by(now_us, last_answers_us, objective_us)
        })
    }

    pub(super) fn handle_shutdown(&mut self, now_us: u64, rng: &mut impl Rng) -> Step {
        match self.state {
            State::Queued if self.is_too_late_to_send(now_us) => {
                self.give_up(now_us, ResultCode::Draining, rng)
            }
            _ => Step::Continue,
        }
    }

    pub(super) fn handle_last_answers(&mut self, now_us: u64, rng: &mut impl Rng) -> Step {
        if self.is_at_target() {
            self.may_have_run = true;
            return self.give_up(now_us, ResultCode::TargetTimeout, rng);
        }
        self.give_up(now_us, ResultCode::Draining, rng)
    }
}
