//! Subsets of a service's targets, one per instance.
//!
//! With many instances and targets, an instance's requests to all targets are so few per target
//! that its own count of requests in flight says nothing about a target's load, and that idle
//! connections expire unused. Each instance therefore prefers a subset.
//!
//! The slots of the targets form a ring, with the targets ordered by the hash of their names, so
//! that the targets of one machine or rack are spread over the ring. The instances, ordered by the
//! hash of their ids, divide the ring into as many arcs of equal length, and instance `i` uses the
//! arcs `i` to `i + copies - 1`. Each slot is thus in exactly `copies` subsets. An instance or target
//! that joins or leaves moves each boundary by at most one arc or target. Each data centre has a
//! ring for its own instances and one for all others.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::Configuration;
use xxhash_rust::xxh3::xxh3_64;

use super::Candidate;

/// Pairs of instances and targets of a service up to which each instance uses all targets.
const MAX_PAIRS_WITHOUT_SUBSET: usize = 4_000;
/// Number of subsets that each slot is in at least: a subset carries three times the instance's
/// share of the load.
const MIN_COPIES: usize = 3;
/// Number of targets of the own data centre, and of all others, in a subset at least.
const MIN_TARGETS: usize = 8;

/// Whether a configuration permits subsets.
pub fn permits_subsets(configuration: &Configuration) -> bool {
    let mut routes = configuration.routes.values();
    !configuration.customers.is_empty() || routes.any(|route| route.terms.priority.is_some())
}

/// The place of an instance among all instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SubsetPlace {
    data_centre: Arc<str>,
    /// Number of instances.
    instances: usize,
    /// Rank and number of instances in the own data centre.
    local: Ring,
    /// Rank and number of instances among those outside of each other data centre.
    remote: BTreeMap<Arc<str>, Ring>,
    /// Rank and number among all instances, for data centres without instances.
    all: Ring,
}

/// Rank of an instance among the instances that share a ring.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Ring {
    rank: usize,
    instances: usize,
}

impl SubsetPlace {
    /// Determines the place of `own_id` among instances, given with their data centres.
    pub fn new<'a>(
        own_id: &str,
        own_data_centre: &Arc<str>,
        instances: impl Iterator<Item = (&'a Arc<str>, &'a Arc<str>)>,
    ) -> Self {
        let own_key = ring_key(own_id);
        let mut ranks: BTreeMap<Arc<str>, Ring> = BTreeMap::new();
        for (id, data_centre) in instances {
            let ring = ranks.entry(data_centre.clone()).or_default();
            ring.instances += 1;
            ring.rank += usize::from(ring_key(id) < own_key);
        }
        let all = Ring {
            rank: ranks.values().map(|ring| ring.rank).sum(),
            instances: ranks.values().map(|ring| ring.instances).sum(),
        };
        let local = ranks.remove(own_data_centre).unwrap_or_default();
        let others = |ring: Ring| Ring {
            rank: all.rank - ring.rank,
            instances: all.instances - ring.instances,
        };
        Self {
            data_centre: own_data_centre.clone(),
            instances: all.instances,
            local,
            remote: ranks
                .into_iter()
                .map(|(name, r)| (name, others(r)))
                .collect(),
            all,
        }
    }

    fn ring(&self, data_centre: &Arc<str>) -> Ring {
        match *data_centre == self.data_centre {
            true => self.local,
            false => self.remote.get(data_centre).copied().unwrap_or(self.all),
        }
    }
}

/// The targets that an instance prefers, as candidate indexes. A target is listed once for each of
/// its slots in the subset, so that a random entry is weighted by slots.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Subset {
    /// Targets in the instance's data centre.
    pub local: Vec<usize>,
    /// Targets in other data centres.
    pub remote: Vec<usize>,
}

impl Subset {
    /// Determines the subset; `None` if the instance uses all targets.
    pub fn new(place: &SubsetPlace, candidates: &[Candidate]) -> Option<Self> {
        if place.instances * candidates.len() <= MAX_PAIRS_WITHOUT_SUBSET {
            return None;
        }
        let mut by_data_centre: BTreeMap<&Arc<str>, Vec<usize>> = BTreeMap::new();
        for (index, candidate) in candidates.iter().enumerate() {
            let data_centre = &candidate.target.data_centre;
            by_data_centre.entry(data_centre).or_default().push(index);
        }
        let is_local = |data_centre: &Arc<str>| *data_centre == place.data_centre;
        let remote_data_centres = by_data_centre.keys().filter(|name| !is_local(name)).count();
        let mut subset = Self::default();
        for (data_centre, mut indexes) in by_data_centre {
            indexes.sort_by_cached_key(|index| ring_key(&candidates[*index].target.name));
            let (list, min_targets) = match is_local(data_centre) {
                true => (&mut subset.local, MIN_TARGETS),
                false => (
                    &mut subset.remote,
                    MIN_TARGETS.div_ceil(remote_data_centres),
                ),
            };
            list.extend(arcs(
                place.ring(data_centre),
                &indexes,
                min_targets,
                candidates,
            ));
        }
        Some(subset)
    }

    /// Number of different targets.
    pub fn target_count(&self) -> usize {
        let mut indexes = [self.local.as_slice(), self.remote.as_slice()].concat();
        indexes.sort_unstable();
        indexes.dedup();
        indexes.len()
    }
}

/// The slots on the instance's arcs of a ring of targets.
fn arcs(ring: Ring, indexes: &[usize], min_targets: usize, candidates: &[Candidate]) -> Vec<usize> {
    let slots =
        |index: &usize| std::iter::repeat_n(*index, candidates[*index].target.slots as usize);
    let units: Vec<usize> = indexes.iter().flat_map(slots).collect();
    let instances = ring.instances.max(1);
    let copies = (min_targets * instances).div_ceil(indexes.len().max(1));
    let copies = copies.max(MIN_COPIES).min(instances);
    let boundary = |arc: usize| arc * units.len() / instances;
    let covered = boundary(ring.rank)..boundary(ring.rank + copies);
    covered.map(|unit| units[unit % units.len()]).collect()
}

/// Position in the order of a ring; equal hashes are ordered by name.
fn ring_key(name: &str) -> (u64, &str) {
    (xxh3_64(name.as_bytes()), name)
}
