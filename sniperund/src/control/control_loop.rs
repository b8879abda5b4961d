//! The loop: one input after the other.

use std::sync::Arc;
use std::time::Duration;

use border::Platform;
use peers::Sender;
use policy::Input;
use policy::Instance;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use super::ControlHandle;
use super::ControlMessage;
use super::Permits;
use super::Rereads;
use super::Status;
use super::driver::Driver;
use crate::Clock;
use crate::metrics::Metrics;
use crate::targets::Prober;

/// What the loop works with.
pub struct ControlParts {
    /// The clock.
    pub clock: Clock,
    /// Sends messages to peers.
    pub sender: Sender,
    /// The platform's key-value service, where notes come from it.
    pub platform: Option<Arc<dyn Platform>>,
    /// Asks for another reading of the registry.
    pub rereads: Arc<Rereads>,
    /// Probes targets.
    pub prober: Prober,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Questions of requests to crowded services.
    pub permits: Arc<Permits>,
}

/// The control loop.
pub struct Control {
    instance: Instance,
    inputs: mpsc::Receiver<ControlMessage>,
    clock: Clock,
    driver: Driver,
}

impl Control {
    /// A loop around an instance, and the way to it.
    pub fn new(instance: Instance, parts: ControlParts) -> (Self, ControlHandle) {
        let (handle, inputs) = ControlHandle::new(instance.shared().clone());
        let driver = Driver {
            id: instance.membership().own().id.clone(),
            handle: handle.clone(),
            sender: parts.sender,
            platform: parts.platform,
            rereads: parts.rereads,
            prober: parts.prober,
            metrics: parts.metrics,
            permits: parts.permits,
        };
        let control = Self {
            instance,
            inputs,
            clock: parts.clock,
            driver,
        };
        (control, handle)
    }

    /// Runs until the task is ended.
    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(Duration::from_micros(self.instance.tick_us()));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.handle(Input::Tick),
                message = self.inputs.recv() => match message {
                    Some(ControlMessage::Input(input)) => self.handle(input),
                    Some(ControlMessage::Status(answer)) => {
                        let _ = answer.send(Status::of(&self.instance));
                    }
                    None => return,
                },
            }
        }
    }

    fn handle(&mut self, input: Input) {
        for action in self.instance.handle(self.clock.now_us(), input) {
            self.driver.act(action);
        }
    }
}
