//! Which instances a request is handed to, one after the other.
//!
//! A request goes to the next instance only if it has not run, or may run again. Once an instance
//! may have taken it, no refusal of a later one is passed on: it would say that the request has not
//! run.

use super::Event;

/// What became of a request at another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HelperOutcome {
    /// It has passed on the response of a target, or does not say that the request has not run.
    Answered,
    /// It has refused the request, which has not run there.
    Refused,
    /// It reaches no target either, or shuts down.
    ReachesNoTarget,
    /// It could not be reached.
    NotSent,
    /// It may have taken the request, and did not respond.
    Unknown,
}

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandOverStep {
    /// Pass its response on.
    Forward,
    /// Ask the next instance.
    AskNext,
    /// Ask no other.
    End(Event),
}

/// Progress of a request through the instances it is handed to.
#[derive(Clone, Copy, Debug)]
pub struct HandOver {
    repeatable: bool,
    may_have_run: bool,
}

impl HandOver {
    /// Creates the progress of a request that was handed to no instance yet.
    pub fn new(repeatable: bool) -> Self {
        Self {
            repeatable,
            may_have_run: false,
        }
    }

    /// Forbids to ask a further instance after one may have taken the request.
    pub fn forbid_repeats(&mut self) {
        self.repeatable = false;
    }

    /// Decides what follows the outcome at an instance; `has_next` if there is another one to ask.
    pub fn record(&mut self, outcome: HelperOutcome, has_next: bool) -> HandOverStep {
        let is_last_refusal = match outcome {
            HelperOutcome::Answered => return HandOverStep::Forward,
            HelperOutcome::Refused => true,
            HelperOutcome::ReachesNoTarget => !has_next,
            HelperOutcome::NotSent => false,
            HelperOutcome::Unknown => {
                self.may_have_run = true;
                if !self.repeatable {
                    return HandOverStep::End(Event::HandOverLost);
                }
                false
            }
        };
        match (self.may_have_run, is_last_refusal, has_next) {
            (false, true, _) => HandOverStep::Forward,
            (_, _, true) => HandOverStep::AskNext,
            _ => HandOverStep::End(self.end()),
        }
    }

    /// The event after the last instance.
    pub fn end(&self) -> Event {
        match self.may_have_run {
            true => Event::HandOverLost,
            false => Event::HandOverRefused,
        }
    }
}
