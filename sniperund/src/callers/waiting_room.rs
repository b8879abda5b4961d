//! Requests that wait for a place at a target.

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

use crate::Clock;

/// Paused targets take work again without notice, so the queues are looked at regularly.
const LOOK_PERIOD: Duration = Duration::from_millis(5);

type Queue = FairQueue<oneshot::Sender<()>>;

/// The queues of an instance, by service.
#[derive(Debug, Default)]
pub struct WaitingRoom {
    queues: Mutex<HashMap<Arc<str>, Queue>>,
    freed: Notify,
}

impl WaitingRoom {
    /// Takes a request in; the receiver hears when its turn has come.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the queue is full or the deadline too near.
    pub fn enter(
        &self,
        now_us: u64,
        table: &ServiceTable,
        customer: &Arc<str>,
        deadline_us: u64,
    ) -> Result<oneshot::Receiver<()>, Refusal> {
        let (turn, waiting) = oneshot::channel();
        let mut queues = self.queues.lock();
        let queue = queues.entry(table.service.name.clone()).or_default();
        queue.push(
            now_us,
            customer,
            deadline_us,
            table.service.queue as usize,
            turn,
        )?;
        self.freed.notify_one();
        Ok(waiting)
    }

    /// Takes out the requests of a customer that no longer wait.
    pub fn leave(&self, service: &str, customer: &Arc<str>) {
        if let Some(queue) = self.queues.lock().get_mut(service) {
            queue.remove(customer, oneshot::Sender::is_closed);
        }
    }

    /// Says that a place at a target is free.
    pub fn freed(&self) {
        self.freed.notify_one();
    }

    /// Calls waiting requests as places become free, until the task is ended.
    pub async fn run(&self, clock: Clock, shared: &Shared) {
        loop {
            if self.call_next(clock.now_us(), shared) {
                let _ = tokio::time::timeout(LOOK_PERIOD, self.freed.notified()).await;
            } else {
                self.freed.notified().await;
            }
        }
    }

    /// Calls those whose turn has come; whether others still wait.
    fn call_next(&self, now_us: u64, shared: &Shared) -> bool {
        let mut queues = self.queues.lock();
        if queues.is_empty() {
            return false;
        }
        let table = shared.table();
        queues.retain(|name, queue| {
            let places = table
                .services
                .get(name)
                .map_or(1, |service| free_places(now_us, service));
            for _ in 0..places {
                call_one(now_us, queue);
            }
            !queue.is_empty()
        });
        !queues.is_empty()
    }
}

fn free_places(now_us: u64, table: &ServiceTable) -> usize {
    let free = table
        .candidates
        .iter()
        .filter(|candidate| candidate.load.has_room(now_us));
    free.count()
}

fn call_one(now_us: u64, queue: &mut Queue) {
    while let Some(turn) = queue.pop(now_us) {
        if turn.send(()).is_ok() {
            return;
        }
    }
}
