//! Whether an instance's tables can be relied on.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Time without a tick after which an instance counts as having been frozen.
pub const FREEZE_US: u64 = 1_500_000;

/// Whether an instance was just frozen, so that its tables may be outdated.
///
/// Shared by all tables of an instance; without an instance always current.
#[derive(Debug)]
pub struct TableFreshness {
    last_tick_us: AtomicU64,
    asks: AtomicBool,
    source_away: AtomicBool,
}

impl Default for TableFreshness {
    fn default() -> Self {
        Self {
            last_tick_us: AtomicU64::new(u64::MAX),
            asks: AtomicBool::new(false),
            source_away: AtomicBool::new(false),
        }
    }
}

impl TableFreshness {
    /// Whether the tables can be relied on.
    pub fn is_current(&self, now_us: u64) -> bool {
        let gap_us = now_us.saturating_sub(self.last_tick_us.load(Ordering::Acquire));
        gap_us <= FREEZE_US && !self.asks.load(Ordering::Acquire)
    }

    /// Whether a route that the tables do not have can be said not to exist.
    pub fn is_certain(&self) -> bool {
        !self.source_away.load(Ordering::Acquire)
    }

    /// Notes whether the source of the tables answers.
    pub(crate) fn source_reachable(&self, reachable: bool) {
        self.source_away.store(!reachable, Ordering::Release);
    }

    /// Notes a tick, and whether the instance still asks others what it missed.
    pub(crate) fn ticked(&self, now_us: u64, asks: bool) {
        self.asks.store(asks, Ordering::Release);
        self.last_tick_us.store(now_us, Ordering::Release);
    }
}
