//! Permits to send requests to targets of overloaded services.

use std::sync::Arc;

use policy::Input;
use policy::instance::PermitAnswer;
use policy::instance::PermitRequest;
use policy::limits::PermitRank;
use tokio::sync::oneshot;

use super::ControlHandle;
use super::PendingReplies;

/// Permit requests that wait for an answer.
#[derive(Debug, Default)]
pub struct PendingPermits {
    replies: PendingReplies<PermitAnswer>,
}

impl PendingPermits {
    /// Requests a permit to send a request to a target; `left_us` is the time until the request's
    /// deadline, in microseconds, and `rank` is `None` if the requests of the service do not differ
    /// in priority. Returns the channel for the answer and the guard that releases
    /// the permit.
    pub fn request(
        self: &Arc<Self>,
        control: &ControlHandle,
        target: Arc<str>,
        left_us: u64,
        rank: Option<PermitRank>,
    ) -> (oneshot::Receiver<PermitAnswer>, PermitGuard) {
        let (number, answer) = self.replies.register();
        control.send(Input::RequestPermit(PermitRequest {
            number,
            target,
            left_us,
            rank,
        }));
        let permit = PermitGuard {
            number,
            is_timed_out: false,
            permits: self.clone(),
            control: control.clone(),
        };
        (answer, permit)
    }

    /// Delivers an answer to the request that waits for it, if it still does.
    pub(super) fn answer(&self, number: u64, answer: PermitAnswer) {
        self.replies.answer(number, answer);
    }
}

/// A requested or granted permit, released on drop.
#[derive(Debug)]
pub struct PermitGuard {
    number: u64,
    is_timed_out: bool,
    permits: Arc<PendingPermits>,
    control: ControlHandle,
}

impl PermitGuard {
    /// Releases the permit and reports that no answer arrived in time.
    pub fn expire(mut self) {
        self.is_timed_out = true;
    }
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        self.permits.replies.forget(self.number);
        self.control.send(Input::ReleasePermit {
            number: self.number,
            is_timed_out: self.is_timed_out,
        });
    }
}
