//! Errors of commands.

use std::net::SocketAddr;
use std::path::PathBuf;

use border::PlatformError;
use border::SubmitError;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use model::NoteError;
use model::ResultCode;
use model::document::DocumentError;
use sniperund::settings::SettingsError;

/// Result of a command or of one of its steps.
pub type Result<T> = std::result::Result<T, CommandError>;

/// Error that ends a command.
#[derive(Debug, Display, Error, From)]
pub enum CommandError {
    /// A file cannot be read.
    #[display("{}: {}: {source}", ResultCode::FileUnreadable, path.display())]
    #[from(skip)]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A configuration to check cannot be read, as opposed to one that has errors.
    #[display("{}: {}: {source}", ResultCode::FileUnreadable, path.display())]
    #[from(skip)]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A document cannot be parsed.
    #[display("{_0}")]
    Document(DocumentError),
    /// A note cannot be applied.
    #[display("{_0}")]
    Note(NoteError),
    /// Settings are invalid.
    #[display("{_0}")]
    Settings(SettingsError),
    /// Submitting a note failed.
    #[display("{_0}")]
    Submit(SubmitError),
    /// A call to the platform failed.
    #[display("{_0}")]
    Platform(PlatformError),
    /// A note does not exist.
    #[display("{}: note {number}", ResultCode::NoteMissing)]
    #[from(skip)]
    NoteNotFound {
        /// Number of the note.
        number: u64,
    },
    /// An instance did not return its status.
    #[display("{}: {address}: {reason}", ResultCode::InstanceUnreachable)]
    #[from(skip)]
    InstanceUnreachable {
        /// Administrative address of the instance.
        address: SocketAddr,
        /// Description of the cause.
        reason: String,
    },
    /// An address cannot be bound.
    #[display("{}: {address}: {source}", ResultCode::AddressInUse)]
    #[from(skip)]
    Bind {
        /// Address that was requested.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// No log contains the request.
    #[display("{}: no line with request id {id}", ResultCode::RequestNotLogged)]
    #[from(skip)]
    #[error(ignore)]
    RequestNotLogged {
        /// Id of the request.
        id: String,
    },
    /// A trial violated a guarantee or could not run, or a required option is missing.
    #[display("{_0}")]
    #[from(skip)]
    #[error(ignore)]
    Trial(String),
}
