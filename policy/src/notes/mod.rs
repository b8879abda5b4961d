//! The log of release notes, and the tree along which messages are broadcast.

mod broadcast;
mod note_log;

pub use broadcast::FAN_OUT;
pub use broadcast::IdRange;
pub use broadcast::partition_receivers;
pub use note_log::NoteLog;
pub use note_log::NumberedNote;
pub use note_log::OfferResult;
