//! Quotas of customers, shared by all instances.
//!
//! One instance, the owner, keeps an account for each customer with a quota; each instance has a
//! gate that admits requests on credit, with tokens granted by the owner, or, without an owner, out
//! of a fixed share.

mod fixed_share;
mod quota_account;
mod quota_gate;
mod quota_terms;
mod quota_wait;

pub use fixed_share::FixedShare;
pub use quota_account::QuotaAccount;
pub use quota_gate::QuotaDecision;
pub use quota_gate::QuotaGate;
pub use quota_gate::QuotaLease;
pub use quota_gate::QuotaUse;
pub use quota_gate::STATEMENT_TTL_US;
pub use quota_terms::QuotaTerms;
pub use quota_wait::QuotaStep;
pub use quota_wait::QuotaWait;
