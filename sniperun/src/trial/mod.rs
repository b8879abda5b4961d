//! A trial run: fakes and instances in one process, under load and faults.

mod caller;
mod load;
mod report;
mod scene;
mod timeline;

pub use report::Report;
pub use timeline::run;
