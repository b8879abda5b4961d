//! What ends the waits of a request before the awaited result is there.
//!
//! Wherever a request waits, for a target, a peer, the platform or the rest of its own body, the
//! wait ends at the request's deadline and at the instance's last answers. The future of a request
//! whose caller disconnects is dropped, which ends its wait too.

use std::future::Future;
use std::pin::pin;

use policy::exchange::Event;
use tokio::sync::watch;

use super::ProxyState;
use crate::Clock;

/// The limits of a request's waits.
#[derive(Clone)]
pub(super) struct WaitLimits {
    clock: Clock,
    deadline_us: u64,
    last_answers_us: watch::Receiver<Option<u64>>,
    reserve_us: u64,
}

impl WaitLimits {
    /// Creates the limits of a request with a deadline.
    pub(super) fn new(proxy_state: &ProxyState, deadline_us: u64) -> Self {
        Self {
            clock: proxy_state.clock,
            deadline_us,
            last_answers_us: proxy_state.last_answers_us.subscribe(),
            reserve_us: 0,
        }
    }

    /// Returns limits that end waits earlier than the last answers by a time, in microseconds.
    pub(super) fn reserving(mut self, reserve_us: u64) -> Self {
        self.reserve_us = reserve_us;
        self
    }

    /// Time of the last answers, in microseconds; `None` while the instance does not shut down.
    pub(super) fn last_answers_us(&self) -> Option<u64> {
        *self.last_answers_us.borrow()
    }

    /// Waits for a result.
    ///
    /// # Errors
    ///
    /// Returns the event that has ended the wait: the deadline or the last answers.
    pub(super) async fn wait<T>(&mut self, result: impl Future<Output = T>) -> Result<T, Event> {
        let mut result = pin!(result);
        loop {
            match self.wait_or_shutdown(&mut result).await {
                Err(Event::ShutdownBegun) => {}
                ended => return ended,
            }
        }
    }

    /// Waits for a result, and at most until a shutdown begins.
    ///
    /// # Errors
    ///
    /// Returns the event that has ended the wait: the deadline, the last answers, or the begin of
    /// the shutdown, once.
    pub(super) async fn wait_or_shutdown<T>(
        &mut self,
        result: impl Future<Output = T>,
    ) -> Result<T, Event> {
        let (end_us, event) = self.end();
        tokio::select! {
            biased;
            value = result => Ok(value),
            () = begin_of_shutdown(&mut self.last_answers_us) => Err(Event::ShutdownBegun),
            () = tokio::time::sleep_until(self.clock.instant(end_us)) => Err(event),
        }
    }

    fn end(&self) -> (u64, Event) {
        let last_wait_us = self
            .last_answers_us()
            .map(|last_answers_us| last_answers_us.saturating_sub(self.reserve_us));
        match last_wait_us {
            Some(last_wait_us) if last_wait_us < self.deadline_us => {
                (last_wait_us, Event::LastAnswers)
            }
            _ => (self.deadline_us, Event::Deadline),
        }
    }
}

async fn begin_of_shutdown(last_answers_us: &mut watch::Receiver<Option<u64>>) {
    let is_closed = last_answers_us.changed().await.is_err();
    if is_closed {
        std::future::pending().await
    }
}
