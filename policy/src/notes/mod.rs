//! The log of release notes as an instance knows it.

mod note_log;
mod spread;

pub use note_log::NoteLog;
pub use note_log::NumberedNote;
pub use note_log::Offered;
pub use spread::FAN_OUT;
pub use spread::IdRange;
pub use spread::split;
