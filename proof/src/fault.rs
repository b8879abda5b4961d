//! Faults of targets.

use super::SECOND_US;

/// A fault of a target. Probes of its health path succeed unless it is dead.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum TargetFault {
    /// No fault.
    #[default]
    Healthy,
    /// It refuses connections.
    Dead,
    /// It accepts requests and never responds.
    Hung,
    /// It fails a share of its requests.
    Failing(f64),
    /// Its processing times are multiplied by this factor.
    Slow(f64),
    /// It alternates between failing all requests and none, each for this many seconds.
    Flapping(u64),
    /// It fails all requests from the first data centre.
    FailingFromOne,
    /// It refuses all requests with 503, which by contract means that they did not run.
    Shedding,
    /// It closes connections in the middle of responses.
    Cutting,
}

impl TargetFault {
    /// Returns the fault that applies to a request arriving at `now_us`, with time-dependent and
    /// location-dependent faults resolved.
    pub fn at(self, now_us: u64, is_from_first_data_centre: bool) -> Self {
        match self {
            Self::Flapping(period_s) if (now_us / SECOND_US / period_s).is_multiple_of(2) => {
                Self::Failing(1.0)
            }
            Self::FailingFromOne if is_from_first_data_centre => Self::Failing(1.0),
            Self::Flapping(_) | Self::FailingFromOne => Self::Healthy,
            other => other,
        }
    }
}
