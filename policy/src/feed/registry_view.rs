//! From a registry's releases and entries to changes of the configuration.
//!
//! An entry that goes while the registry answers anyone means that its target is
//! gone. Entries that lapse with an outage of the registry come back by themselves,
//! so their targets stay in use for a while after its return. Whoever reads that
//! entries went decides how long their targets stay; the time that is left travels
//! with the news, so that it ends everywhere at once.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use model::Note;
use model::World;
use model::note::Delta;
use model::note::is_name;
use model::world::Named;
use model::world::Target;

use super::EntryChanges;
use super::Release;
use super::TargetEntry;
use super::contact::Contact;
use super::history::History;
use super::history::Missed;

/// Longest stay of targets whose entries went together without a known outage, in
/// microseconds: with the gathering of changes, a tick, the way to all instances and
/// that to the target under the two seconds in which a leaving target may get work.
const MASS_STAY_US: u64 = 800_000;
/// Share of a service's targets beyond which a loss counts as the registry's.
const MASS_SHARE: f64 = 0.5;
/// Entries lost at once below which a loss is never the registry's.
const MASS_ENTRIES: usize = 3;

/// Why a target is kept though its entry went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetainReason {
    /// The entry may have lapsed with an outage of the registry.
    Outage,
    /// A peer says so.
    Told,
    /// Most entries of the service went at once.
    Together,
}

/// Targets that are kept though their entries went.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetainedTargets {
    /// Names of the targets.
    pub targets: Vec<Arc<str>>,
    /// When they are taken out unless their entries come back, in microseconds.
    pub until_us: u64,
    /// Why they are kept.
    pub stay: RetainReason,
}

#[derive(Clone, Debug)]
struct Known {
    target: Target,
    /// Whether its values fit a world, as those that another writer left may not.
    is_fit: bool,
    /// When it is taken out unless its entry comes back.
    out_at_us: Option<u64>,
}

/// The registry's view of the world.
#[derive(Debug, Default)]
pub struct RegistryView {
    release: Option<Release>,
    targets: BTreeMap<Arc<str>, Known>,
    history: History,
    kept: Vec<RetainedTargets>,
    listed: bool,
    contact: Contact,
    /// Revision up to which all changes of targets are known.
    known_to: u64,
    /// Revision at which targets changed last.
    changed_at: u64,
}

/// Who tells of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeSource {
    /// The registry itself.
    Registry,
    /// A peer that reaches the registry, whatever is reached from here.
    Peer {
        /// How long targets stay whose entries went, in microseconds.
        stay_us: u64,
    },
    /// A peer that lists all targets, which does not say why some are missing.
    PeersList,
}

/// What came of offering changes of targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offered {
    /// They are taken in.
    Taken,
    /// They are known.
    Old,
    /// They are known, and targets that were kept go sooner.
    Shortened,
    /// Changes before them are missing.
    Gap,
}

impl RegistryView {
    /// Whether a release and the targets are known.
    pub fn is_complete(&self) -> bool {
        self.release.is_some() && self.listed
    }

    /// Time for which callers keep connections without a request, in milliseconds.
    pub fn idle_limit_ms(&self) -> Option<u64> {
        self.release.as_ref()?.idle_limit_ms
    }

    /// Whether the targets were listed.
    pub fn is_listed(&self) -> bool {
        self.listed
    }

    /// The release, if one above `number` is known.
    pub fn release_after(&self, number: u64) -> Option<&Release> {
        self.release
            .as_ref()
            .filter(|release| release.number > number)
    }

    /// All changes of targets after a revision; none if they are not known any more.
    pub fn changes_after(&self, revision: u64) -> Option<Missed> {
        self.history.after(revision).filter(|_| self.listed)
    }

    /// The targets whose entries stand, if they were listed.
    pub fn list(&self) -> Option<Vec<Target>> {
        let standing = self.targets.values();
        let standing = standing.filter(|known| known.out_at_us.is_none());
        self.listed
            .then(|| standing.map(|known| known.target.clone()).collect())
    }

    /// Takes in a release; false if it is not newer than the one known.
    pub fn released(&mut self, release: Release) -> bool {
        let known = self.release.as_ref().map_or(0, |known| known.number);
        if release.number <= known {
            return false;
        }
        self.release = Some(release);
        true
    }

    /// Revision up to which all changes of targets are known.
    pub fn targets_known_to(&self) -> u64 {
        self.known_to
    }

    /// Revision at which targets changed last.
    pub fn targets_changed(&self) -> u64 {
        self.changed_at
    }

    /// Takes in the list of all targets as of a revision; gives what it changes.
    pub fn listed(
        &mut self,
        now_us: u64,
        revision: u64,
        targets: Vec<Target>,
        source: ChangeSource,
    ) -> Vec<TargetEntry> {
        if self.listed && revision < self.known_to {
            return Vec::new();
        }
        let is_missing = |name: &&Arc<str>| !targets.iter().any(|target| target.name == **name);
        let standing = self.targets.iter();
        let standing = standing.filter(|(_, known)| known.out_at_us.is_none());
        let missing: Vec<Arc<str>> = standing
            .map(|(name, _)| name)
            .filter(is_missing)
            .cloned()
            .collect();
        let is_news = |target: &&Target| {
            let known = self.targets.get(&target.name);
            known.is_none_or(|known| known.target != **target || known.out_at_us.is_some())
        };
        let news = targets.iter().filter(is_news).cloned();
        let mut changes: Vec<TargetEntry> = news.map(TargetEntry::Stands).collect();
        changes.extend(missing.iter().cloned().map(TargetEntry::Removed));
        if !changes.is_empty() {
            self.changed_at = revision;
        }
        if !self.listed {
            self.history.add(revision, revision, revision, Vec::new());
        } else if !changes.is_empty() {
            let after = self.known_to;
            self.history.add(after, revision, after, changes.clone());
        }
        self.listed = true;
        self.known_to = revision;
        for target in targets {
            self.stands(target);
        }
        let stay = self.stay(now_us, &missing, source);
        self.lost(&missing, stay);
        changes
    }

    /// Takes in changes of entries.
    pub fn changed(&mut self, now_us: u64, changes: EntryChanges, source: ChangeSource) -> Offered {
        let EntryChanges {
            after,
            revision,
            complete_to,
            entries,
            ..
        } = changes;
        if !self.listed || after > self.known_to {
            return Offered::Gap;
        }
        if revision <= self.known_to {
            return self.shorten_stay(now_us, &entries, source);
        }
        if self.changed_at > complete_to {
            return Offered::Gap;
        }
        self.known_to = revision;
        if entries.is_empty() {
            return Offered::Old;
        }
        self.changed_at = revision;
        self.history
            .add(after, revision, complete_to, entries.clone());
        let mut removed = Vec::new();
        for entry in entries {
            match entry {
                TargetEntry::Stands(target) => {
                    removed.retain(|name| *name != target.name);
                    self.stands(target);
                }
                TargetEntry::Removed(name) => removed.push(name),
            }
        }
        let stay = self.stay(now_us, &removed, source);
        self.lost(&removed, stay);
        Offered::Taken
    }

    /// Notes that the registry answered this instance, or another one of which all is
    /// known that it knew then.
    pub fn answered(&mut self, at_us: u64) {
        self.contact.answered(at_us);
    }

    /// Time since the last of these answers, in microseconds; none before the first.
    pub fn view_age_us(&self, now_us: u64) -> Option<u64> {
        self.contact.age_us(now_us)
    }

    /// The longest time for which targets stay whose entries are among those that went,
    /// in microseconds.
    pub fn longest_stay_us(&self, now_us: u64, entries: &[TargetEntry]) -> u64 {
        let removed = entries.iter().filter_map(|entry| match entry {
            TargetEntry::Removed(name) => self.targets.get(name)?.out_at_us,
            TargetEntry::Stands(_) => None,
        });
        removed.max().unwrap_or(0).saturating_sub(now_us)
    }

    /// Until when targets stay whose entries went, and why; none if they go at once.
    fn stay(
        &self,
        now_us: u64,
        names: &[Arc<str>],
        source: ChangeSource,
    ) -> Option<(u64, RetainReason)> {
        let lapse = self.contact.lapses_until_us(now_us);
        let lapse = lapse.map(|until_us| (until_us, RetainReason::Outage));
        match source {
            ChangeSource::Registry => lapse.or_else(|| {
                let together = self.lost_together(names);
                together.then_some((now_us + MASS_STAY_US, RetainReason::Together))
            }),
            ChangeSource::Peer { stay_us } => {
                (stay_us > 0).then_some((now_us + stay_us, RetainReason::Told))
            }
            ChangeSource::PeersList => lapse,
        }
    }

    /// Takes targets out sooner that are kept, if another one that knows of their loss
    /// keeps them for a shorter time.
    fn shorten_stay(
        &mut self,
        now_us: u64,
        entries: &[TargetEntry],
        source: ChangeSource,
    ) -> Offered {
        let until_us = self.stay(now_us, &[], source);
        let until_us = until_us.map_or(now_us, |(until_us, _)| until_us);
        let mut offered = Offered::Old;
        for entry in entries {
            if let TargetEntry::Removed(name) = entry
                && let Some(known) = self.targets.get_mut(name)
                && known.out_at_us.is_some_and(|at_us| at_us > until_us)
            {
                known.out_at_us = Some(until_us);
                offered = Offered::Shortened;
            }
        }
        if offered == Offered::Shortened {
            self.tick(now_us);
        }
        offered
    }

    /// Takes out targets whose entries have not come back in time.
    pub fn tick(&mut self, now_us: u64) {
        self.targets
            .retain(|_, known| known.out_at_us.is_none_or(|at_us| now_us < at_us));
    }

    /// The note that turns `world` into what the registry says, if they differ,
    /// and the number that it has afterwards.
    pub fn change(&self, world: &World) -> Option<(u64, Note)> {
        let release = self.release.as_ref()?;
        let listed = |service: &Arc<str>| {
            let named = release.services.iter().any(|known| known.name == *service);
            named.then_some(())
        };
        // One that does not fit must not hold up all others.
        let wanted = self.targets.values().filter(|known| known.is_fit);
        let wanted = wanted.map(|known| &known.target);
        let wanted = wanted.filter(|target| listed(&target.service).is_some());
        let mut note = Note {
            title: "registry".into(),
            targets: delta(wanted, &world.targets),
            ..Note::default()
        };
        if release.number > world.number {
            note.services = delta(release.services.iter(), &world.services);
            note.routes = delta(release.routes.iter(), &world.routes);
        }
        let differs = release.number > world.number || !note.targets.is_empty();
        differs.then_some((release.number.max(world.number), note))
    }

    fn stands(&mut self, target: Target) {
        let known = Known {
            is_fit: is_name(&target.name) && target.slots > 0,
            target,
            out_at_us: None,
        };
        self.targets.insert(known.target.name.clone(), known);
    }

    /// The targets that were kept since the last call though their entries went.
    pub fn take_kept(&mut self) -> Vec<RetainedTargets> {
        std::mem::take(&mut self.kept)
    }

    /// Takes targets out whose entries went; `stay` is set where these may come back
    /// by themselves.
    fn lost(&mut self, names: &[Arc<str>], stay: Option<(u64, RetainReason)>) {
        let mut kept = Vec::new();
        for name in names {
            let Some(known) = self.targets.get_mut(name) else {
                continue;
            };
            match stay.filter(|_| !known.target.leaving) {
                Some((until_us, _)) => {
                    known.out_at_us.get_or_insert(until_us);
                    kept.push(name.clone());
                }
                None => {
                    self.targets.remove(name);
                }
            }
        }
        if let Some((until_us, stay)) = stay
            && !kept.is_empty()
        {
            self.kept.push(RetainedTargets {
                targets: kept,
                until_us,
                stay,
            });
        }
    }

    /// Whether the loss of these entries looks like an outage of the registry.
    fn lost_together(&self, names: &[Arc<str>]) -> bool {
        let mut of: HashMap<&Arc<str>, (usize, usize)> = HashMap::new();
        for (name, known) in &self.targets {
            let counts = of.entry(&known.target.service).or_default();
            counts.0 += 1;
            counts.1 += usize::from(names.contains(name) && !known.target.leaving);
        }
        of.values()
            .any(|(all, lost)| *lost >= MASS_ENTRIES && *lost as f64 > MASS_SHARE * *all as f64)
    }
}

/// What turns the objects of `known` into the `wanted` ones.
fn delta<'a, T: Named + Clone + PartialEq + 'a>(
    wanted: impl Iterator<Item = &'a T>,
    known: &imbl::HashMap<Arc<str>, Arc<T>>,
) -> Delta<T> {
    let mut delta = Delta::default();
    let mut names = std::collections::HashSet::new();
    for object in wanted {
        names.insert(object.name().clone());
        match known.get(object.name()) {
            None => delta.add.push(object.clone()),
            Some(old) if **old != *object => delta.change.push(object.clone()),
            Some(_) => {}
        }
    }
    let gone = known.keys().filter(|name| !names.contains(*name));
    delta.withdraw = gone.cloned().collect();
    delta
}
