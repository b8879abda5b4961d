//! The latest changes of targets, for peers that have missed some.

use std::collections::VecDeque;

use super::TargetEntry;

/// Entries that are kept at most: as many as a large release of a service changes.
const KEPT_ENTRIES: usize = 512;

#[derive(Clone, Debug)]
struct Change {
    after: u64,
    revision: u64,
    entries: Vec<TargetEntry>,
}

/// Changes in order, each of all that changed between two revisions.
#[derive(Debug, Default)]
pub(super) struct History {
    changes: VecDeque<Change>,
}

impl History {
    /// Adds all that changed after one revision up to another.
    pub(super) fn add(&mut self, after: u64, revision: u64, entries: Vec<TargetEntry>) {
        self.changes.push_back(Change {
            after,
            revision,
            entries,
        });
        let kept = |changes: &VecDeque<Change>| -> usize {
            changes.iter().map(|change| change.entries.len()).sum()
        };
        while kept(&self.changes) > KEPT_ENTRIES && self.changes.len() > 1 {
            self.changes.pop_front();
        }
    }

    /// All entries that changed after a revision, in order; none if it is too long ago.
    pub(super) fn after(&self, revision: u64) -> Option<Vec<TargetEntry>> {
        let first = self.changes.front()?;
        if first.after > revision {
            return None;
        }
        let missed = self.changes.iter();
        let missed = missed.filter(|change| change.revision > revision);
        Some(missed.flat_map(|change| change.entries.clone()).collect())
    }
}
