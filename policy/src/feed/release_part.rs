//! Parts of a release, or of the difference to an earlier one, that fit into a message each.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::Release;
use super::ReleaseAccess;
use super::release_delta::ReleaseDelta;
use super::release_delta::RemovedItems;

/// Maximum number of items of a part, which has some 25 KB then and delays an alert by 20 ms on a link
/// of 10 Mbit/s.
const ITEMS_PER_PART: usize = 200;

/// Number of items of a release, by kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ItemCounts {
    services: u32,
    routes: u32,
    customers: Option<u32>,
}

impl ItemCounts {
    fn of(release: &Release) -> Self {
        let customers = release.customers.as_ref();
        Self {
            services: release.services.len() as u32,
            routes: release.routes.len() as u32,
            customers: customers.map(|customers| customers.len() as u32),
        }
    }
}

/// A part of a release.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReleasePart {
    /// Number of the earlier release to which the parts are the difference; 0 if they are the
    /// complete release.
    base: u64,
    base_has_customers: bool,
    /// Index of the part, from 0.
    index: u32,
    /// Number of parts.
    count: u32,
    /// Items of the complete release, by which a wrong result is detected.
    totals: ItemCounts,
    /// The release with the items of this part.
    items: Release,
    /// Its customers and priorities.
    access: Option<ReleaseAccess>,
    /// Items that the release no longer contains; all of them are in the first part.
    removed: RemovedItems,
}

impl ReleasePart {
    /// Part `index` of a complete release; `None` if it has fewer parts.
    pub fn of_release(release: &Release, index: u32) -> Option<Self> {
        let nothing_removed = RemovedItems::default();
        Self::new((0, false), release, &nothing_removed, release, index)
    }

    /// Part `index` of the difference to an earlier release; `None` if it has fewer parts.
    pub fn of_delta(delta: &ReleaseDelta, release: &Release, index: u32) -> Option<Self> {
        let base = (delta.base, delta.base_has_customers);
        Self::new(base, &delta.put, &delta.removed, release, index)
    }

    fn new(
        (base, base_has_customers): (u64, bool),
        put: &Release,
        removed: &RemovedItems,
        complete: &Release,
        index: u32,
    ) -> Option<Self> {
        let count = put.item_count().div_ceil(ITEMS_PER_PART).max(1) as u32;
        if index >= count {
            return None;
        }
        let mut window = Window {
            skipped: index as usize * ITEMS_PER_PART,
            taken: ITEMS_PER_PART,
        };
        let items = Release {
            number: put.number,
            services: window.take(&put.services),
            routes: window.take(&put.routes),
            customers: put
                .customers
                .as_ref()
                .map(|customers| window.take(customers)),
            idle_limit_ms: put.idle_limit_ms,
        };
        Some(Self {
            base,
            base_has_customers,
            index,
            count,
            totals: ItemCounts::of(complete),
            access: items.access(),
            items,
            removed: match index {
                0 => removed.clone(),
                _ => RemovedItems::default(),
            },
        })
    }

    /// Number of the release.
    pub fn number(&self) -> u64 {
        self.items.number
    }

    /// Number of items in the part.
    pub fn item_count(&self) -> usize {
        self.items.item_count()
    }
}

/// A range of consecutive items over several lists.
struct Window {
    /// Items to skip before the range.
    skipped: usize,
    /// Items left in the range.
    taken: usize,
}

impl Window {
    fn take<T: Clone>(&mut self, items: &[T]) -> Vec<T> {
        let from = self.skipped.min(items.len());
        let until = items.len().min(from + self.taken);
        self.skipped -= from;
        self.taken -= until - from;
        items[from..until].to_vec()
    }
}

/// The parts of a release that a peer has sent so far.
#[derive(Debug)]
pub(super) struct IncomingRelease {
    parts: Vec<Option<ReleasePart>>,
}

impl IncomingRelease {
    /// Begins with the first part that was received; `None` if the part is invalid.
    pub(super) fn new(part: ReleasePart) -> Option<Self> {
        const MAX_PARTS: u32 = 10_000;
        if part.index >= part.count || part.count > MAX_PARTS {
            return None;
        }
        let mut parts = vec![None; part.count as usize];
        let index = part.index as usize;
        parts[index] = Some(part);
        Some(Self { parts })
    }

    /// Adds a part; returns `false` if it belongs to another release or difference.
    pub(super) fn add(&mut self, part: ReleasePart) -> bool {
        let mut received = self.parts.iter().flatten();
        let is_same = received.next().is_some_and(|first| {
            first.number() == part.number()
                && first.base == part.base
                && first.count == part.count
                && first.totals == part.totals
        });
        if is_same && let Some(place) = self.parts.get_mut(part.index as usize) {
            *place = Some(part);
        }
        is_same
    }

    /// Index of the first part that is missing; `None` if all are there.
    pub(super) fn first_missing(&self) -> Option<u32> {
        let index = self.parts.iter().position(Option::is_none)?;
        Some(index as u32)
    }

    /// Number of the release.
    pub(super) fn number(&self) -> u64 {
        let mut received = self.parts.iter().flatten();
        received.next().map_or(0, ReleasePart::number)
    }

    /// Number of parts.
    pub(super) fn part_count(&self) -> usize {
        self.parts.len()
    }

    /// Assembles the release; `None` if the difference is not to `own`, or the result has not the
    /// items that the peer's release has.
    pub(super) fn finish(self, own: Option<&Release>) -> Option<Release> {
        let mut parts = self.parts.into_iter().flatten();
        let first = parts.next()?;
        let (base, base_has_customers) = (first.base, first.base_has_customers);
        let (totals, removed) = (first.totals, first.removed.clone());
        let mut put = first.into_items();
        for part in parts {
            put.append(part.into_items());
        }
        let release = match base {
            0 => put,
            _ => {
                let delta = ReleaseDelta {
                    base,
                    base_has_customers,
                    put,
                    removed,
                };
                delta.apply(own?)?
            }
        };
        (ItemCounts::of(&release) == totals).then_some(release)
    }
}

impl ReleasePart {
    fn into_items(self) -> Release {
        match self.access {
            Some(access) => self.items.with_access(access),
            None => self.items,
        }
    }
}

impl Release {
    /// Number of services, routes and customers.
    pub(super) fn item_count(&self) -> usize {
        let customers = self.customers.as_ref().map_or(0, Vec::len);
        self.services.len() + self.routes.len() + customers
    }

    fn append(&mut self, other: Self) {
        self.services.extend(other.services);
        self.routes.extend(other.routes);
        if let (Some(customers), Some(others)) = (&mut self.customers, other.customers) {
            customers.extend(others);
        }
    }
}

/// A request for parts of a release.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartsRequest {
    /// Number of the sender's release, to which the difference is requested; 0 requests the
    /// complete release.
    pub base: u64,
    /// Number of the release whose parts are requested; 0 before the first part is received.
    pub number: u64,
    /// Index of the first part that is requested.
    pub index: u32,
    /// Whether the sender takes the complete release if the difference is not known.
    pub accepts_complete: bool,
}

/// A request and the peer that it goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressedRequest {
    /// Id of the peer.
    pub to: Arc<str>,
    /// The request.
    pub request: PartsRequest,
}
