//! The latest changes of targets, for peers that missed some of them.

use std::collections::VecDeque;

use super::TargetEntry;

/// Maximum number of stored entries, unless a single change has more: as many as change
/// when a new version of a large service is rolled out.
const MAX_ENTRIES: usize = 512;

#[derive(Clone, Debug)]
struct Change {
    after: u64,
    revision: u64,
    complete_to: u64,
    entries: Vec<TargetEntry>,
}

/// All changes after a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MissedChanges {
    /// The entries that changed, in order.
    pub entries: Vec<TargetEntry>,
    /// Revision up to which the entries include every change; of the later changes they
    /// contain only the net difference.
    pub complete_to: u64,
}

/// Changes in order; each one covers all entries that changed between two revisions.
#[derive(Debug, Default)]
pub(super) struct History {
    changes: VecDeque<Change>,
}

impl History {
    /// Adds the changes after one revision up to another: every change up to
    /// `complete_to`, and only the net difference of the later ones.
    pub(super) fn add(
        &mut self,
        after: u64,
        revision: u64,
        complete_to: u64,
        entries: Vec<TargetEntry>,
    ) {
        self.changes.push_back(Change {
            after,
            revision,
            complete_to,
            entries,
        });
        let entry_count = |changes: &VecDeque<Change>| -> usize {
            changes.iter().map(|change| change.entries.len()).sum()
        };
        while entry_count(&self.changes) > MAX_ENTRIES && self.changes.len() > 1 {
            self.changes.pop_front();
        }
    }

    /// All changes after a revision; `None` if the history no longer covers it, or if it
    /// lies among changes of which only the net difference is known.
    pub(super) fn since(&self, revision: u64) -> Option<MissedChanges> {
        let oldest = self.changes.front()?;
        if oldest.after > revision {
            return None;
        }
        let missed = self.changes.iter();
        let missed = missed.filter(|change| change.revision > revision);
        let partial = missed.clone();
        let partial = partial.filter(|change| change.complete_to < change.revision);
        let complete_to = partial.map(|change| change.complete_to).min();
        let complete_to = complete_to.unwrap_or(u64::MAX);
        (revision <= complete_to).then(|| MissedChanges {
            entries: missed.flat_map(|change| change.entries.clone()).collect(),
            complete_to,
        })
    }
}
