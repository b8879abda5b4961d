//! Telling failing targets from healthy ones by the outcomes of requests.

mod case;
mod doubt;
mod home;
mod latency;
mod observer;
mod sequential_test;
mod service_test;
mod tally;
mod verdict;
mod ward;

pub use doubt::Doubt;
pub use doubt::RESTING;
pub use doubt::Signal;
pub use home::Home;
pub use home::HomeEvent;
pub use latency::Latencies;
pub use latency::LatencyScale;
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
pub use verdict::Standing;
pub use verdict::Verdict;
pub use verdict::VerdictBook;
