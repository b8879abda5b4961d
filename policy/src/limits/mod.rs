//! Admission control, fair queueing, body memory, permits and retry budgets: limits that prevent retries and
//! queues from amplifying an overload.

mod admission;
mod body_memory;
mod customers;
mod fair_queue;
mod load_estimate;
mod overload_state;
mod permit_ledger;
mod quota;
mod rate_bucket;
mod retry_after;
mod retry_budget;
mod service_priorities;
mod urgency;

pub use admission::Admission;
pub use admission::AdmissionGuard;
pub use body_memory::BodyMemory;
pub use body_memory::BodyReservation;
pub use body_memory::DEFAULT_BODY_MEMORY_BYTES;
pub use body_memory::MEMORY_DIVISOR;
pub use customers::CustomerGuard;
pub use customers::Customers;
pub use fair_queue::FairQueue;
pub(crate) use fair_queue::MAX_WAIT_DIVISOR;
pub use fair_queue::Refusal;
pub use load_estimate::LoadEstimate;
pub use overload_state::OverloadState;
pub use permit_ledger::HeldPermit;
pub use permit_ledger::Ownership;
pub use permit_ledger::PermitDecision;
pub use permit_ledger::PermitLedger;
pub use permit_ledger::PermitParams;
pub use quota::*;
pub use rate_bucket::RateBucket;
pub use retry_after::RefusedRequest;
pub use retry_budget::RESERVE_WINDOW_US;
pub use retry_budget::RetryBudget;
pub use service_priorities::ServicePriorities;
pub use urgency::PermitRank;
