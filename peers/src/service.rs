//! The call between instances.

use serde::Deserialize;
use serde::Serialize;

/// What became of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Receipt {
    /// It was taken.
    Taken,
    /// It was refused, with the number of a result code.
    Refused {
        /// The code's number.
        code: u16,
    },
}

/// Takes messages of other instances.
#[tarpc::service]
pub trait Delivery {
    /// Takes one encoded envelope of a version.
    async fn deliver(version: u16, payload: Vec<u8>) -> Receipt;
}
