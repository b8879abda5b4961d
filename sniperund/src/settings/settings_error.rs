//! Why settings are refused.

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use model::ResultCode;
use model::document::DocumentError;

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

/// Why settings are refused.
#[derive(Debug, Display, Error, From)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("{}: {path}: {source}", ResultCode::FileUnreadable)]
    #[from(skip)]
    File {
        /// The file's path.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// The text does not fit.
    #[display("{_0}")]
    Document(DocumentError),
    /// A value is out of its range.
    #[display("{}: settings field `{field}`: {reason}", ResultCode::NoteValue)]
    #[from(skip)]
    Value {
        /// The field.
        field: &'static str,
        /// What was expected.
        reason: &'static str,
    },
}
