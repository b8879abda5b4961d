//! Errors that prevent an instance from starting.

use std::net::SocketAddr;

use derive_more::Display;
use derive_more::Error;
use model::ResultCode;

/// Result of starting an instance.
pub type Result<T> = std::result::Result<T, AppError>;

/// An error that prevents an instance from starting.
#[derive(Debug, Display, Error)]
pub enum AppError {
    /// An address cannot be bound.
    #[display("{}: {role} address {address}: {source}", ResultCode::AddressInUse)]
    Bind {
        /// Role of the address: callers, peers, admin or ready.
        role: &'static str,
        /// Address from the settings.
        address: SocketAddr,
        /// I/O error of the bind call.
        source: std::io::Error,
    },
}
