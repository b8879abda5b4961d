//! Messages between instances.
//!
//! A message is one tarpc call whose argument is the encoded envelope. Delivery is best
//! effort; the protocols that use it tolerate lost messages. Malformed input is refused and
//! counted, and never ends the process.

mod codec;
mod counters;
mod listener;
mod sender;
mod service;

pub use codec::CodecError;
pub use codec::MAX_MESSAGE_BYTES;
pub use codec::VERSION;
pub use codec::decode;
pub use codec::encode;
pub use counters::Counters;
pub use listener::Handler;
pub use listener::Listener;
pub use sender::Sender;
pub use service::Delivery;
pub use service::Receipt;
