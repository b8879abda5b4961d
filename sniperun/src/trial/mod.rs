//! Trial: instances and fakes in one process, under load and faults.

mod caller;
mod environment;
mod load;
mod report;
mod timeline;

pub use report::Report;
pub use timeline::run;
