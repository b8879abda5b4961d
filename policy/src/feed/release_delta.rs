//! Differences between releases, for peers that have an earlier one.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;

use model::Configuration;
use model::Note;
use model::configuration::Named;
use model::note::Delta;
use serde::Deserialize;
use serde::Serialize;

use super::Release;

/// Maximum number of items of all stored differences together.
const MAX_ITEMS: usize = 2_000;

/// Names of the items that a release no longer contains.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemovedItems {
    /// Services.
    pub services: Vec<Arc<str>>,
    /// Routes.
    pub routes: Vec<Arc<str>>,
    /// Customers.
    pub customers: Vec<Arc<str>>,
}

impl RemovedItems {
    fn len(&self) -> usize {
        self.services.len() + self.routes.len() + self.customers.len()
    }
}

/// The changes that turn one release into a later one.
#[derive(Clone, Debug, PartialEq)]
pub struct ReleaseDelta {
    /// Number of the earlier release.
    pub base: u64,
    /// Whether the earlier release has customers.
    pub base_has_customers: bool,
    /// The later release, with the items that were added or changed and no others.
    pub put: Release,
    /// Items that were removed.
    pub removed: RemovedItems,
}

impl ReleaseDelta {
    /// The changes that `note` makes to `base`, the configuration of the earlier release.
    pub fn new(base: &Configuration, note: &Note, release: &Release) -> Self {
        let customers = release.customers.as_ref();
        Self {
            base: base.number,
            base_has_customers: base.are_keys_required(),
            put: Release {
                number: release.number,
                services: added_and_changed(&note.services),
                routes: added_and_changed(&note.routes),
                customers: customers.map(|_| added_and_changed(&note.customers)),
                idle_limit_ms: release.idle_limit_ms,
            },
            removed: RemovedItems {
                services: note.services.withdraw.clone(),
                routes: note.routes.withdraw.clone(),
                customers: note.customers.withdraw.clone(),
            },
        }
    }

    /// Returns the later release; `None` if `base` is not the earlier one.
    pub fn apply(&self, base: &Release) -> Option<Release> {
        let is_base =
            base.number == self.base && base.customers.is_some() == self.base_has_customers;
        if !is_base {
            return None;
        }
        let put = &self.put;
        let customers = put.customers.as_ref().map(|customers| {
            let base = base.customers.as_deref().unwrap_or_default();
            merge(base, customers, &self.removed.customers)
        });
        Some(Release {
            number: put.number,
            services: merge(&base.services, &put.services, &self.removed.services),
            routes: merge(&base.routes, &put.routes, &self.removed.routes),
            customers,
            idle_limit_ms: put.idle_limit_ms,
        })
    }

    /// Appends the changes that follow.
    fn then(self, next: &Self) -> Self {
        let put = &next.put;
        let customers = put.customers.as_ref().map(|customers| {
            let former = self.put.customers.as_deref().unwrap_or_default();
            merge(former, customers, &next.removed.customers)
        });
        let removed = &next.removed;
        Self {
            put: Release {
                number: put.number,
                services: merge(&self.put.services, &put.services, &removed.services),
                routes: merge(&self.put.routes, &put.routes, &removed.routes),
                customers,
                idle_limit_ms: put.idle_limit_ms,
            },
            removed: RemovedItems {
                services: merge_removed(self.removed.services, &put.services, &removed.services),
                routes: merge_removed(self.removed.routes, &put.routes, &removed.routes),
                customers: merge_removed(
                    self.removed.customers,
                    put.customers.as_deref().unwrap_or_default(),
                    &removed.customers,
                ),
            },
            ..self
        }
    }

    fn len(&self) -> usize {
        self.put.item_count() + self.removed.len()
    }
}

fn added_and_changed<T: Clone>(delta: &Delta<T>) -> Vec<T> {
    delta.add.iter().chain(&delta.change).cloned().collect()
}

/// The items of `former` with those of `put` added or replaced, and without the `removed` ones.
fn merge<T: Named + Clone>(former: &[T], put: &[T], removed: &[Arc<str>]) -> Vec<T> {
    let put_by_name: HashMap<&Arc<str>, &T> = put.iter().map(|item| (item.name(), item)).collect();
    let removed: HashSet<&Arc<str>> = removed.iter().collect();
    let is_kept =
        |item: &&T| !put_by_name.contains_key(item.name()) && !removed.contains(item.name());
    let kept = former.iter().filter(is_kept);
    kept.chain(put).cloned().collect()
}

/// Names that are missing after a second change: those removed by either, unless put again.
fn merge_removed<T: Named>(
    mut former: Vec<Arc<str>>,
    put: &[T],
    removed: &[Arc<str>],
) -> Vec<Arc<str>> {
    let put: HashSet<&Arc<str>> = put.iter().map(Named::name).collect();
    former.retain(|name| !put.contains(name));
    former.extend(removed.iter().cloned());
    former
}

/// The latest differences, each between two successive releases in force.
#[derive(Debug, Default)]
pub struct ReleaseHistory {
    deltas: VecDeque<ReleaseDelta>,
}

impl ReleaseHistory {
    /// Adds the change to a new release in force.
    pub fn add(&mut self, delta: ReleaseDelta) {
        let last = self.deltas.back();
        if last.is_some_and(|last| last.put.number != delta.base) {
            self.deltas.clear();
        }
        self.deltas.push_back(delta);
        while self.deltas.iter().map(ReleaseDelta::len).sum::<usize>() > MAX_ITEMS {
            self.deltas.pop_front();
        }
    }

    /// Forgets all differences, as a release in force has changed without a new number.
    pub fn clear(&mut self) {
        self.deltas.clear();
    }

    /// The difference between release `base` and the latest one; `None` if it is not stored.
    pub fn since(&self, base: u64) -> Option<ReleaseDelta> {
        let first = self.deltas.iter().position(|delta| delta.base == base)?;
        let mut following = self.deltas.iter().skip(first);
        let first = following.next()?.clone();
        Some(following.fold(first, ReleaseDelta::then))
    }
}
