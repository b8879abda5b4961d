//! Claims of callers' keys in the platform.
//!
//! A key is claimed by creating it with the attempt's own tag before the first
//! byte of the command leaves. An answer lost after the write is resolved by
//! the tag that stands.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use policy::command::Claim;
use policy::command::ClaimAnswer;
use policy::command::ClaimState;

use super::Created;
use super::Platform;
use super::Result;
use super::Swapped;
use super::Written;
use super::create_or_read;
use super::swap_or_read;

const RETENTION_MS: u64 = 24 * 3_600_000;
const CLAIM_TRIES: u32 = 3;
const FINISH_TRIES: u32 = 20;
const FIRST_PAUSE_MS: u64 = 50;
const LONGEST_PAUSE_MS: u64 = 10_000;

/// The claims of callers' keys.
pub struct ClaimStore {
    platform: Arc<dyn Platform>,
    in_flight: AtomicU32,
    limit: u32,
}

impl ClaimStore {
    /// The claims in `platform`, of which `limit` may be in the making at once.
    pub fn new(platform: Arc<dyn Platform>, limit: u32) -> Self {
        Self {
            platform,
            in_flight: AtomicU32::new(0),
            limit,
        }
    }

    /// Claims a key for an attempt.
    pub async fn claim(&self, key: &Arc<str>, attempt: &Arc<str>) -> ClaimAnswer {
        if self.in_flight.fetch_add(1, Ordering::AcqRel) >= self.limit {
            self.in_flight.fetch_sub(1, Ordering::AcqRel);
            return ClaimAnswer::TooMany;
        }
        let answer = self.claim_with_retries(key, attempt).await;
        self.in_flight.fetch_sub(1, Ordering::AcqRel);
        answer
    }

    /// Records what became of an attempt, for as long as the platform needs.
    ///
    /// Returns whether it was recorded.
    pub async fn finish(&self, key: &Arc<str>, attempt: &Arc<str>, state: ClaimState) -> bool {
        for tries in 0..FINISH_TRIES {
            if self.record(key, attempt, state).await.is_ok() {
                return true;
            }
            pause(tries).await;
        }
        false
    }

    async fn claim_with_retries(&self, key: &Arc<str>, attempt: &Arc<str>) -> ClaimAnswer {
        for tries in 0..CLAIM_TRIES {
            match self.claim_once(key, attempt).await {
                Ok(answer) => return answer,
                Err(_) => pause(tries).await,
            }
        }
        ClaimAnswer::Unavailable
    }

    async fn claim_once(&self, key: &Arc<str>, attempt: &Arc<str>) -> Result<ClaimAnswer> {
        let written = value(key, attempt, ClaimState::Begun);
        let mut standing = match create_or_read(&*self.platform, written.clone()).await? {
            Created::Done => return Ok(ClaimAnswer::Won),
            Created::Exists(entry) => entry,
        };
        loop {
            let Ok(claim) = serde_json::from_str::<Claim>(&standing.value) else {
                return Ok(ClaimAnswer::Held(ClaimState::Unknown));
            };
            let answer = Claim::resolve(attempt, &claim);
            if answer != ClaimAnswer::Held(ClaimState::NotRun) {
                return Ok(answer);
            }
            // The holder has given up for good, so the key may change hands.
            match swap_or_read(&*self.platform, written.clone(), standing.version).await? {
                Swapped::Done => return Ok(ClaimAnswer::Won),
                Swapped::Conflict(Some(entry)) => standing = entry,
                Swapped::Conflict(None) => return Ok(ClaimAnswer::Held(ClaimState::Unknown)),
            }
        }
    }

    async fn record(&self, key: &Arc<str>, attempt: &Arc<str>, state: ClaimState) -> Result<()> {
        let Some(entry) = self.platform.get(key.clone()).await? else {
            return Ok(());
        };
        let ours = serde_json::from_str::<Claim>(&entry.value)
            .is_ok_and(|claim| claim.attempt == *attempt);
        if ours {
            swap_or_read(&*self.platform, value(key, attempt, state), entry.version).await?;
        }
        Ok(())
    }
}

fn value(key: &Arc<str>, attempt: &Arc<str>, state: ClaimState) -> Written {
    let claim = Claim {
        attempt: attempt.clone(),
        state,
    };
    Written {
        key: key.clone(),
        value: serde_json::to_string(&claim).unwrap_or_default().into(),
        ttl_ms: Some(RETENTION_MS),
    }
}

async fn pause(tries: u32) {
    let longest_ms = (FIRST_PAUSE_MS << tries.min(10)).min(LONGEST_PAUSE_MS);
    let pause_ms = rand::random_range(longest_ms / 2..=longest_ms);
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
}
