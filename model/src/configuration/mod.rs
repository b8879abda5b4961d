//! The configuration and the objects that it consists of.

mod closing;
mod configuration;
mod customer;
mod data_centre;
mod key_digest;
mod route;
mod service;
mod snapshot;
mod target;

pub use closing::Closing;
pub use configuration::Configuration;
pub use configuration::MAX_ROUTE_SEGMENTS;
pub use customer::Customer;
pub use customer::Quota;
pub use data_centre::Link;
pub use key_digest::KeyDigest;
pub use route::Route;
pub use route::RouteTerms;
pub use route::Share;
pub use service::Class;
pub use service::Repeat;
pub use service::Service;
pub use target::Target;
pub use target::UNKNOWN_INCARNATION;

use std::sync::Arc;

/// An object identified by a name that is unique among the objects of its kind.
pub trait Named {
    /// Name of the kind in messages, such as `service`.
    const KIND: &'static str;

    /// Returns the object's name.
    fn name(&self) -> &Arc<str>;
}
