//! The log of release notes, and the broadcast tree that distributes messages.

mod broadcast;
mod note_log;

pub use broadcast::FAN_OUT;
pub use broadcast::IdRange;
pub use broadcast::partition_receivers;
pub use note_log::NoteLog;
pub use note_log::NumberedNote;
pub use note_log::OfferResult;
