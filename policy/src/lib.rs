//! The decision logic of an instance, as state machines.
//!
//! This crate does no I/O, reads no clock and uses no global random generator: the
//! current time is an argument in microseconds, and randomness comes from a generator
//! seeded by the caller. Equal inputs therefore produce equal actions.
//!
//! [`instance::Instance`] makes the control decisions. The request path reads the
//! [`routing::RoutingTable`] that it publishes and runs one [`exchange::Exchange`] per
//! request.

pub mod command;
pub mod evidence;
pub mod exchange;
pub mod feed;
pub mod instance;
pub mod invariant;
pub mod limits;
pub mod membership;
pub mod notes;
pub mod quarantine;
pub mod rendezvous;
pub mod routing;

pub use instance::Action;
pub use instance::Input;
pub use instance::Instance;
pub use instance::Message;
pub use instance::Settings;
