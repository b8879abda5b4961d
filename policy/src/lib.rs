//! Every decision of an instance, as state machines.
//!
//! Nothing here does I/O, reads a clock or draws from a global generator: the
//! present time comes in as an argument in microseconds, randomness from a
//! generator seeded by the caller. The same inputs give the same actions.
//!
//! [`instance::Instance`] holds the control decisions. The request path reads
//! what it publishes, [`routing::RoutingTable`], and runs one
//! [`exchange::Exchange`] per request.

pub mod command;
pub mod evidence;
pub mod exchange;
pub mod feed;
pub mod instance;
pub mod invariant;
pub mod limits;
pub mod membership;
pub mod notes;
pub mod rendezvous;
pub mod routing;

pub use instance::Action;
pub use instance::Input;
pub use instance::Instance;
pub use instance::Message;
pub use instance::Settings;
