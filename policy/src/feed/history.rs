//! The latest changes of targets, for peers that have missed some.

use std::collections::VecDeque;

use super::TargetEntry;

/// Entries that are kept at most: as many as a large release of a service changes.
const KEPT_ENTRIES: usize = 512;

#[derive(Clone, Debug)]
struct Change {
    after: u64,
    revision: u64,
    complete_to: u64,
    entries: Vec<TargetEntry>,
}

/// All that changed after a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Missed {
    /// The entries that changed, in order.
    pub entries: Vec<TargetEntry>,
    /// Revision up to which each change is among them; of those after it only what
    /// differs in the end.
    pub complete_to: u64,
}

/// Changes in order, each of all that changed between two revisions.
#[derive(Debug, Default)]
pub(super) struct History {
    changes: VecDeque<Change>,
}

impl History {
    /// Adds all that changed after one revision up to another, each change up to
    /// `complete_to` and of those after it only what differs in the end.
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
        let kept = |changes: &VecDeque<Change>| -> usize {
            changes.iter().map(|change| change.entries.len()).sum()
        };
        while kept(&self.changes) > KEPT_ENTRIES && self.changes.len() > 1 {
            self.changes.pop_front();
        }
    }

    /// All that changed after a revision; none if it is too long ago, or lies among
    /// changes of which only what differs in the end is known.
    pub(super) fn after(&self, revision: u64) -> Option<Missed> {
        let first = self.changes.front()?;
        if first.after > revision {
            return None;
        }
        let missed = self.changes.iter();
        let missed = missed.filter(|change| change.revision > revision);
        let partial = missed.clone();
        let partial = partial.filter(|change| change.complete_to < change.revision);
        let complete_to = partial.map(|change| change.complete_to).min();
        let complete_to = complete_to.unwrap_or(u64::MAX);
        (revision <= complete_to).then(|| Missed {
            entries: missed.flat_map(|change| change.entries.clone()).collect(),
            complete_to,
        })
    }
}
