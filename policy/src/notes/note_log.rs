//! Release notes in the order of their numbers.
//!
//! A note is applied only if its number directly follows the note in force, so that no
//! instance skips a note or returns to an earlier one.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::Configuration;
use model::Note;
use serde::Deserialize;
use serde::Serialize;

use crate::invariant;
use crate::invariant::Invariant;

/// Maximum total size of the notes retained for peers that are behind, in bytes.
const MAX_RETAINED_BYTES: usize = 4_000_000;

/// A note with its number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberedNote {
    /// Number of the note; the first one is 1.
    pub number: u64,
    /// The note as JSON.
    pub text: Arc<str>,
}

/// The result of offering a note.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferResult {
    /// The note was applied and is in force.
    Applied,
    /// The note is invalid, for the given reason: it uses its number but has no effect.
    Void(String),
    /// This note or a later one is already in force.
    Old,
    /// Notes before this one are missing.
    Gap,
}

/// The configuration in force and the latest notes.
#[derive(Debug, Default)]
pub struct NoteLog {
    configuration: Configuration,
    retained: BTreeMap<u64, Arc<str>>,
    retained_bytes: usize,
}

impl NoteLog {
    /// The configuration in force.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// The number of the note in force.
    pub fn number(&self) -> u64 {
        self.configuration.number
    }

    /// Applies a note if it directly follows the note in force.
    pub fn offer(&mut self, note: &NumberedNote) -> OfferResult {
        if note.number <= self.configuration.number {
            return OfferResult::Old;
        }
        if note.number > self.configuration.number + 1 {
            return OfferResult::Gap;
        }
        let parsed: Result<Note, _> = serde_json::from_str(&note.text);
        let (next, result) = match parsed {
            Ok(parsed) => match parsed.apply(&self.configuration) {
                Ok(next) => (next, OfferResult::Applied),
                Err(error) => (
                    parsed.skip(&self.configuration),
                    OfferResult::Void(error.to_string()),
                ),
            },
            Err(error) => (
                Note::default().skip(&self.configuration),
                OfferResult::Void(error.to_string()),
            ),
        };
        self.replace(next);
        self.retain_note(note);
        result
    }

    /// Replaces the configuration by a newer one; returns `false` if it is not newer.
    pub fn restore(&mut self, configuration: Configuration) -> bool {
        if configuration.number <= self.configuration.number {
            return false;
        }
        self.replace(configuration);
        self.retained.clear();
        self.retained_bytes = 0;
        true
    }

    /// Applies a change from the registry and gives the configuration `number`.
    ///
    /// # Errors
    ///
    /// Returns an error if the change is invalid; the configuration then stays as it was.
    pub fn apply_change(&mut self, number: u64, change: &Note) -> model::note::Result<()> {
        let mut next = change.apply_unbounded(&self.configuration)?;
        next.number = number;
        next.submissions = self.configuration.submissions.clone();
        if invariant::check(Invariant::NoRevert, number >= self.configuration.number) {
            self.configuration = next;
        }
        Ok(())
    }

    /// The notes after `number`, up to `max_bytes` but at least one; `None` if some of them are
    /// no longer retained.
    pub fn after(&self, number: u64, max_bytes: usize) -> Option<Vec<NumberedNote>> {
        if number >= self.configuration.number {
            return Some(Vec::new());
        }
        if !self.retained.contains_key(&(number + 1)) {
            return None;
        }
        let mut bytes = 0;
        let fits = |(_, text): &(&u64, &Arc<str>)| {
            bytes += text.len();
            bytes <= max_bytes || bytes == text.len()
        };
        let notes = self.retained.range(number + 1..).take_while(fits);
        Some(
            notes
                .map(|(number, text)| NumberedNote {
                    number: *number,
                    text: text.clone(),
                })
                .collect(),
        )
    }

    fn replace(&mut self, next: Configuration) {
        if invariant::check(Invariant::NoRevert, next.number > self.configuration.number) {
            self.configuration = next;
        }
    }

    fn retain_note(&mut self, note: &NumberedNote) {
        self.retained_bytes += note.text.len();
        self.retained.insert(note.number, note.text.clone());
        while self.retained_bytes > MAX_RETAINED_BYTES && self.retained.len() > 1 {
            if let Some((_, text)) = self.retained.pop_first() {
                self.retained_bytes -= text.len();
            }
        }
    }
}
