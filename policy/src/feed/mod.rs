//! Configuration and targets from a registry instead of release notes.
//!
//! The registry delivers complete releases of the configuration, and an entry that each
//! target writes itself. Both are converted to the kind of change that a release note makes.

mod call_schedule;
mod contact;
mod history;
mod lag;
mod registry_view;
mod release;
mod release_delta;
mod release_fetch;
mod release_part;
mod revision;

pub use call_schedule::CallOutcome;
pub use call_schedule::CallSchedule;
pub use call_schedule::NextCall;
pub use call_schedule::WATCH_TIMEOUT_MS;
pub use history::MissedChanges;
pub use lag::CatchUpStep;
pub use lag::KnownVersions;
pub use lag::Lag;
pub use registry_view::ApplyResult;
pub use registry_view::ChangeSource;
pub use registry_view::RegistryView;
pub use registry_view::RetainReason;
pub use registry_view::RetainedTargets;
pub use release::EntryChanges;
pub use release::Release;
pub use release::ReleaseAccess;
pub use release::TargetEntry;
pub use release_delta::ReleaseDelta;
pub use release_delta::ReleaseHistory;
pub use release_delta::RemovedItems;
pub use release_fetch::FetchStep;
pub use release_fetch::FetchTerms;
pub use release_fetch::PARTS_PER_REQUEST;
pub use release_fetch::ReleaseFetch;
pub use release_part::AddressedRequest;
pub use release_part::PartsRequest;
pub use release_part::ReleasePart;
pub use revision::era_of;
pub use revision::number_of;
pub use revision::revision_of;
