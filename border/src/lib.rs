//! Interfaces to external systems.
//!
//! [`HeaderProtocol`] abstracts the headers exchanged with callers and targets;
//! [`Registry`] and [`Platform`] abstract the systems that hold the configuration.
//! [`HttpPlatform`] is a client of the interface described in `docs/PLATFORM.md`.
//! [`NoteStore`], [`ClaimStore`] and [`SnapshotStore`] store durable data in the platform
//! and determine the effect of writes whose reply was lost.

mod answer;
mod call_budget;
mod claim_store;
mod header_protocol;
mod http_platform;
mod note_store;
mod platform;
mod platform_error;
mod registry;
mod snapshot_store;

pub use answer::MAX_ANSWER_BYTES;
pub use answer::TransferLimit;
pub use answer::read_answer;
pub use call_budget::CallBudget;
pub use claim_store::ClaimStore;
pub use header_protocol::HeaderProtocol;
pub use header_protocol::RequestParams;
pub use header_protocol::ResponseKind;
pub use http_platform::HttpPlatform;
pub use http_platform::wire;
pub use note_store::NoteStore;
pub use note_store::SubmitError;
pub use note_store::Submitted;
pub use platform::CreateOutcome;
pub use platform::Entry;
pub use platform::Platform;
pub use platform::RangeQuery;
pub use platform::SwapOutcome;
pub use platform::WriteRequest;
pub use platform::create_or_read;
pub use platform::swap_or_read;
pub use platform_error::PlatformError;
pub use platform_error::Result;
pub use registry::Lease;
pub use registry::Registry;
pub use registry::Versioned;
pub use registry::WatchOutcome;
pub use snapshot_store::SnapshotStore;
