//! The log of release notes in the platform.
//!
//! Note `n` is a key that is created only if absent, so the first to create it
//! wins. A submission whose answer was lost is recognised by its id.

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

use super::Created;
use super::Platform;
use super::PlatformError;
use super::RangeQuery;
use super::Result;
use super::SnapshotStore;
use super::Written;
use super::create_or_read;

const PREFIX: &str = "notes/";
const READ_BYTES: usize = 800_000;
const TRIES: u32 = 12;
const PAUSE_MS: u64 = 250;

/// An accepted submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submitted {
    /// The note's number.
    pub number: u64,
    /// Whether an earlier attempt of the same submission had put it in.
    pub earlier: bool,
}

/// Why a submission was not accepted, or is not known to be.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum SubmitError {
    /// The note does not fit the configuration in force.
    #[display("{_0}")]
    Note(NoteError),
    /// Another note took the number.
    #[display(
        "{}: note {number}, submission `{submission}`: {title}",
        ResultCode::NoteConflict
    )]
    #[from(skip)]
    Raced {
        /// Number of the other note.
        number: u64,
        /// Its submission.
        submission: Arc<str>,
        /// Its title.
        title: Arc<str>,
    },
    /// The platform does not answer; submit again under the same id.
    #[display("{_0}; submit again under the same submission id")]
    Platform(PlatformError),
}

/// The log of notes.
#[derive(Clone)]
pub struct NoteStore {
    platform: Arc<dyn Platform>,
}

impl NoteStore {
    /// The log in `platform`.
    pub fn new(platform: Arc<dyn Platform>) -> Self {
        Self { platform }
    }

    /// Reads notes after a number, in order; waits for one if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if the platform does not answer.
    pub async fn after(&self, number: u64, wait_ms: u64) -> Result<Vec<NumberedNote>> {
        let query = RangeQuery {
            prefix: PREFIX.into(),
            after: key(number),
            max_bytes: READ_BYTES,
            wait_ms,
        };
        let entries = self.platform.range(query).await?;
        let numbered = entries.into_iter().filter_map(|entry| {
            let number = entry.key.strip_prefix(PREFIX)?.parse().ok()?;
            Some(NumberedNote {
                number,
                text: entry.value,
            })
        });
        Ok(numbered.collect())
    }

    /// Reads one note.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if the platform does not answer.
    pub async fn read(&self, number: u64) -> Result<Option<Note>> {
        let entry = self.platform.get(key(number)).await?;
        Ok(entry.and_then(|entry| serde_json::from_str(&entry.value).ok()))
    }

    /// Reads the configuration after the last note.
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

    /// Submits a note; its submission id must be set.
    ///
    /// # Errors
    ///
    /// Returns [`SubmitError`] if the note does not fit, if another one came
    /// first, or if the platform stays away.
    pub async fn submit(&self, note: &Note) -> std::result::Result<Submitted, SubmitError> {
        let configuration = self.persist(|| self.configuration()).await?;
        if let Some(number) = number_of(&configuration, &note.submission) {
            return Ok(Submitted {
                number,
                earlier: true,
            });
        }
        note.apply(&configuration)?;
        let number = configuration.number + 1;
        let written = Written {
            key: key(number),
            value: serde_json::to_string(note).unwrap_or_default().into(),
            ttl_ms: None,
        };
        let created = self
            .persist(|| create_or_read(&*self.platform, written.clone()))
            .await?;
        let entry = match created {
            Created::Done => {
                return Ok(Submitted {
                    number,
                    earlier: false,
                });
            }
            Created::Exists(entry) => entry,
        };
        let other: Note = serde_json::from_str(&entry.value).unwrap_or_default();
        if other.submission == note.submission {
            return Ok(Submitted {
                number,
                earlier: true,
            });
        }
        Err(SubmitError::Raced {
            number,
            submission: other.submission,
            title: other.title,
        })
    }

    /// Repeats a call that may be repeated until the platform answers.
    async fn persist<T, F: Future<Output = Result<T>>>(&self, call: impl Fn() -> F) -> Result<T> {
        let mut tries = 1;
        loop {
            match call().await {
                Err(_) if tries < TRIES => tries += 1,
                result => return result,
            }
            let jitter_ms = rand::random_range(0..PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(PAUSE_MS + jitter_ms)).await;
        }
    }
}

fn key(number: u64) -> Arc<str> {
    format!("{PREFIX}{number:020}").into()
}

fn number_of(configuration: &Configuration, submission: &str) -> Option<u64> {
    let known = configuration.submissions.iter();
    let mut same = known.filter(|(_, other)| !submission.is_empty() && &***other == submission);
    same.next().map(|(number, _)| *number)
}
