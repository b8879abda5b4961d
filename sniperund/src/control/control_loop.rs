//! Control loop: passes inputs to the policy state machine one at a time and executes the actions
//! that it returns.
//!
//! A single task owns the [`Instance`], so its state needs no locks.

use std::sync::Arc;
use std::time::Duration;

use border::HeaderProtocol;
use border::Platform;
use peers::Sender;
use policy::Input;
use policy::Instance;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use super::ControlHandle;
use super::ControlMessage;
use super::PendingPermits;
use super::PendingRetryLoans;
use super::RereadSignals;
use super::Status;
use super::driver::ActionDriver;
use crate::Clock;
use crate::metrics::Metrics;
use crate::targets::Prober;

/// Dependencies of the control loop.
pub struct ControlLoopDependencies {
    /// Clock whose time is passed to the policy with each input.
    pub clock: Clock,
    /// Sends messages to peers.
    pub sender: Sender,
    /// The platform's key-value service; `None` if the configuration comes from a registry.
    pub platform: Option<Arc<dyn Platform>>,
    /// Requests rereads of the registry.
    pub reread_signals: Arc<RereadSignals>,
    /// Runs health probes of targets.
    pub prober: Prober,
    /// Reads what targets say about themselves in responses to status checks.
    pub header_protocol: Arc<dyn HeaderProtocol>,
    /// Metrics that the execution of actions updates.
    pub metrics: Arc<Metrics>,
    /// Pending permit requests for targets of overloaded services.
    pub permits: Arc<PendingPermits>,
    /// Requests that wait for a retry borrowed from a peer.
    pub retry_loans: Arc<PendingRetryLoans>,
    /// Wakes requests that wait for tokens of their customers' quotas.
    pub quota_answers: Arc<Notify>,
}

/// Task that owns the policy state of the instance.
pub struct ControlLoop {
    instance: Instance,
    inputs: mpsc::Receiver<ControlMessage>,
    clock: Clock,
    driver: ActionDriver,
}

impl ControlLoop {
    /// Creates the loop and the handle that sends inputs to it.
    pub fn new(instance: Instance, parts: ControlLoopDependencies) -> (Self, ControlHandle) {
        let (handle, inputs) = ControlHandle::new(instance.shared().clone());
        let driver = ActionDriver {
            id: instance.membership().own().id.clone(),
            handle: handle.clone(),
            sender: parts.sender,
            platform: parts.platform,
            reread_signals: parts.reread_signals,
            prober: parts.prober,
            header_protocol: parts.header_protocol,
            metrics: parts.metrics,
            permits: parts.permits,
            retry_loans: parts.retry_loans,
            quota_answers: parts.quota_answers,
        };
        let control = Self {
            instance,
            inputs,
            clock: parts.clock,
            driver,
        };
        (control, handle)
    }

    /// Runs until the task is aborted.
    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(Duration::from_micros(self.instance.tick_us()));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.handle(Input::Tick),
                message = self.inputs.recv() => match message {
                    Some(ControlMessage::Input(input)) => self.handle(input),
                    Some(ControlMessage::Status(reply)) => {
                        let _ = reply.send(Status::of(&self.instance));
                    }
                    None => return,
                },
            }
        }
    }

    fn handle(&mut self, input: Input) {
        for action in self.instance.handle(self.clock.now_us(), input) {
            self.driver.execute(action);
        }
    }
}
