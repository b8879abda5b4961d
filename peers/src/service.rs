//! The tarpc service that instances call to deliver messages.

use serde::Deserialize;
use serde::Serialize;

/// Result of the delivery of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Receipt {
    /// The message was accepted.
    Accepted,
    /// The message was refused.
    Refused {
        /// Number of the result code with the reason.
        code: u16,
    },
}

/// Receives messages of other instances.
#[tarpc::service]
pub trait Delivery {
    /// Delivers an encoded envelope in a version of the message format.
    async fn deliver(version: u16, payload: Vec<u8>) -> Receipt;
}
