//! The loop that drives the decisions.

mod control_loop;
mod driver;
mod handle;
mod permits;
mod registry_follower;
mod status;

pub use control_loop::Control;
pub use control_loop::ControlParts;
pub use handle::ControlHandle;
pub use handle::ControlMessage;
pub use permits::Permit;
pub use permits::Permits;
pub use registry_follower::RegistryFollower;
pub use registry_follower::Rereads;
pub use status::MemberStatus;
pub use status::Status;
pub use status::TargetStatus;
