//! The handling of one request, from acceptance to its final outcome.

mod attempt;
mod body_progress;
mod exchange;
mod hand_over;
mod observation;
mod retries;
mod retry_use;
mod shutdown;
mod silence;
mod target_notices;

pub use attempt::Failure;
pub use body_progress::BodyLimits;
pub use body_progress::BodyProgress;
pub use body_progress::BodyStep;
pub use body_progress::BreakOffReason;
pub use exchange::Event;
pub use exchange::Exchange;
pub use exchange::MAX_ATTEMPTS;
pub use exchange::Reply;
pub use exchange::Request;
pub use exchange::Step;
pub use hand_over::HandOver;
pub use hand_over::HandOverStep;
pub use hand_over::HelperOutcome;
pub use observation::AttemptEnd;
pub use observation::Observation;
pub use retries::RETRY_LOAN_TIMEOUT_US;
pub use retries::RetryDenial;
pub use silence::HEDGE_CHECK_PERIOD_US;
pub use silence::WaitingAttempt;
pub use silence::is_hedge_due;
pub use silence::overdue_after_us;
pub use target_notices::Notice;
pub use target_notices::NoticedTarget;
pub use target_notices::TargetNotices;
