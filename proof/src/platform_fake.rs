//! The platform as the simulation sees it.

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

/// How the platform behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlatformState {
    /// It answers.
    #[default]
    Up,
    /// It does not answer.
    Away,
    /// It answers after two seconds.
    Slow,
    /// Writes take effect and their answers are lost.
    LosesAnswers,
}

/// The platform.
#[derive(Debug, Default)]
pub(super) struct PlatformFake {
    pub(super) state: PlatformState,
    pub(super) keys: KeyValues,
    pub(super) members: Vec<Member>,
    pub(super) calls: u64,
    snapshot: Option<(u64, Vec<Arc<str>>)>,
}

impl PlatformFake {
    /// Answers a call; none if a watch goes on waiting.
    pub(super) fn answer(&mut self, now_ms: u64, call: &PlatformCall) -> Option<PlatformAnswer> {
        self.calls += 1;
        let away = self.state == PlatformState::Away;
        Some(match call {
            PlatformCall::WatchNotes { .. } if away => PlatformAnswer::NotesUnavailable,
            PlatformCall::WatchNotes { after, wait } => {
                let notes = self.notes_after(now_ms, *after);
                if notes.is_empty() && *wait {
                    return None;
                }
                PlatformAnswer::Notes(notes)
            }
            PlatformCall::ReadSnapshot if away => PlatformAnswer::SnapshotUnavailable,
            PlatformCall::ReadSnapshot => {
                let (number, parts) = self.snapshot.clone().unwrap_or_default();
                PlatformAnswer::Snapshot { number, parts }
            }
            PlatformCall::ListInstances if away => PlatformAnswer::InstancesUnavailable,
            PlatformCall::ListInstances => PlatformAnswer::Instances(self.members.clone()),
            PlatformCall::WriteSnapshot { .. } if away => PlatformAnswer::SnapshotNotWritten,
            PlatformCall::WriteSnapshot { number, parts } => {
                if self
                    .snapshot
                    .as_ref()
                    .is_none_or(|(standing, _)| standing < number)
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

    /// Creates note `number`; returns the text that stands.
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

    /// Claims a key; the boolean says whether the answer gets lost.
    pub(super) fn claim(&mut self, now_ms: u64, key: &str, attempt: &str) -> Option<ClaimAnswer> {
        self.calls += 1;
        if self.state == PlatformState::Away {
            return None;
        }
        let written = claim_value(key, attempt, ClaimState::Begun);
        let standing = match self.keys.create(now_ms, written.clone()) {
            CreateOutcome::Done => {
                return (self.state != PlatformState::LosesAnswers).then_some(ClaimAnswer::Won);
            }
            CreateOutcome::Exists(entry) => entry,
        };
        let claim: Claim = serde_json::from_str(&standing.value).ok()?;
        let answer = Claim::resolve(attempt, &claim);
        if answer != ClaimAnswer::Held(ClaimState::NotRun) {
            return Some(answer);
        }
        match self.keys.swap(now_ms, written, standing.version) {
            SwapOutcome::Done if self.state == PlatformState::LosesAnswers => None,
            SwapOutcome::Done => Some(ClaimAnswer::Won),
            SwapOutcome::Conflict(_) => Some(ClaimAnswer::Held(ClaimState::Unknown)),
        }
    }

    /// Records what became of an attempt, if its claim stands.
    pub(super) fn finish(&mut self, now_ms: u64, key: &str, attempt: &str, state: ClaimState) {
        let Some(entry) = self.keys.get(now_ms, key) else {
            return;
        };
        let ours = serde_json::from_str::<Claim>(&entry.value)
            .is_ok_and(|claim| *claim.attempt == *attempt);
        if ours {
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
