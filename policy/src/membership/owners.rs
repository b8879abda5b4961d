//! Which instances own a service or a target.
//!
//! The owners of a service decide on the health of its targets; the first owner of a
//! target grants the permits to send to it.
//!
//! Instances are ranked by rendezvous hash within each data centre. The highest-ranked
//! instances of all data centres come before the others, so that a network partition
//! between data centres leaves an owner on each side. The rankings are updated member by
//! member: a change costs one hash per ranking instead of one per member and ranking.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Change;
use super::Membership;
use crate::rendezvous::weight;

/// Number of owners of a service or a target.
pub const OWNERS_PER_SERVICE: usize = 3;

type RankedInstance = (u64, Arc<str>);

#[derive(Debug, Default)]
struct Ranking {
    by_data_centre: BTreeMap<Arc<str>, Vec<RankedInstance>>,
}

impl Ranking {
    fn insert(&mut self, data_centre: &Arc<str>, entry: RankedInstance) {
        let ranked = self.by_data_centre.entry(data_centre.clone()).or_default();
        if ranked.contains(&entry) {
            return;
        }
        let position = ranked.partition_point(|other| *other > entry);
        if position < OWNERS_PER_SERVICE {
            ranked.insert(position, entry);
            ranked.truncate(OWNERS_PER_SERVICE);
        }
    }

    fn owners(&self) -> Vec<Arc<str>> {
        let firsts = self
            .by_data_centre
            .values()
            .filter_map(|ranked| ranked.first());
        let mut owners: Vec<&RankedInstance> = firsts.collect();
        owners.sort_by(|a, b| b.cmp(a));
        let mut rest: Vec<&RankedInstance> = self
            .by_data_centre
            .values()
            .flat_map(|ranked| ranked.iter().skip(1))
            .collect();
        rest.sort_by(|a, b| b.cmp(a));
        owners.extend(rest);
        owners.truncate(OWNERS_PER_SERVICE);
        owners.into_iter().map(|(_, id)| id.clone()).collect()
    }
}

/// Cached rankings of the instances for all services and targets queried so far.
#[derive(Debug, Default)]
pub struct Owners {
    by_key: BTreeMap<Arc<str>, Ranking>,
}

impl Owners {
    /// The owners of a service or a target, in order of preference.
    pub fn of(&mut self, key: &Arc<str>, membership: &Membership) -> Vec<Arc<str>> {
        let ranking = self
            .by_key
            .entry(key.clone())
            .or_insert_with(|| rank_all(key, membership));
        ranking.owners()
    }

    /// Applies a change in the set of present members.
    pub fn change(&mut self, change: &Change, membership: &Membership) {
        for (key, ranking) in &mut self.by_key {
            match change {
                Change::Joined(member) => {
                    let entry = (weight(&member.id, key), member.id.clone());
                    ranking.insert(&member.data_centre, entry);
                }
                Change::Left(member) => {
                    let ranked = ranking.by_data_centre.get(&member.data_centre);
                    let is_ranked =
                        ranked.is_some_and(|ranked| ranked.iter().any(|(_, id)| *id == member.id));
                    if is_ranked {
                        *ranking = rank_all(key, membership);
                    }
                }
                Change::Renewed(_) => {}
            }
        }
    }

    /// Removes the rankings of all keys for which `keep` returns `false`, such as services that
    /// are no longer in the configuration.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.by_key.retain(|key, _| keep(key));
    }
}

fn rank_all(key: &str, membership: &Membership) -> Ranking {
    let mut ranking = Ranking::default();
    // The instance itself counts as present while it stops, but owns nothing.
    let owners = membership.present().filter(|member| member.is_present());
    for member in owners {
        let entry = (weight(&member.id, key), member.id.clone());
        ranking.insert(&member.data_centre, entry);
    }
    ranking
}
