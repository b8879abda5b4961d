//! The object model of the configuration: services, targets, routes, customers
//! and closings, and the release notes that change them.
//!
//! This crate does no I/O. A [`Configuration`] is one version of the configuration: it
//! is cheap to clone because clones share their data. Applying a [`Note`]
//! produces the next version and leaves the previous one unchanged.

pub mod code;
pub mod configuration;
pub mod document;
pub mod note;

pub use code::Outcome;
pub use code::ResultCode;
pub use configuration::Configuration;
pub use note::Note;
pub use note::NoteError;
