//! The world as objects: services, targets, routes, customers, closings, and
//! the release notes that change them.
//!
//! Nothing here does I/O. A [`World`] is immutable and cheap to clone; a
//! [`Note`] turns one into the next.

pub mod code;
pub mod document;
pub mod note;
pub mod world;

pub use code::Outcome;
pub use code::ResultCode;
pub use note::Note;
pub use note::NoteError;
pub use world::World;
