//! Limits that keep load from growing on itself.

mod admission;
mod crowd;
mod crowding;
mod customers;
mod fair_queue;
mod permit_book;
mod retry_budget;
mod return_advice;

pub use admission::Admission;
pub use admission::Admitted;
pub use crowd::Crowd;
pub use crowding::Crowding;
pub use customers::CustomerPlace;
pub use customers::Customers;
pub use fair_queue::FairQueue;
pub use fair_queue::Refusal;
pub use permit_book::PermitBook;
pub use permit_book::PermitNeed;
pub use retry_budget::RetryBudget;
pub use return_advice::Refused;
