//! Clocks: monotonic time for decisions, and wall-clock time for records.
//!
//! The time for decisions includes the time for which the machine was suspended, as leases, views
//! and deadlines of others run out meanwhile. `std::time::Instant` does not include it on Linux.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use nix::time::ClockId;

/// Monotonic clock that starts at zero and includes suspended time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Duration,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            started: time_since_boot(),
        }
    }
}

impl Clock {
    /// Returns the time since the clock was created, in microseconds.
    pub fn now_us(&self) -> u64 {
        time_since_boot().saturating_sub(self.started).as_micros() as u64
    }

    /// Converts a time of this clock, in microseconds, to an instant. It is reached later than
    /// that time if the machine is suspended before it.
    pub fn instant(&self, time_us: u64) -> tokio::time::Instant {
        let left_us = time_us.saturating_sub(self.now_us());
        tokio::time::Instant::now() + Duration::from_micros(left_us)
    }
}

/// Time since the machine was started, suspended time included. The clock exists on every Linux
/// that Rust supports, so that reading it does not fail.
fn time_since_boot() -> Duration {
    let time = ClockId::CLOCK_BOOTTIME.now();
    time.map_or(Duration::ZERO, Duration::from)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
