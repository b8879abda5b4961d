//! Admission of requests by the quotas of their customers.

use std::sync::Arc;

use model::configuration::Customer;
use policy::Input;
use policy::limits::QuotaDecision;
use policy::limits::QuotaStep;
use policy::limits::QuotaWait;

use super::ProxyState;

const MICROS_PER_MILLI: u64 = 1_000;

/// A refusal of a request over its customer's quota.
#[derive(Clone, Copy, Debug)]
pub(super) struct OverQuota {
    /// Time for which the request has waited for a token, in milliseconds.
    pub(super) waited_ms: u64,
    /// Time after which the caller may retry, in milliseconds.
    pub(super) retry_after_ms: u64,
}

/// Takes a token of the customer's quota; waits for one for a short time if the quota is nearly
/// used up.
///
/// # Errors
///
/// Returns the time after which the caller may retry if there is none.
pub(super) async fn take_token(
    proxy_state: &ProxyState,
    customer: &Arc<Customer>,
    deadline_us: u64,
) -> Result<(), OverQuota> {
    let gate = proxy_state.control.shared().quota_gate();
    let began_us = proxy_state.clock.now_us();
    let wait = QuotaWait::new(began_us, deadline_us);
    loop {
        // Registered before the decision, so that an answer in between is not missed.
        let answered = proxy_state.quota_answers.notified();
        let mut answered = std::pin::pin!(answered);
        answered.as_mut().enable();
        let now_us = proxy_state.clock.now_us();
        let decision = gate.admit(now_us, customer);
        if let QuotaDecision::Admitted {
            is_report_due: true,
        } = decision
        {
            proxy_state.control.send(Input::QuotaAsked);
        }
        match wait.next(now_us, decision) {
            QuotaStep::Proceed => {
                gate.count(true);
                return Ok(());
            }
            QuotaStep::Ask { until_us } => {
                proxy_state.control.send(Input::QuotaAsked);
                let until = proxy_state.clock.instant(until_us);
                let _ = tokio::time::timeout_at(until, answered).await;
            }
            QuotaStep::Pause { until_us } => {
                tokio::time::sleep_until(proxy_state.clock.instant(until_us)).await;
            }
            QuotaStep::Refuse { retry_after_ms } => {
                gate.count(false);
                return Err(OverQuota {
                    waited_ms: now_us.saturating_sub(began_us) / MICROS_PER_MILLI,
                    retry_after_ms,
                });
            }
        }
    }
}
