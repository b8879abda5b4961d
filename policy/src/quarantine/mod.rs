//! Requests that crash the targets that run them.
//!
//! A request is identified by its content, since a caller that repeats it uses a new id and reaches
//! another instance each time.

mod crash;
mod fingerprint;

pub use crash::Crash;
pub use fingerprint::Fingerprint;
pub use fingerprint::RequestContent;
