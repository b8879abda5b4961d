//! Queues of requests that wait for a target with a free slot.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use policy::instance::Shared;
use policy::limits::FairQueue;
use policy::limits::Refusal;
use policy::routing::ServiceTable;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::Clock;

/// Interval at which non-empty queues are checked: no notification is sent when the back-off of a
/// target that shed load ends.
const POLL_PERIOD: Duration = Duration::from_millis(5);

type Queue = FairQueue<oneshot::Sender<()>>;

/// The queues of an instance, by service.
#[derive(Debug, Default)]
pub struct RequestQueues {
    queues: Mutex<HashMap<Arc<str>, Queue>>,
    changed: Notify,
}

impl RequestQueues {
    /// Enqueues a request; the receiver completes when the request may try for a target.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the queue is full or the deadline is too close.
    pub fn enqueue(
        &self,
        now_us: u64,
        table: &ServiceTable,
        (priority, customer): (Option<u8>, &Arc<str>),
        deadline_us: u64,
    ) -> Result<oneshot::Receiver<()>, Refusal> {
        let (turn, waiting) = oneshot::channel();
        let mut queues = self.queues.lock();
        let queue = queues.entry(table.service.name.clone()).or_default();
        queue.push(
            now_us,
            (priority.unwrap_or(0), customer),
            deadline_us,
            table.service.queue as usize,
            turn,
        )?;
        self.changed.notify_one();
        Ok(waiting)
    }

    /// Removes the requests of a customer whose receivers were dropped.
    pub fn remove_abandoned(&self, service: &str, customer: &Arc<str>) {
        if let Some(queue) = self.queues.lock().get_mut(service) {
            queue.remove(customer, oneshot::Sender::is_closed);
        }
    }

    /// Signals that a target may have a free slot.
    pub fn notify_target_freed(&self) {
        self.changed.notify_one();
    }

    /// Wakes waiting requests as targets become available; runs until the task is aborted.
    /// `last_answers_us` is set when the instance shuts down.
    pub async fn run(
        &self,
        clock: Clock,
        shared: &Shared,
        last_answers_us: watch::Receiver<Option<u64>>,
    ) {
        loop {
            let last_answers_us = *last_answers_us.borrow();
            if self.wake_waiting(clock.now_us(), shared, last_answers_us) {
                let _ = tokio::time::timeout(POLL_PERIOD, self.changed.notified()).await;
            } else {
                self.changed.notified().await;
            }
        }
    }

    /// Wakes the requests that can be sent or refused now. Returns whether requests are still
    /// waiting.
    fn wake_waiting(&self, now_us: u64, shared: &Shared, last_answers_us: Option<u64>) -> bool {
        let mut queues = self.queues.lock();
        if queues.is_empty() {
            return false;
        }
        let table = shared.table();
        queues.retain(|name, queue| {
            let waiting = queue.len();
            let woken = table.services.get(name).map_or(1, |service| {
                service.decidable(now_us, waiting, last_answers_us)
            });
            for _ in 0..woken {
                wake_next(now_us, queue);
            }
            !queue.is_empty()
        });
        !queues.is_empty()
    }
}

fn wake_next(now_us: u64, queue: &mut Queue) {
    while let Some(turn) = queue.pop(now_us) {
        if turn.send(()).is_ok() {
            return;
        }
    }
}
