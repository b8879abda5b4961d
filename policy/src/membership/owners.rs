//! Which instances are home of a service.
//!
//! Each data centre keeps its highest ones by rendezvous hash; the homes are
//! the best of each data centre first, so that a cut between data centres
//! leaves a home on each side. The lists are kept up to date member by member:
//! a change costs one hash a service, not one a member and service.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Change;
use super::Membership;
use crate::rendezvous::weight;

/// Homes that a service has.
pub const OWNERS_PER_SERVICE: usize = 3;

type Ranked = (u64, Arc<str>);

#[derive(Debug, Default)]
struct Ranks {
    by_data_centre: BTreeMap<Arc<str>, Vec<Ranked>>,
}

impl Ranks {
    fn insert(&mut self, data_centre: &Arc<str>, entry: Ranked) {
        let ranked = self.by_data_centre.entry(data_centre.clone()).or_default();
        if ranked.contains(&entry) {
            return;
        }
        let at = ranked.partition_point(|other| *other > entry);
        if at < OWNERS_PER_SERVICE {
            ranked.insert(at, entry);
            ranked.truncate(OWNERS_PER_SERVICE);
        }
    }

    fn owners(&self) -> Vec<Arc<str>> {
        let firsts = self
            .by_data_centre
            .values()
            .filter_map(|ranked| ranked.first());
        let mut owners: Vec<&Ranked> = firsts.collect();
        owners.sort_by(|a, b| b.cmp(a));
        let mut rest: Vec<&Ranked> = self
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

/// The homes of the services asked for so far.
#[derive(Debug, Default)]
pub struct Owners {
    by_service: BTreeMap<Arc<str>, Ranks>,
}

impl Owners {
    /// The homes of a service, the best one first.
    pub fn of(&mut self, service: &Arc<str>, membership: &Membership) -> Vec<Arc<str>> {
        let ranks = self
            .by_service
            .entry(service.clone())
            .or_insert_with(|| rank_all(service, membership));
        ranks.owners()
    }

    /// Takes in a change of who is present.
    pub fn change(&mut self, change: &Change, membership: &Membership) {
        for (service, ranks) in &mut self.by_service {
            match change {
                Change::Joined(member) => {
                    let entry = (weight(&member.id, service), member.id.clone());
                    ranks.insert(&member.data_centre, entry);
                }
                Change::Left(member) => {
                    let ranked = ranks.by_data_centre.get(&member.data_centre);
                    let concerned =
                        ranked.is_some_and(|ranked| ranked.iter().any(|(_, id)| *id == member.id));
                    if concerned {
                        *ranks = rank_all(service, membership);
                    }
                }
            }
        }
    }

    /// Drops services that are no longer in the configuration.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.by_service.retain(|service, _| keep(service));
    }
}

fn rank_all(service: &str, membership: &Membership) -> Ranks {
    let mut ranks = Ranks::default();
    for member in membership.present() {
        let entry = (weight(&member.id, service), member.id.clone());
        ranks.insert(&member.data_centre, entry);
    }
    ranks
}
