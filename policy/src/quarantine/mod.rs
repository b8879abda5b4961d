//! Requests that crash the targets that run them.
//!
//! A request is identified by its content, since a caller that repeats it uses a new id and reaches
//! another instance each time. Each instance keeps a case for every request that was at a crash; a
//! response of a target clears it. A request with [`CRASHES_UNTIL_QUARANTINE`] crashes is
//! quarantined: no instance sends it until the quarantine ends, except for one trial. It is on
//! probation then, and one more crash starts a longer quarantine.

mod case;
mod crash;
mod fingerprint;
mod quarantine;
mod quarantine_view;
mod trial;

pub use case::Case;
pub use case::CaseReport;
pub use crash::Crash;
pub use fingerprint::Fingerprint;
pub use fingerprint::RequestContent;
pub use quarantine::CRASHES_UNTIL_QUARANTINE;
pub use quarantine::Quarantine;
pub use quarantine_view::CaseView;
pub use quarantine_view::QuarantineView;
