//! Encoding and decoding of messages between instances.

use derive_more::Display;
use derive_more::Error;
use model::ResultCode;
use policy::instance::Envelope;

/// Result of encoding or decoding a message.
pub(crate) type Result<T> = std::result::Result<T, CodecError>;

/// Version of the message format; messages of other versions are refused.
pub const VERSION: u16 = 8;
/// Maximum size of an encoded message.
pub const MAX_MESSAGE_BYTES: usize = 2_000_000;

/// Reason why a message cannot be encoded or is refused.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum CodecError {
    /// The message is larger than [`MAX_MESSAGE_BYTES`].
    #[display("{}", ResultCode::PeerMessageTooLarge)]
    Oversized,
    /// The message has another format version.
    #[display("{}", ResultCode::PeerVersionMismatch)]
    Version,
    /// The message cannot be encoded or parsed.
    #[display("{}", ResultCode::PeerMessageUndecodable)]
    Malformed,
}

/// Encodes a message.
///
/// # Errors
///
/// Returns [`CodecError::Oversized`] if the encoded message is too large.
pub fn encode(envelope: &Envelope) -> Result<Vec<u8>> {
    let bytes = postcard::to_stdvec(envelope).map_err(|_| CodecError::Malformed)?;
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(CodecError::Oversized);
    }
    Ok(bytes)
}

/// Decodes a message sent with a format version.
///
/// # Errors
///
/// Returns [`CodecError`] if the version differs or the message is too large or malformed.
pub fn decode(version: u16, bytes: &[u8]) -> Result<Envelope> {
    if version != VERSION {
        return Err(CodecError::Version);
    }
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(CodecError::Oversized);
    }
    let (envelope, rest) = postcard::take_from_bytes(bytes).map_err(|_| CodecError::Malformed)?;
    if rest.is_empty() {
        Ok(envelope)
    } else {
        Err(CodecError::Malformed)
    }
}
