//! Encoding of messages.

use derive_more::Display;
use derive_more::Error;
use model::ResultCode;
use policy::instance::Envelope;

/// Result of reading a message.
pub(crate) type Result<T> = std::result::Result<T, CodecError>;

/// Version of the messages; instances of other versions are refused.
pub const VERSION: u16 = 4;
/// Size of an encoded message at most, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 2_000_000;

/// Why a message was refused.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum CodecError {
    /// It is too large.
    #[display("{}", ResultCode::PeerMessageTooLarge)]
    Oversized,
    /// It is of another version.
    #[display("{}", ResultCode::PeerVersionMismatch)]
    Version,
    /// It cannot be read.
    #[display("{}", ResultCode::PeerMessageUndecodable)]
    Garbled,
}

/// Encodes a message.
///
/// # Errors
///
/// Returns [`CodecError::Oversized`] if it is too large.
pub fn encode(envelope: &Envelope) -> Result<Vec<u8>> {
    let bytes = postcard::to_stdvec(envelope).map_err(|_| CodecError::Garbled)?;
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(CodecError::Oversized);
    }
    Ok(bytes)
}

/// Reads a message.
///
/// # Errors
///
/// Returns [`CodecError`] if the message cannot be taken.
pub fn decode(version: u16, bytes: &[u8]) -> Result<Envelope> {
    if version != VERSION {
        return Err(CodecError::Version);
    }
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(CodecError::Oversized);
    }
    let (envelope, rest) = postcard::take_from_bytes(bytes).map_err(|_| CodecError::Garbled)?;
    if rest.is_empty() {
        Ok(envelope)
    } else {
        Err(CodecError::Garbled)
    }
}
