//! Errors of loading settings.

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use model::ResultCode;
use model::document::DocumentError;

/// Result of loading settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

/// Errors of loading settings.
#[derive(Debug, Display, Error, From)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("{}: {path}: {source}", ResultCode::FileUnreadable)]
    #[from(skip)]
    File {
        /// Path of the file.
        path: String,
        /// I/O error of the read.
        source: std::io::Error,
    },
    /// The text is not a valid settings document.
    #[display("{_0}")]
    Document(DocumentError),
    /// A value is not allowed.
    #[display("{}: settings field `{field}`: {reason}", ResultCode::NoteValue)]
    #[from(skip)]
    Value {
        /// Path of the field, such as `limits.in_flight`.
        field: &'static str,
        /// What was expected, such as `expected more than 0`.
        reason: &'static str,
    },
}
