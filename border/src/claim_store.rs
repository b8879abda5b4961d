//! Claims of callers' idempotency keys, stored in the platform.
//!
//! A key is claimed by creating it with the unique tag of the attempt before the first
//! byte of the command is sent. If the reply to that write is lost, the stored tag
//! shows whether this attempt holds the claim.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use policy::command::Claim;
use policy::command::ClaimAnswer;
use policy::command::ClaimState;

use super::CreateOutcome;
use super::Platform;
use super::Result;
use super::SwapOutcome;
use super::WriteRequest;
use super::create_or_read;
use super::swap_or_read;

const CLAIM_TTL_MS: u64 = 24 * 3_600_000;
const CLAIM_TRIES: u32 = 3;
const FINISH_TRIES: u32 = 20;
const INITIAL_BACKOFF_MS: u64 = 50;
const MAX_BACKOFF_MS: u64 = 10_000;

/// Claims callers' keys and records the state of their commands.
pub struct ClaimStore {
    platform: Arc<dyn Platform>,
    in_flight: AtomicU32,
    max_in_flight: u32,
}

impl ClaimStore {
    /// Creates a store in `platform` that makes at most `max_in_flight` claims concurrently.
    pub fn new(platform: Arc<dyn Platform>, max_in_flight: u32) -> Self {
        Self {
            platform,
            in_flight: AtomicU32::new(0),
            max_in_flight,
        }
    }

    /// Claims a key for an attempt. Returns [`ClaimAnswer::TooMany`] at the concurrency limit
    /// and [`ClaimAnswer::Unavailable`] if the platform does not answer.
    pub async fn claim(&self, key: &Arc<str>, attempt: &Arc<str>) -> ClaimAnswer {
        if self.in_flight.fetch_add(1, Ordering::AcqRel) >= self.max_in_flight {
            self.in_flight.fetch_sub(1, Ordering::AcqRel);
            return ClaimAnswer::TooMany;
        }
        let answer = self.claim_with_retries(key, attempt).await;
        self.in_flight.fetch_sub(1, Ordering::AcqRel);
        answer
    }

    /// Records the final state of an attempt, retrying with back-off while the platform does
    /// not answer.
    ///
    /// Does nothing if the attempt does not hold the claim. Returns `false` if all tries failed.
    pub async fn finish(&self, key: &Arc<str>, attempt: &Arc<str>, state: ClaimState) -> bool {
        for tries in 0..FINISH_TRIES {
            if self.record(key, attempt, state).await.is_ok() {
                return true;
            }
            back_off(tries).await;
        }
        false
    }

    async fn claim_with_retries(&self, key: &Arc<str>, attempt: &Arc<str>) -> ClaimAnswer {
        for tries in 0..CLAIM_TRIES {
            match self.claim_once(key, attempt).await {
                Ok(answer) => return answer,
                Err(_) => back_off(tries).await,
            }
        }
        ClaimAnswer::Unavailable
    }

    async fn claim_once(&self, key: &Arc<str>, attempt: &Arc<str>) -> Result<ClaimAnswer> {
        let request = claim_entry(key, attempt, ClaimState::Begun);
        let mut current = match create_or_read(&*self.platform, request.clone()).await? {
            CreateOutcome::Done => return Ok(ClaimAnswer::Won),
            CreateOutcome::Exists(entry) => entry,
        };
        loop {
            let Ok(claim) = serde_json::from_str::<Claim>(&current.value) else {
                return Ok(ClaimAnswer::Held(ClaimState::Unknown));
            };
            let answer = Claim::resolve(attempt, &claim);
            if answer != ClaimAnswer::Held(ClaimState::NotRun) {
                return Ok(answer);
            }
            // The attempt that holds the claim was not run and never will be, so this attempt
            // may take over the key.
            match swap_or_read(&*self.platform, request.clone(), current.version).await? {
                SwapOutcome::Done => return Ok(ClaimAnswer::Won),
                SwapOutcome::Conflict(Some(entry)) => current = entry,
                SwapOutcome::Conflict(None) => return Ok(ClaimAnswer::Held(ClaimState::Unknown)),
            }
        }
    }

    async fn record(&self, key: &Arc<str>, attempt: &Arc<str>, state: ClaimState) -> Result<()> {
        let Some(entry) = self.platform.get(key.clone()).await? else {
            return Ok(());
        };
        let is_own = serde_json::from_str::<Claim>(&entry.value)
            .is_ok_and(|claim| claim.attempt == *attempt);
        if is_own {
            swap_or_read(
                &*self.platform,
                claim_entry(key, attempt, state),
                entry.version,
            )
            .await?;
        }
        Ok(())
    }
}

fn claim_entry(key: &Arc<str>, attempt: &Arc<str>, state: ClaimState) -> WriteRequest {
    let claim = Claim {
        attempt: attempt.clone(),
        state,
    };
    WriteRequest {
        key: key.clone(),
        value: serde_json::to_string(&claim).unwrap_or_default().into(),
        ttl_ms: Some(CLAIM_TTL_MS),
    }
}

async fn back_off(tries: u32) {
    let max_ms = (INITIAL_BACKOFF_MS << tries.min(10)).min(MAX_BACKOFF_MS);
    let delay_ms = rand::random_range(max_ms / 2..=max_ms);
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
}
