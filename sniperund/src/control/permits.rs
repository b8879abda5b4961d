//! Questions of requests to crowded services, on their way to the control loop and back.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use policy::Input;
use policy::instance::PermitAnswer;
use policy::instance::PermitRequest;
use tokio::sync::oneshot;

use super::ControlHandle;

/// The questions that wait for an answer.
#[derive(Debug, Default)]
pub struct Permits {
    next: AtomicU64,
    waiting: Mutex<HashMap<u64, oneshot::Sender<PermitAnswer>>>,
}

impl Permits {
    /// Asks whether a request may be sent to a target.
    pub fn ask(
        self: &Arc<Self>,
        control: &ControlHandle,
        target: Arc<str>,
        left_us: u64,
    ) -> (oneshot::Receiver<PermitAnswer>, Permit) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, answer) = oneshot::channel();
        self.waiting.lock().insert(number, sender);
        control.tell(Input::RequestPermit(PermitRequest {
            number,
            target,
            left_us,
        }));
        let permit = Permit {
            number,
            is_timed_out: false,
            permits: self.clone(),
            control: control.clone(),
        };
        (answer, permit)
    }

    /// Passes an answer on to the request that waits for it, if it still does.
    pub(super) fn answer(&self, number: u64, answer: PermitAnswer) {
        if let Some(waiting) = self.waiting.lock().remove(&number) {
            // A request that no longer waits gives its permit back by itself.
            let _ = waiting.send(answer);
        }
    }
}

/// A question or a permit, given back when dropped.
#[derive(Debug)]
pub struct Permit {
    number: u64,
    is_timed_out: bool,
    permits: Arc<Permits>,
    control: ControlHandle,
}

impl Permit {
    /// Gives the question up: no answer came in time.
    pub fn expire(mut self) {
        self.is_timed_out = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.permits.waiting.lock().remove(&self.number);
        self.control.tell(Input::ReleasePermit {
            number: self.number,
            is_timed_out: self.is_timed_out,
        });
    }
}
