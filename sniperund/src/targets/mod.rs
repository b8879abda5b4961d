//! Connections to targets, and health probes of targets.

mod connection;
mod pool;
mod prober;
mod send_state;
mod target_stream;

pub use connection::Connection;
pub use connection::OutBody;
pub use connection::SendFailure;
pub use pool::Pool;
pub use prober::Prober;
