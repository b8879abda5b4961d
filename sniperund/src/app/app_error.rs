//! Why an instance does not start.

use std::net::SocketAddr;

use derive_more::Display;
use derive_more::Error;
use model::ResultCode;

/// Result of starting an instance.
pub type Result<T> = std::result::Result<T, AppError>;

/// Why an instance does not start.
#[derive(Debug, Display, Error)]
pub enum AppError {
    /// An address cannot be bound.
    #[display("{}: {role} address {address}: {source}", ResultCode::AddressInUse)]
    Bind {
        /// What the address is for.
        role: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
}
