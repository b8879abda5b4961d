//! Fake of the platform for the simulation, with outages and lost answers.

use std::sync::Arc;

use border::CreateOutcome;
use border::RangeQuery;
use border::SwapOutcome;
use border::WriteRequest;
use policy::command::Claim;
use policy::command::ClaimAnswer;
use policy::command::ClaimState;
use policy::instance::PlatformAnswer;
use policy::instance::PlatformCall;
use policy::membership::Member;
use policy::notes::NumberedNote;
use standin::KeyValues;

/// State of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlatformState {
    /// It answers.
    #[default]
    Up,
    /// It does not answer.
    Away,
    /// It answers after two seconds, which is too late for claims.
    Slow,
    /// Writes take effect but their answers are lost.
    LosesAnswers,
}

/// A platform that stores its keys in memory.
#[derive(Debug, Default)]
pub(super) struct PlatformFake {
    pub(super) state: PlatformState,
    pub(super) keys: KeyValues,
    pub(super) members: Vec<Member>,
    pub(super) calls: u64,
    snapshot: Option<(u64, Vec<Arc<str>>)>,
}

impl PlatformFake {
    /// Answers a call, or returns `None` if a watch has to wait for new notes.
    pub(super) fn answer(&mut self, now_ms: u64, call: &PlatformCall) -> Option<PlatformAnswer> {
        self.calls += 1;
        let is_away = self.state == PlatformState::Away;
        Some(match call {
            PlatformCall::WatchNotes { .. } if is_away => PlatformAnswer::NotesUnavailable,
            PlatformCall::WatchNotes { after, wait } => {
                let notes = self.notes_after(now_ms, *after);
                if notes.is_empty() && *wait {
                    return None;
                }
                PlatformAnswer::Notes(notes)
            }
            PlatformCall::ReadSnapshot if is_away => PlatformAnswer::SnapshotUnavailable,
            PlatformCall::ReadSnapshot => {
                let (number, parts) = self.snapshot.clone().unwrap_or_default();
                PlatformAnswer::Snapshot { number, parts }
            }
            PlatformCall::ListInstances if is_away => PlatformAnswer::InstancesUnavailable,
            PlatformCall::ListInstances => PlatformAnswer::Instances(self.members.clone()),
            PlatformCall::WriteSnapshot { .. } if is_away => PlatformAnswer::SnapshotNotWritten,
            PlatformCall::WriteSnapshot { number, parts } => {
                if self
                    .snapshot
                    .as_ref()
                    .is_none_or(|(stored, _)| stored < number)
                {
                    self.snapshot = Some((*number, parts.clone()));
                }
                PlatformAnswer::SnapshotWritten { number: *number }
            }
        })
    }

    pub(super) fn notes_after(&self, now_ms: u64, number: u64) -> Vec<NumberedNote> {
        let query = RangeQuery {
            prefix: "notes/".into(),
            after: note_key(number),
            max_bytes: 800_000,
            wait_ms: 0,
        };
        let entries = self.keys.range(now_ms, &query).into_iter();
        let numbered = entries.filter_map(|entry| {
            Some(NumberedNote {
                number: entry.key.strip_prefix("notes/")?.parse().ok()?,
                text: entry.value,
            })
        });
        numbered.collect()
    }

    /// Creates note `number` unless it exists. Returns the stored text.
    pub(super) fn create_note(&mut self, now_ms: u64, number: u64, text: &str) -> Arc<str> {
        let written = WriteRequest {
            key: note_key(number),
            value: text.into(),
            ttl_ms: None,
        };
        match self.keys.create(now_ms, written) {
            CreateOutcome::Done => text.into(),
            CreateOutcome::Exists(entry) => entry.value,
        }
    }

    /// Claims a key. Returns `None` if the caller receives no answer.
    pub(super) fn claim(&mut self, now_ms: u64, key: &str, attempt: &str) -> Option<ClaimAnswer> {
        self.calls += 1;
        if self.state == PlatformState::Away {
            return None;
        }
        let claim_entry = claim_value(key, attempt, ClaimState::Begun);
        let stored = match self.keys.create(now_ms, claim_entry.clone()) {
            CreateOutcome::Done => {
                return (self.state != PlatformState::LosesAnswers).then_some(ClaimAnswer::Won);
            }
            CreateOutcome::Exists(entry) => entry,
        };
        let claim: Claim = serde_json::from_str(&stored.value).ok()?;
        let answer = Claim::resolve(attempt, &claim);
        if answer != ClaimAnswer::Held(ClaimState::NotRun) {
            return Some(answer);
        }
        match self.keys.swap(now_ms, claim_entry, stored.version) {
            SwapOutcome::Done if self.state == PlatformState::LosesAnswers => None,
            SwapOutcome::Done => Some(ClaimAnswer::Won),
            SwapOutcome::Conflict(_) => Some(ClaimAnswer::Held(ClaimState::Unknown)),
        }
    }

    /// Records the outcome of an attempt if the attempt still holds the claim.
    pub(super) fn finish(&mut self, now_ms: u64, key: &str, attempt: &str, state: ClaimState) {
        let Some(entry) = self.keys.get(now_ms, key) else {
            return;
        };
        let is_own = serde_json::from_str::<Claim>(&entry.value)
            .is_ok_and(|claim| *claim.attempt == *attempt);
        if is_own {
            self.keys
                .swap(now_ms, claim_value(key, attempt, state), entry.version);
        }
    }
}

fn note_key(number: u64) -> Arc<str> {
    format!("notes/{number:020}").into()
}

fn claim_value(key: &str, attempt: &str, state: ClaimState) -> WriteRequest {
    let claim = Claim {
        attempt: attempt.into(),
        state,
    };
    WriteRequest {
        key: key.into(),
        value: serde_json::to_string(&claim).unwrap_or_default().into(),
        ttl_ms: None,
    }
}
