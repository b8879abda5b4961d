//! Limits that keep load from growing on itself.

mod admission;
mod crowd_gate;
mod crowding;
mod customers;
mod fair_queue;
mod retry_budget;
mod return_advice;

pub use admission::Admission;
pub use admission::Admitted;
pub use crowd_gate::CrowdGate;
pub use crowding::Crowding;
pub use customers::CustomerPlace;
pub use customers::Customers;
pub use fair_queue::FairQueue;
pub use fair_queue::Refusal;
pub use retry_budget::RetryBudget;
pub use return_advice::Refused;
