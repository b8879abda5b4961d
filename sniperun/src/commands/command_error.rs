//! Why a command failed.

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

/// Result of a command: what it prints.
pub type Result<T> = std::result::Result<T, CommandError>;

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum CommandError {
    /// A file cannot be read.
    #[display("{}: {}: {source}", ResultCode::FileUnreadable, path.display())]
    #[from(skip)]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A document does not fit.
    #[display("{_0}")]
    Document(DocumentError),
    /// A note does not fit.
    #[display("{_0}")]
    Note(NoteError),
    /// Settings do not fit.
    #[display("{_0}")]
    Settings(SettingsError),
    /// A note was not accepted.
    #[display("{_0}")]
    Submit(SubmitError),
    /// The platform does not answer.
    #[display("{_0}")]
    Platform(PlatformError),
    /// A note does not exist.
    #[display("{}: note {number}", ResultCode::NoteMissing)]
    #[from(skip)]
    NoNote {
        /// Its number.
        number: u64,
    },
    /// An instance does not answer.
    #[display("{}: {address}: {reason}", ResultCode::InstanceUnreachable)]
    #[from(skip)]
    Instance {
        /// Its administrative address.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
    /// An address cannot be bound.
    #[display("{}: {address}: {source}", ResultCode::AddressInUse)]
    #[from(skip)]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// No log names the request.
    #[display("{}: no line with request id {id}", ResultCode::RequestNotLogged)]
    #[from(skip)]
    #[error(ignore)]
    NoRequest {
        /// The request's id.
        id: String,
    },
    /// A trial broke a promise or could not run.
    #[display("{_0}")]
    #[from(skip)]
    #[error(ignore)]
    Trial(String),
}
