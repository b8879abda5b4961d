//! Metrics of an instance.

mod metrics;

pub use metrics::Metrics;
pub use metrics::RequestLabels;
