//! The log of release notes, stored in the platform.
//!
//! Note `n` has a key that is created only if absent, so of several concurrent submissions
//! the first to create it gets the number. A repeated submission, for instance after a
//! lost reply, is recognised by its submission id.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use model::Configuration;
use model::Note;
use model::NoteError;
use model::ResultCode;
use policy::notes::NumberedNote;

use super::CreateOutcome;
use super::Platform;
use super::PlatformError;
use super::RangeQuery;
use super::Result;
use super::SnapshotStore;
use super::WriteRequest;
use super::create_or_read;

const PREFIX: &str = "notes/";
const MAX_READ_BYTES: usize = 800_000;
const MAX_TRIES: u32 = 12;
const RETRY_DELAY_MS: u64 = 250;

/// An accepted submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submitted {
    /// The note's number.
    pub number: u64,
    /// Whether an earlier attempt of the same submission had already stored it.
    pub is_duplicate: bool,
}

/// Reason why a submission was rejected or its result is unknown.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum SubmitError {
    /// The note cannot be applied to the configuration in force.
    #[display("{_0}")]
    Note(NoteError),
    /// A concurrent submission took the number.
    #[display(
        "{}: note {number}, submission `{submission}`: {title}",
        ResultCode::NoteConflict
    )]
    #[from(skip)]
    NumberTaken {
        /// Number of the other note.
        number: u64,
        /// Submission id of the other note.
        submission: Arc<str>,
        /// Title of the other note.
        title: Arc<str>,
    },
    /// The platform does not answer, so the note may or may not be stored. Submitting again
    /// under the same submission id is safe.
    #[display("{_0}; submit again under the same submission id")]
    Platform(PlatformError),
}

/// The log of release notes in a platform.
#[derive(Clone)]
pub struct NoteStore {
    platform: Arc<dyn Platform>,
}

impl NoteStore {
    /// Creates a client of the log in `platform`.
    pub fn new(platform: Arc<dyn Platform>) -> Self {
        Self { platform }
    }

    /// Reads the notes with numbers above `number`, in order; waits up to `wait_ms` if there is
    /// none.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if the platform does not answer.
    pub async fn after(&self, number: u64, wait_ms: u64) -> Result<Vec<NumberedNote>> {
        let query = RangeQuery {
            prefix: PREFIX.into(),
            after: key(number),
            max_bytes: MAX_READ_BYTES,
            wait_ms,
        };
        let entries = self.platform.range(query).await?;
        let notes = entries.into_iter().filter_map(|entry| {
            let number = entry.key.strip_prefix(PREFIX)?.parse().ok()?;
            Some(NumberedNote {
                number,
                text: entry.value,
            })
        });
        Ok(notes.collect())
    }

    /// Reads a note; `None` if it does not exist or cannot be parsed.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if the platform does not answer.
    pub async fn read(&self, number: u64) -> Result<Option<Note>> {
        let entry = self.platform.get(key(number)).await?;
        Ok(entry.and_then(|entry| serde_json::from_str(&entry.value).ok()))
    }

    /// Reads the configuration as of the last note, starting from the latest snapshot.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if the platform does not answer.
    pub async fn configuration(&self) -> Result<Configuration> {
        let snapshots = SnapshotStore::new(self.platform.clone());
        let mut log = policy::notes::NoteLog::default();
        if let Some((number, parts)) = snapshots.read().await? {
            let parts: Vec<Note> = parts
                .iter()
                .filter_map(|part| serde_json::from_str(part).ok())
                .collect();
            if let Ok(configuration) = Configuration::from_parts(number, &parts) {
                log.restore(configuration);
            }
        }
        loop {
            let notes = self.after(log.number(), 0).await?;
            if notes.is_empty() {
                return Ok(log.configuration().clone());
            }
            for note in &notes {
                log.offer(note);
            }
        }
    }

    /// Submits a note. Its submission id must be set, as it makes repeated submissions safe.
    ///
    /// # Errors
    ///
    /// Returns [`SubmitError`] if the note cannot be applied to the configuration, if another
    /// note took the number, or if the platform does not answer.
    pub async fn submit(&self, note: &Note) -> std::result::Result<Submitted, SubmitError> {
        let configuration = self.retry(|| self.configuration()).await?;
        if let Some(number) = find_submission(&configuration, &note.submission) {
            return Ok(Submitted {
                number,
                is_duplicate: true,
            });
        }
        note.apply(&configuration)?;
        let number = configuration.number + 1;
        let request = WriteRequest {
            key: key(number),
            value: serde_json::to_string(note).unwrap_or_default().into(),
            ttl_ms: None,
        };
        let created = self
            .retry(|| create_or_read(&*self.platform, request.clone()))
            .await?;
        let entry = match created {
            CreateOutcome::Done => {
                return Ok(Submitted {
                    number,
                    is_duplicate: false,
                });
            }
            CreateOutcome::Exists(entry) => entry,
        };
        let other: Note = serde_json::from_str(&entry.value).unwrap_or_default();
        if other.submission == note.submission {
            return Ok(Submitted {
                number,
                is_duplicate: true,
            });
        }
        Err(SubmitError::NumberTaken {
            number,
            submission: other.submission,
            title: other.title,
        })
    }

    /// Repeats an idempotent call until the platform answers, up to [`MAX_TRIES`] times.
    async fn retry<T, F: Future<Output = Result<T>>>(&self, call: impl Fn() -> F) -> Result<T> {
        let mut tries = 1;
        loop {
            match call().await {
                Err(_) if tries < MAX_TRIES => tries += 1,
                result => return result,
            }
            let jitter_ms = rand::random_range(0..RETRY_DELAY_MS);
            tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS + jitter_ms)).await;
        }
    }
}

fn key(number: u64) -> Arc<str> {
    format!("{PREFIX}{number:020}").into()
}

fn find_submission(configuration: &Configuration, submission: &str) -> Option<u64> {
    let submissions = configuration.submissions.iter();
    let mut matches =
        submissions.filter(|(_, other)| !submission.is_empty() && &***other == submission);
    matches.next().map(|(number, _)| *number)
}
