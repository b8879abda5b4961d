//! The time that decisions are given.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// A clock that starts at zero and never goes back.
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
    /// The time in microseconds since the clock was made.
    pub fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    /// The instant of a time in microseconds.
    pub fn instant(&self, time_us: u64) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.started + Duration::from_micros(time_us))
    }
}

/// The time of day in milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
