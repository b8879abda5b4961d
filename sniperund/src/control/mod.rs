//! Control loop of an instance: feeds inputs to the policy, executes its actions and follows the
//! registry.

mod control_loop;
mod driver;
mod handle;
mod pending_replies;
mod permits;
mod registry_follower;
mod retry_loans;
mod status;

pub use control_loop::ControlLoop;
pub use control_loop::ControlLoopDependencies;
pub use handle::ControlHandle;
pub use handle::ControlMessage;
pub use pending_replies::PendingReplies;
pub use permits::PendingPermits;
pub use permits::PermitGuard;
pub use registry_follower::RegistryFollower;
pub use registry_follower::RereadSignals;
pub use retry_loans::PendingRetryLoans;
pub use retry_loans::borrow_retry;
pub use status::MemberStatus;
pub use status::Status;
pub use status::TargetStatus;
