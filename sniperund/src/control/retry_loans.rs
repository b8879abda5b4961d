//! Retries that callers' requests borrow from other instances.

use std::sync::Arc;
use std::time::Duration;

use policy::Input;
use policy::exchange::RETRY_LOAN_TIMEOUT_US;

use super::ControlHandle;
use super::PendingReplies;

/// Requests that wait for a borrowed retry.
pub type PendingRetryLoans = PendingReplies<bool>;

/// Asks the peers to lend a retry to a service. Returns whether one does in time.
pub async fn borrow_retry(
    pending: Arc<PendingRetryLoans>,
    control: ControlHandle,
    service: Arc<str>,
) -> bool {
    let (number, answer) = pending.register();
    control.send(Input::BorrowRetry { number, service });
    let timeout = Duration::from_micros(RETRY_LOAN_TIMEOUT_US);
    let answer = tokio::time::timeout(timeout, answer).await;
    pending.forget(number);
    matches!(answer, Ok(Ok(true)))
}
