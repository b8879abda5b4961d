//! Splits a configuration into parts, each small enough for one value in the
//! platform, and restores it from them.

use std::sync::Arc;

use super::Configuration;
use super::Customer;
use crate::Note;
use crate::note::Delta;
use crate::note::Result;

/// Maximum number of objects in a part.
const OBJECTS_PER_PART: usize = 3_000;
/// Maximum number of keys in a part: with 3,000 customers of the longest names, the part stays
/// below the largest size of a note.
const KEYS_PER_PART: usize = 4_000;

impl Configuration {
    /// Splits the configuration into parts, in the order in which they have to be applied.
    ///
    /// Services come first, because the objects in later parts refer to them.
    pub fn to_parts(&self) -> Vec<Note> {
        let mut parts = vec![Note {
            title: "snapshot".into(),
            services: add(self.services.values()),
            links: self.links.values().map(|link| (**link).clone()).collect(),
            closings: add(self.closings.values()),
            keys_required: self.are_keys_required.then_some(true),
            ..Note::default()
        }];
        for chunk in chunks(self.targets.values()) {
            parts.push(Note {
                targets: chunk,
                ..Note::default()
            });
        }
        for chunk in chunks(self.routes.values()) {
            parts.push(Note {
                routes: chunk,
                ..Note::default()
            });
        }
        for chunk in customer_chunks(self.customers.values()) {
            parts.push(Note {
                customers: chunk,
                ..Note::default()
            });
        }
        parts
    }

    /// Restores the configuration as of note `number` from its parts.
    ///
    /// # Errors
    ///
    /// Returns [`crate::NoteError`] if a part cannot be applied to the parts before it.
    pub fn from_parts(number: u64, parts: &[Note]) -> Result<Self> {
        let mut configuration = Self::default();
        for part in parts {
            configuration = part.apply(&configuration)?;
        }
        configuration.submissions.clear();
        configuration.number = number;
        Ok(configuration)
    }
}

fn add<'a, T: Clone + 'a>(objects: impl Iterator<Item = &'a Arc<T>>) -> Delta<T> {
    Delta {
        add: objects.map(|object| (**object).clone()).collect(),
        ..Delta::default()
    }
}

fn chunks<'a, T: Clone + 'a>(objects: impl Iterator<Item = &'a Arc<T>>) -> Vec<Delta<T>> {
    let objects: Vec<&Arc<T>> = objects.collect();
    objects
        .chunks(OBJECTS_PER_PART)
        .map(|chunk| add(chunk.iter().copied()))
        .collect()
}

fn customer_chunks<'a>(customers: impl Iterator<Item = &'a Arc<Customer>>) -> Vec<Delta<Customer>> {
    let mut chunks: Vec<Delta<Customer>> = Vec::new();
    let mut keys_in_chunk = 0;
    for customer in customers {
        let keys = customer.keys.as_ref().map_or(0, Vec::len);
        let has_room = |chunk: &Delta<Customer>| {
            chunk.add.len() < OBJECTS_PER_PART && keys_in_chunk + keys <= KEYS_PER_PART
        };
        if !chunks.last().is_some_and(has_room) {
            chunks.push(Delta::default());
            keys_in_chunk = 0;
        }
        keys_in_chunk += keys;
        if let Some(chunk) = chunks.last_mut() {
            chunk.add.push((**customer).clone());
        }
    }
    chunks
}
