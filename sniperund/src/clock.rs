//! Clocks: monotonic time for decisions, and wall-clock time for records.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Monotonic clock that starts at zero.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            started: Instant::now(),
        }
    }
}

impl Clock {
    /// Returns the time since the clock was created, in microseconds.
    pub fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    /// Converts a time of this clock, in microseconds, to an instant.
    pub fn instant(&self, time_us: u64) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.started + Duration::from_micros(time_us))
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
