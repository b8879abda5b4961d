//! Requests that wait for a target, fair between customers.
//!
//! A request that cannot be served before its deadline is refused at once.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use model::ResultCode;

/// Latency assumed while none is known.
const ASSUMED_SERVICE_US: u64 = 25_000;
/// A request waits for this part of its time at most; the rest is for the work.
const MAX_WAIT_PART: u64 = 8;
const MICROS_PER_MILLI: u64 = 1_000;

/// A refused request and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub code: ResultCode,
    /// When it helps to come back, in milliseconds.
    pub retry_after_ms: u64,
}

/// The requests of one service that wait in one instance.
#[derive(Debug)]
pub struct FairQueue<T> {
    by_customer: HashMap<Arc<str>, VecDeque<(u64, T)>>,
    turns: VecDeque<Arc<str>>,
    len: usize,
    /// Time from one request's leaving to the next one's, while more wait.
    service_us: u64,
    last_pop_us: u64,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            by_customer: HashMap::new(),
            turns: VecDeque::new(),
            len: 0,
            service_us: 0,
            last_pop_us: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Takes a request in, or says at once that it would not be served in time.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the queue is full or the deadline too near.
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
        if wait_us > deadline_us.saturating_sub(now_us) / MAX_WAIT_PART {
            return Err(refuse(ResultCode::DeadlineTooNear, wait_us));
        }
        let waiting = self.by_customer.entry(customer.clone()).or_default();
        if waiting.is_empty() {
            self.turns.push_back(customer.clone());
        }
        waiting.push_back((deadline_us, item));
        self.len += 1;
        Ok(())
    }

    /// Takes the next request out, one customer after the other.
    pub fn pop(&mut self, now_us: u64) -> Option<T> {
        let customer = self.turns.pop_front()?;
        let waiting = self.by_customer.get_mut(&customer)?;
        let (_, item) = waiting.pop_front()?;
        if waiting.is_empty() {
            self.by_customer.remove(&customer);
        } else {
            self.turns.push_back(customer);
        }
        self.len -= 1;
        self.learn_pace(now_us);
        Some(item)
    }

    /// Takes a request out that no longer waits.
    pub fn remove(&mut self, customer: &Arc<str>, mut is_it: impl FnMut(&T) -> bool) {
        let Some(waiting) = self.by_customer.get_mut(customer) else {
            return;
        };
        let before = waiting.len();
        waiting.retain(|(_, item)| !is_it(item));
        self.len -= before - waiting.len();
        if waiting.is_empty() {
            self.by_customer.remove(customer);
            self.turns.retain(|other| other != customer);
        }
    }

    /// The time that a request pushed now would wait, in microseconds.
    pub fn expected_wait_us(&self) -> u64 {
        let pace_us = if self.service_us == 0 {
            ASSUMED_SERVICE_US
        } else {
            self.service_us
        };
        pace_us * (self.len as u64 + 1)
    }

    fn learn_pace(&mut self, now_us: u64) {
        let gap_us = now_us.saturating_sub(self.last_pop_us).min(1_000_000);
        self.last_pop_us = now_us;
        if self.len > 0 {
            self.service_us = if self.service_us == 0 {
                gap_us
            } else {
                (self.service_us * 7 + gap_us) / 8
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
