//! Release notes, the unit in which operators submit configuration changes.

mod apply;
mod check;
mod delta;
mod note;
mod note_error;

pub use check::is_valid_name;
pub use delta::Delta;
pub use note::MAX_NOTE_BYTES;
pub use note::Note;
pub use note_error::NoteError;
pub use note_error::Result;
