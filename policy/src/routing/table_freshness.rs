//! Tracks whether an instance's tables are current.
//!
//! A frozen process misses updates, so its tables stay stale until it has caught up. An instance that
//! lacks a release known to exist serves what it knows, but can tell neither which routes do not
//! exist nor which requests may still be repeated.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Time without a tick after which an instance counts as frozen, in microseconds.
pub const FREEZE_THRESHOLD_US: u64 = 1_500_000;

/// Whether an instance's tables may be stale because its process was frozen.
///
/// Shared by all tables of an instance. Tables count as current before the instance's first tick,
/// and if they belong to no instance.
#[derive(Debug)]
pub struct TableFreshness {
    last_tick_us: AtomicU64,
    is_catching_up: AtomicBool,
    is_source_unreachable: AtomicBool,
    lacks_release: AtomicBool,
    is_isolated: AtomicBool,
}

impl Default for TableFreshness {
    fn default() -> Self {
        Self {
            last_tick_us: AtomicU64::new(u64::MAX),
            is_catching_up: AtomicBool::new(false),
            is_source_unreachable: AtomicBool::new(false),
            lacks_release: AtomicBool::new(false),
            is_isolated: AtomicBool::new(false),
        }
    }
}

impl TableFreshness {
    /// Whether the tables are current.
    pub fn is_current(&self, now_us: u64) -> bool {
        let gap_us = now_us.saturating_sub(self.last_tick_us.load(Ordering::Acquire));
        gap_us <= FREEZE_THRESHOLD_US && !self.is_catching_up.load(Ordering::Acquire)
    }

    /// Whether a route that is missing from the tables can be reported as non-existent.
    pub fn is_authoritative(&self) -> bool {
        self.is_source_reachable() && !self.lacks_release.load(Ordering::Acquire)
    }

    /// Whether a release is known to exist that is newer than the tables, or may be in force at other
    /// instances since this one hears from nobody.
    pub fn may_be_superseded(&self) -> bool {
        self.lacks_release.load(Ordering::Acquire) || self.is_isolated.load(Ordering::Acquire)
    }

    /// Whether the source of the tables is reachable.
    pub(crate) fn is_source_reachable(&self) -> bool {
        !self.is_source_unreachable.load(Ordering::Acquire)
    }

    /// Records whether the source of the tables is reachable.
    pub(crate) fn set_source_reachable(&self, reachable: bool) {
        self.is_source_unreachable
            .store(!reachable, Ordering::Release);
    }

    /// Records whether a release is known to exist that is newer than the tables. Returns what was
    /// recorded before.
    pub(crate) fn set_lacks_release(&self, lacks_release: bool) -> bool {
        self.lacks_release.swap(lacks_release, Ordering::AcqRel)
    }

    /// Records whether the instance hears neither from its peers nor from the source of the tables.
    /// Returns what was recorded before.
    pub(crate) fn set_isolated(&self, is_isolated: bool) -> bool {
        self.is_isolated.swap(is_isolated, Ordering::AcqRel)
    }

    /// Records a tick, and whether the instance is still requesting missed updates from others.
    pub(crate) fn record_tick(&self, now_us: u64, is_catching_up: bool) {
        self.is_catching_up.store(is_catching_up, Ordering::Release);
        self.last_tick_us.store(now_us, Ordering::Release);
    }
}
