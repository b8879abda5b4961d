//! Metrics of an instance.

mod gauges;
mod metrics;

pub use gauges::Gauges;
pub use metrics::Metrics;
pub use metrics::RequestLabels;
