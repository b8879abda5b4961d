//! Detection of failing targets from the outcomes of requests.
//!
//! The owners of a service decide on the health of its targets by a sequential test on the
//! reports of all instances ([`HealthMonitor`]). For faults that last seconds, each instance
//! estimates the probability that a target is failing ([`FailureEstimate`]).

mod failure_estimate;
mod health_decision;
mod health_monitor;
mod latency;
mod latency_profile;
mod observer;
mod sequential_test;
mod service_health;
mod service_test;
mod tally;
mod target_health;

pub use failure_estimate::BASE_FAILURE_PROBABILITY;
pub use failure_estimate::FailureEstimate;
pub use failure_estimate::HANG_SHARE;
pub(crate) use failure_estimate::MAX_OVERDUE_REPORTS;
pub use failure_estimate::Signal;
pub(crate) use failure_estimate::overdue_share;
pub use health_decision::DecisionTable;
pub use health_decision::HealthDecision;
pub use health_decision::HealthState;
pub use health_monitor::HealthEvent;
pub use health_monitor::HealthMonitor;
pub use latency::Latencies;
pub use latency::LatencyHistogram;
pub use latency_profile::LatencyFit;
pub use latency_profile::LatencyProfile;
pub use observer::Observer;
pub use observer::Report;
pub use observer::TargetReport;
pub use sequential_test::Alternatives;
pub use sequential_test::Rates;
pub use sequential_test::SequentialTest;
pub use service_test::Finding;
pub use service_test::ServiceTest;
pub use tally::RecentTally;
pub use tally::Tally;
