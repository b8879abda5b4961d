//! Fakes for tests and for the command `sniperun try`: the platform and backend
//! servers, with scripted behaviour and faults.

mod backend;
mod http;
mod key_values;
mod link;
mod memory_platform;
mod platform_server;
mod script;
pub mod users;

pub use backend::Backend;
pub use backend::BackendCounts;
pub use http::Body;
pub use http::Server;
pub use http::full_body;
pub use key_values::KeyValues;
pub use link::Link;
pub use memory_platform::MemoryPlatform;
pub use platform_server::PlatformServer;
pub use script::PlatformFault;
pub use script::Script;
pub use users::StoreFault;
pub use users::TargetScript;
pub use users::UsersStore;
pub use users::UsersTarget;
