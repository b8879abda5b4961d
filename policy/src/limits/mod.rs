//! Limits that keep load from growing on itself.

mod admission;
mod customers;
mod fair_queue;
mod load_estimate;
mod overload_state;
mod permit_ledger;
mod retry_budget;
mod return_advice;

pub use admission::Admission;
pub use admission::Admitted;
pub use customers::CustomerPlace;
pub use customers::Customers;
pub use fair_queue::FairQueue;
pub use fair_queue::Refusal;
pub use load_estimate::LoadEstimate;
pub use overload_state::OverloadState;
pub use permit_ledger::PermitLedger;
pub use permit_ledger::PermitParams;
pub use retry_budget::RetryBudget;
pub use return_advice::Refused;
