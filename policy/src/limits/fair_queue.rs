//! Queue of requests that wait for a target, served by priority, then round-robin by customer.
//!
//! A request that would probably not be served before its deadline is refused at once.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use model::ResultCode;

/// Interval between departures that is assumed until one is measured.
const DEFAULT_DEPARTURE_INTERVAL_US: u64 = 25_000;
/// A request may wait for at most its remaining time divided by this; the rest is for
/// processing.
pub(crate) const MAX_WAIT_DIVISOR: u64 = 8;
/// Share of its fair turns that a lower priority gets in any case.
const STARVING_TURN_SHARE: f64 = 0.25;
const MICROS_PER_MILLI: u64 = 1_000;

/// Why a request is refused, and when to retry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Result code of the refusal.
    pub code: ResultCode,
    /// Time after which a retry is useful, in milliseconds.
    pub retry_after_ms: u64,
}

/// Requests of one priority.
#[derive(Debug)]
struct Level<T> {
    by_customer: HashMap<Arc<str>, VecDeque<(u64, T)>>,
    round_robin: VecDeque<Arc<str>>,
    len: usize,
    /// Turns that the level is owed while more urgent ones were served.
    owed_turns: f64,
}

impl<T> Default for Level<T> {
    fn default() -> Self {
        Self {
            by_customer: HashMap::new(),
            round_robin: VecDeque::new(),
            len: 0,
            owed_turns: 0.0,
        }
    }
}

impl<T> Level<T> {
    fn push(&mut self, customer: &Arc<str>, deadline_us: u64, item: T) {
        let waiting = self.by_customer.entry(customer.clone()).or_default();
        if waiting.is_empty() {
            self.round_robin.push_back(customer.clone());
        }
        waiting.push_back((deadline_us, item));
        self.len += 1;
    }

    fn pop(&mut self) -> Option<T> {
        let customer = self.round_robin.pop_front()?;
        let waiting = self.by_customer.get_mut(&customer)?;
        let (_, item) = waiting.pop_front()?;
        if waiting.is_empty() {
            self.by_customer.remove(&customer);
        } else {
            self.round_robin.push_back(customer);
        }
        self.len -= 1;
        Some(item)
    }

    fn remove(&mut self, customer: &Arc<str>, matches: &mut impl FnMut(&T) -> bool) {
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
}

/// Queue of one service's requests in one instance.
#[derive(Debug)]
pub struct FairQueue<T> {
    /// Requests by priority, of which the lowest number is the most urgent.
    levels: BTreeMap<u8, Level<T>>,
    /// Moving average of the time between departures while the queue is not empty; 0 until
    /// measured.
    departure_interval_us: u64,
    last_pop_us: u64,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            levels: BTreeMap::new(),
            departure_interval_us: 0,
            last_pop_us: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.levels.values().map(|level| level.len).sum()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.levels.is_empty()
    }

    /// Enqueues a request, or refuses it if it would probably not be served in time. Only requests
    /// that are at least as urgent count as being ahead of it, also towards `limit`.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the queue is full or the deadline is too near.
    pub fn push(
        &mut self,
        now_us: u64,
        (priority, customer): (u8, &Arc<str>),
        deadline_us: u64,
        limit: usize,
        item: T,
    ) -> Result<(), Refusal> {
        let ahead = self.levels.range(..=priority);
        let ahead = ahead.map(|(_, level)| level.len).sum();
        let wait_us = self.expected_wait_us(ahead);
        if ahead >= limit {
            return Err(refuse(ResultCode::QueueFull, wait_us));
        }
        if wait_us > deadline_us.saturating_sub(now_us) / MAX_WAIT_DIVISOR {
            return Err(refuse(ResultCode::DeadlineTooNear, wait_us));
        }
        let level = self.levels.entry(priority).or_default();
        level.push(customer, deadline_us, item);
        Ok(())
    }

    /// Dequeues the next request: the most urgent ones first, round-robin by customer. Each lower
    /// priority gets a quarter of the turns that its share of the waiting requests would give it.
    pub fn pop(&mut self, now_us: u64) -> Option<T> {
        let is_owed_turn = |level: &Level<T>| level.owed_turns >= 1.0;
        let owed = self.levels.iter().find(|(_, level)| is_owed_turn(level));
        let (priority, _) = owed.or_else(|| self.levels.first_key_value())?;
        let priority = *priority;
        let waiting = self.len() as f64;
        for (other, level) in &mut self.levels {
            level.owed_turns += STARVING_TURN_SHARE * level.len as f64 / waiting;
            if *other == priority {
                level.owed_turns = (level.owed_turns - 1.0).max(0.0);
            }
        }
        let level = self.levels.get_mut(&priority)?;
        let item = level.pop();
        if level.len == 0 {
            self.levels.remove(&priority);
        }
        self.update_departure_interval(now_us);
        item
    }

    /// Removes a customer's requests that match, such as one whose caller has disconnected.
    pub fn remove(&mut self, customer: &Arc<str>, mut matches: impl FnMut(&T) -> bool) {
        self.levels.retain(|_, level| {
            level.remove(customer, &mut matches);
            level.len > 0
        });
    }

    /// Time that a request with `ahead` others ahead of it would wait, in microseconds.
    fn expected_wait_us(&self, ahead: usize) -> u64 {
        let interval_us = if self.departure_interval_us == 0 {
            DEFAULT_DEPARTURE_INTERVAL_US
        } else {
            self.departure_interval_us
        };
        interval_us * (ahead as u64 + 1)
    }

    fn update_departure_interval(&mut self, now_us: u64) {
        let gap_us = now_us.saturating_sub(self.last_pop_us).min(1_000_000);
        self.last_pop_us = now_us;
        if !self.is_empty() {
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
