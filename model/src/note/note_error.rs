//! Errors that reject a note.

use derive_more::Display;
use derive_more::Error;

use crate::ResultCode;

/// Result of validating or applying a note.
pub type Result<T> = std::result::Result<T, NoteError>;

/// Reason why a note cannot be applied to a configuration.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum NoteError {
    /// The note adds an object that already exists, or adds it twice.
    #[display("{}: {kind} `{name}`", ResultCode::NoteDuplicate)]
    Duplicate {
        /// The object's kind.
        kind: &'static str,
        /// The object's name.
        name: String,
    },
    /// An object is referenced that does not exist.
    #[display(
        "{}: {kind} `{name}`, named by {referenced_by}",
        ResultCode::NoteMissing
    )]
    Missing {
        /// The object's kind.
        kind: &'static str,
        /// The object's name.
        name: String,
        /// The object that contains the reference, or the note itself.
        referenced_by: String,
    },
    /// A value is out of range.
    #[display("{}: {kind} `{name}`: {reason}", ResultCode::NoteValue)]
    Value {
        /// The object's kind.
        kind: &'static str,
        /// The object's name.
        name: String,
        /// Why the value is rejected.
        reason: String,
    },
    /// An open closing covers a service that the note affects.
    #[display(
        "{}: closing `{closing}` covers service `{service}`",
        ResultCode::NoteClosing
    )]
    Closing {
        /// The closing's name.
        closing: String,
        /// The service's name.
        service: String,
    },
    /// The note exceeds the maximum size.
    #[display("{}: {bytes} bytes, at most {limit}", ResultCode::NoteTooLarge)]
    TooLarge {
        /// Size of the note in bytes.
        bytes: usize,
        /// Maximum size in bytes.
        limit: usize,
    },
}
