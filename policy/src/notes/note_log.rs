//! Release notes in their order.
//!
//! A note takes effect only as the one right after the note in force, so that
//! no instance skips one or goes back.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::Note;
use model::World;
use serde::Deserialize;
use serde::Serialize;

use crate::invariant;
use crate::invariant::Invariant;

/// Bytes of notes kept to answer peers.
const KEPT_BYTES: usize = 4_000_000;

/// A note's text and its number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberedNote {
    /// The note's number, from 1.
    pub number: u64,
    /// The note as JSON.
    pub text: Arc<str>,
}

/// What came of offering a note.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Offered {
    /// The note is in force.
    Applied,
    /// The note is in the log and has no effect, for the reason given.
    Void(String),
    /// The note or a later one is in force already.
    Old,
    /// Notes before it are missing.
    Gap,
}

/// The configuration in force and the latest notes.
#[derive(Debug, Default)]
pub struct NoteLog {
    world: World,
    kept: BTreeMap<u64, Arc<str>>,
    kept_bytes: usize,
}

impl NoteLog {
    /// The configuration in force.
    pub fn world(&self) -> &World {
        &self.world
    }

    /// The number of the note in force.
    pub fn number(&self) -> u64 {
        self.world.number
    }

    /// Takes in a note.
    pub fn offer(&mut self, note: &NumberedNote) -> Offered {
        if note.number <= self.world.number {
            return Offered::Old;
        }
        if note.number > self.world.number + 1 {
            return Offered::Gap;
        }
        let parsed: Result<Note, _> = serde_json::from_str(&note.text);
        let (next, offered) = match parsed {
            Ok(parsed) => match parsed.apply(&self.world) {
                Ok(next) => (next, Offered::Applied),
                Err(error) => (parsed.skip(&self.world), Offered::Void(error.to_string())),
            },
            Err(error) => (
                Note::default().skip(&self.world),
                Offered::Void(error.to_string()),
            ),
        };
        self.replace(next);
        self.keep(note);
        offered
    }

    /// Takes in a whole configuration, if it is newer; true if it was taken.
    pub fn restore(&mut self, world: World) -> bool {
        if world.number <= self.world.number {
            return false;
        }
        self.replace(world);
        self.kept.clear();
        self.kept_bytes = 0;
        true
    }

    /// Takes in a change that a registry tells, and the number that it leaves.
    ///
    /// # Errors
    ///
    /// Returns the error of applying the change; nothing has changed then.
    pub fn adjust(&mut self, number: u64, change: &Note) -> model::note::Result<()> {
        let mut next = change.apply(&self.world)?;
        next.number = number;
        next.submissions = self.world.submissions.clone();
        if invariant::check(Invariant::NoRevert, number >= self.world.number) {
            self.world = next;
        }
        Ok(())
    }

    /// The notes after `number`; none if some of them are no longer kept.
    pub fn after(&self, number: u64, max_bytes: usize) -> Option<Vec<NumberedNote>> {
        if number >= self.world.number {
            return Some(Vec::new());
        }
        if !self.kept.contains_key(&(number + 1)) {
            return None;
        }
        let mut bytes = 0;
        let fits = |(_, text): &(&u64, &Arc<str>)| {
            bytes += text.len();
            bytes <= max_bytes || bytes == text.len()
        };
        let notes = self.kept.range(number + 1..).take_while(fits);
        Some(
            notes
                .map(|(number, text)| NumberedNote {
                    number: *number,
                    text: text.clone(),
                })
                .collect(),
        )
    }

    fn replace(&mut self, next: World) {
        if invariant::check(Invariant::NoRevert, next.number > self.world.number) {
            self.world = next;
        }
    }

    fn keep(&mut self, note: &NumberedNote) {
        self.kept_bytes += note.text.len();
        self.kept.insert(note.number, note.text.clone());
        while self.kept_bytes > KEPT_BYTES && self.kept.len() > 1 {
            if let Some((_, text)) = self.kept.pop_first() {
                self.kept_bytes -= text.len();
            }
        }
    }
}
