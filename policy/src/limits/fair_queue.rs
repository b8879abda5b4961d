//! Queue of requests that wait for a target, served round-robin by customer.
//!
//! A request that would probably not be served before its deadline is refused at once.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use model::ResultCode;

/// Interval between departures that is assumed until one is measured.
const DEFAULT_DEPARTURE_INTERVAL_US: u64 = 25_000;
/// A request may wait for at most its remaining time divided by this; the rest is for
/// processing.
pub(crate) const MAX_WAIT_DIVISOR: u64 = 8;
const MICROS_PER_MILLI: u64 = 1_000;

/// Why a request is refused, and when to retry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Result code of the refusal.
    pub code: ResultCode,
    /// Time after which a retry is useful, in milliseconds.
    pub retry_after_ms: u64,
}

/// Queue of one service's requests in one instance.
#[derive(Debug)]
pub struct FairQueue<T> {
    by_customer: HashMap<Arc<str>, VecDeque<(u64, T)>>,
    round_robin: VecDeque<Arc<str>>,
    len: usize,
    /// Moving average of the time between departures while the queue is not empty; 0 until
    /// measured.
    departure_interval_us: u64,
    last_pop_us: u64,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            by_customer: HashMap::new(),
            round_robin: VecDeque::new(),
            len: 0,
            departure_interval_us: 0,
            last_pop_us: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Enqueues a request, or refuses it if it would probably not be served in time.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the queue is full or the deadline is too near.
    pub fn push(
        &mut self,
        now_us: u64,
        customer: &Arc<str>,
        deadline_us: u64,
        limit: usize,
        item: T,
    ) -> Result<(), Refusal> {
        let wait_us = self.expected_wait_us();
        if self.len >= limit {
            return Err(refuse(ResultCode::QueueFull, wait_us));
        }
        if wait_us > deadline_us.saturating_sub(now_us) / MAX_WAIT_DIVISOR {
            return Err(refuse(ResultCode::DeadlineTooNear, wait_us));
        }
        let waiting = self.by_customer.entry(customer.clone()).or_default();
        if waiting.is_empty() {
            self.round_robin.push_back(customer.clone());
        }
        waiting.push_back((deadline_us, item));
        self.len += 1;
        Ok(())
    }

    /// Dequeues the next request, round-robin by customer.
    pub fn pop(&mut self, now_us: u64) -> Option<T> {
        let customer = self.round_robin.pop_front()?;
        let waiting = self.by_customer.get_mut(&customer)?;
        let (_, item) = waiting.pop_front()?;
        if waiting.is_empty() {
            self.by_customer.remove(&customer);
        } else {
            self.round_robin.push_back(customer);
        }
        self.len -= 1;
        self.update_departure_interval(now_us);
        Some(item)
    }

    /// Removes a customer's requests that match, such as one whose caller has disconnected.
    pub fn remove(&mut self, customer: &Arc<str>, mut matches: impl FnMut(&T) -> bool) {
        let Some(waiting) = self.by_customer.get_mut(customer) else {
            return;
        };
        let before = waiting.len();
        waiting.retain(|(_, item)| !matches(item));
        self.len -= before - waiting.len();
        if waiting.is_empty() {
            self.by_customer.remove(customer);
            self.round_robin.retain(|other| other != customer);
        }
    }

    /// Time that a request enqueued now would wait, in microseconds.
    pub fn expected_wait_us(&self) -> u64 {
        let interval_us = if self.departure_interval_us == 0 {
            DEFAULT_DEPARTURE_INTERVAL_US
        } else {
            self.departure_interval_us
        };
        interval_us * (self.len as u64 + 1)
    }

    fn update_departure_interval(&mut self, now_us: u64) {
        let gap_us = now_us.saturating_sub(self.last_pop_us).min(1_000_000);
        self.last_pop_us = now_us;
        if self.len > 0 {
            self.departure_interval_us = if self.departure_interval_us == 0 {
                gap_us
            } else {
                (self.departure_interval_us * 7 + gap_us) / 8
            };
        }
    }
}

fn refuse(code: ResultCode, wait_us: u64) -> Refusal {
    Refusal {
        code,
        retry_after_ms: (wait_us / MICROS_PER_MILLI).max(1),
    }
}
