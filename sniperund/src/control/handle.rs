//! Telling the control loop what happened.

use std::sync::Arc;

use policy::Input;
use policy::instance::Shared;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::Status;

/// Inputs that wait for the control loop at most.
const QUEUE: usize = 65_536;

/// A message to the control loop.
#[derive(Debug)]
pub enum ControlMessage {
    /// Something happened.
    Input(Input),
    /// Somebody wants to know how things stand.
    Status(oneshot::Sender<Status>),
}

/// The way to the control loop, and what it shares.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    queue: mpsc::Sender<ControlMessage>,
    shared: Arc<Shared>,
}

impl ControlHandle {
    /// A handle and the receiver for the loop.
    pub(super) fn new(shared: Arc<Shared>) -> (Self, mpsc::Receiver<ControlMessage>) {
        let (queue, inputs) = mpsc::channel(QUEUE);
        (Self { queue, shared }, inputs)
    }

    /// What the request path reads.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Tells the loop what happened; drops it if the loop does not keep up.
    pub fn tell(&self, input: Input) {
        if self.queue.try_send(ControlMessage::Input(input)).is_err() {
            log::warn!("event=control-input-dropped");
        }
    }

    /// How things stand; none if the loop has ended.
    pub async fn status(&self) -> Option<Status> {
        let (answer, status) = oneshot::channel();
        self.queue.send(ControlMessage::Status(answer)).await.ok()?;
        status.await.ok()
    }
}
