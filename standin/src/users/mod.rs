//! Fakes of the users' platform that follow its published interface: the store,
//! and targets that register in it.

mod documents;
mod query;
mod store;
mod target;
pub mod wire;

pub use documents::CALLERS_PORT;
pub use documents::CONFIGURATION_KEY;
pub use documents::PEERS_PORT;
pub use documents::READY_PORT;
pub use documents::SETTINGS_VARIABLE;
pub use documents::add_route;
pub use documents::boot_settings;
pub use documents::configuration;
pub use store::StoreFault;
pub use store::UsersStore;
pub use target::Arrival;
pub use target::TargetActivity;
pub use target::TargetScript;
pub use target::UsersTarget;
