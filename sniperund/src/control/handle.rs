//! Handle for sending inputs to the control loop and reading the state that it publishes.

use std::sync::Arc;

use policy::Input;
use policy::instance::Shared;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::Status;

/// Maximum number of inputs waiting for the control loop.
const INPUT_QUEUE_CAPACITY: usize = 65_536;

/// A message to the control loop.
#[derive(Debug)]
pub enum ControlMessage {
    /// Input for the policy state machine.
    Input(Input),
    /// Request for a status report, with the channel for the reply.
    Status(oneshot::Sender<Status>),
}

/// Handle to the control loop, and to the state that it shares with the request path.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    queue: mpsc::Sender<ControlMessage>,
    shared: Arc<Shared>,
}

impl ControlHandle {
    /// Creates a handle and the loop's receiver.
    pub(super) fn new(shared: Arc<Shared>) -> (Self, mpsc::Receiver<ControlMessage>) {
        let (queue, inputs) = mpsc::channel(INPUT_QUEUE_CAPACITY);
        (Self { queue, shared }, inputs)
    }

    /// Returns the state that the control loop publishes to the request path.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Sends an input to the loop without blocking; drops it with a warning if the queue is full.
    pub fn send(&self, input: Input) {
        if self.queue.try_send(ControlMessage::Input(input)).is_err() {
            log::warn!("event=control-input-dropped");
        }
    }

    /// Returns a status report, or `None` if the loop has ended.
    pub async fn status(&self) -> Option<Status> {
        let (reply, status) = oneshot::channel();
        self.queue.send(ControlMessage::Status(reply)).await.ok()?;
        status.await.ok()
    }
}
