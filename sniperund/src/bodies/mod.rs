//! The memory that bodies take while they pass through the instance.

mod connection_buffer;
mod metered_body;

pub use connection_buffer::ConnectionBuffer;
pub use metered_body::MeteredBody;
