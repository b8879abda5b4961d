//! Connections to targets, and health probes of targets.

mod connection;
mod pool;
mod prober;

pub use connection::Connection;
pub use connection::OutBody;
pub use connection::SendFailure;
pub use pool::Pool;
pub use prober::Prober;
