//! Turns a registry's releases and entries into changes of the configuration.
//!
//! If an entry is removed while the registry answers at least one instance, its target has
//! stopped. Entries that expire in an outage of the registry reappear by themselves, so
//! their targets are retained for a while after it recovers. The instance that reads the
//! removal from the registry decides how long the targets are retained. It sends the
//! remaining time along with the changes, so that retention ends on all instances at the
//! same time.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use model::Configuration;
use model::Note;
use model::configuration::Named;
use model::configuration::Target;
use model::note::Delta;
use model::note::is_valid_name;

use super::EntryChanges;
use super::Release;
use super::TargetEntry;
use super::contact::Contact;
use super::history::History;
use super::history::MissedChanges;
use super::revision::era_of;
use crate::routing::TargetProcess;

/// Time for which targets are retained if most entries of their service were removed at
/// once without a known outage, in microseconds. Together with the batching delay, a tick,
/// the broadcast and the time a request takes to the target, it stays under the 2 s in
/// which a leaving target may still receive requests.
const MASS_LOSS_RETENTION_US: u64 = 800_000;
/// Share of a service's entries removed at once above which the removal is attributed to an
/// outage of the registry.
const MASS_LOSS_SHARE: f64 = 0.5;
/// Time for which targets stay in use that are missing in the copy from which the registry was
/// restored, in microseconds: they write their entries again within two seconds.
const RESTORED_RETENTION_US: u64 = 2_300_000;
/// Time for which targets stay out of use that have left after the copy was taken, in microseconds:
/// their entries in the copy lapse by themselves after 4.5 s without a renewal.
const RESTORED_STALE_US: u64 = 6_000_000;
/// Time for which a departure is remembered, in microseconds: longer than a copy is old.
const DEPARTED_KEEP_US: u64 = 60_000_000;
/// Number of entries removed at once below which the removal is never attributed to an
/// outage.
const MASS_LOSS_MIN_ENTRIES: usize = 3;

/// Why a target is retained although its entry was removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetainReason {
    /// The entry may have expired in an outage of the registry.
    Outage,
    /// The peer that read the removal from the registry retains it.
    Told,
    /// Most entries of a service were removed at once.
    Together,
    /// The entry is missing in the copy from which the registry was restored.
    Restored,
}

/// Targets that are retained although their entries were removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetainedTargets {
    /// Names of the targets.
    pub targets: Vec<Arc<str>>,
    /// Time at which they are removed unless their entries reappear, in microseconds.
    pub until_us: u64,
    /// Reason for the retention.
    pub reason: RetainReason,
}

#[derive(Clone, Debug)]
struct TargetRecord {
    target: Target,
    /// Whether its values are valid in a configuration, as other programs may write invalid
    /// entries.
    is_valid: bool,
    /// Time at which the target is removed unless its entry reappears; `None` while the entry
    /// exists.
    remove_at_us: Option<u64>,
}

/// The releases and targets of the registry, as far as known here.
#[derive(Debug, Default)]
pub struct RegistryView {
    release: Option<Release>,
    targets: BTreeMap<Arc<str>, TargetRecord>,
    history: History,
    retained: Vec<RetainedTargets>,
    has_list: bool,
    contact: Contact,
    /// Revision up to which all changes of targets are applied.
    known_up_to: u64,
    /// Revision of the last change of targets.
    changed_at: u64,
    /// Processes of targets that leave or were removed, and when this became known.
    departed: BTreeMap<TargetProcess, u64>,
    /// Time until which departed targets of a restored registry stay departed; 0 if it was not
    /// restored.
    stale_until_us: u64,
    /// Whether a list contained departed targets that may be alive.
    must_reread: bool,
}

/// Source of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeSource {
    /// The registry itself.
    Registry,
    /// A peer that reads the registry, which may be unreachable from this instance.
    Peer {
        /// Time for which targets whose entries were removed are retained, in microseconds.
        retain_us: u64,
    },
    /// A peer's list of all targets, which gives no reason for missing targets.
    PeerList,
}

/// The result of applying changes of targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    /// The changes were applied.
    Taken,
    /// The changes were applied before, or there are none.
    Old,
    /// The changes were applied before, but retained targets are now removed sooner.
    Shortened,
    /// Changes before these are missing, or an applied change lies among those of which these
    /// contain only the net difference; nothing was applied.
    Gap,
}

impl RegistryView {
    /// Whether a release and a list of all targets were received.
    pub fn is_complete(&self) -> bool {
        self.release.is_some() && self.has_list
    }

    /// Time for which callers keep idle connections open, in milliseconds.
    pub fn idle_limit_ms(&self) -> Option<u64> {
        self.release.as_ref()?.idle_limit_ms
    }

    /// Whether a list of all targets was received.
    pub fn is_listed(&self) -> bool {
        self.has_list
    }

    /// The release, if its number is above `number`.
    pub fn release_after(&self, number: u64) -> Option<&Release> {
        self.release
            .as_ref()
            .filter(|release| release.number > number)
    }

    /// All changes of targets after a revision; `None` if they are not known completely, as
    /// the history no longer covers the revision or contains only a net difference.
    pub fn changes_after(&self, revision: u64) -> Option<MissedChanges> {
        self.history.since(revision).filter(|_| self.has_list)
    }

    /// The targets whose entries exist; `None` if no list was received yet.
    pub fn list(&self) -> Option<Vec<Target>> {
        let listed_targets = self.targets.values();
        let listed_targets = listed_targets.filter(|record| record.remove_at_us.is_none());
        self.has_list
            .then(|| listed_targets.map(|record| record.target.clone()).collect())
    }

    /// Applies a release; returns `false` if it is not newer than the current one.
    ///
    /// Instances of former versions ignore customers and send the release without them. A release
    /// with customers therefore replaces one of the same number without them.
    pub fn apply_release(&mut self, release: Release) -> bool {
        let is_newer = self.release.as_ref().is_none_or(|current| {
            let adds_customers = release.customers.is_some() && current.customers.is_none();
            release.number > current.number || release.number == current.number && adds_customers
        });
        if release.number == 0 || !is_newer {
            return false;
        }
        self.release = Some(release);
        true
    }

    /// Whether callers need keys according to the current release.
    pub fn requires_keys(&self) -> bool {
        let release = self.release.as_ref();
        release.is_some_and(|release| release.customers.is_some())
    }

    /// Revision up to which all changes of targets are applied.
    pub fn targets_revision(&self) -> u64 {
        self.known_up_to
    }

    /// Revision of the last change of targets.
    pub fn targets_changed(&self) -> u64 {
        self.changed_at
    }

    /// Applies a list of all targets as of a revision and returns the resulting changes. A
    /// list that is older than the view is ignored.
    pub fn apply_list(
        &mut self,
        now_us: u64,
        revision: u64,
        targets: Vec<Target>,
        source: ChangeSource,
    ) -> Vec<TargetEntry> {
        if self.has_list && revision < self.known_up_to {
            return Vec::new();
        }
        let is_restored = self.record_era(now_us, revision);
        let targets = self.without_departed(now_us, targets);
        let is_missing = |name: &&Arc<str>| !targets.iter().any(|target| target.name == **name);
        let listed_targets = self.targets.iter();
        let listed_targets = listed_targets.filter(|(_, record)| record.remove_at_us.is_none());
        let missing: Vec<Arc<str>> = listed_targets
            .map(|(name, _)| name)
            .filter(is_missing)
            .cloned()
            .collect();
        let is_changed = |target: &&Target| {
            let record = self.targets.get(&target.name);
            record.is_none_or(|record| record.target != **target || record.remove_at_us.is_some())
        };
        let updates = targets.iter().filter(is_changed).cloned();
        let mut changes: Vec<TargetEntry> = updates.map(TargetEntry::Present).collect();
        changes.extend(missing.iter().cloned().map(TargetEntry::Removed));
        if !changes.is_empty() {
            self.changed_at = revision;
        }
        if !self.has_list {
            self.history.add(revision, revision, revision, Vec::new());
        } else if !changes.is_empty() {
            let after = self.known_up_to;
            self.history.add(after, revision, after, changes.clone());
        }
        self.has_list = true;
        self.known_up_to = revision;
        for target in targets {
            self.insert_target(now_us, target);
        }
        let restored =
            is_restored.then_some((now_us + RESTORED_RETENTION_US, RetainReason::Restored));
        let retention = restored.or_else(|| self.retention(now_us, &missing, source));
        self.remove_or_retain(now_us, &missing, retention);
        changes
    }

    /// Returns whether a revision shows that the registry was restored since the last one.
    fn record_era(&mut self, now_us: u64, revision: u64) -> bool {
        let is_restored = self.has_list && era_of(revision) > era_of(self.known_up_to);
        if is_restored {
            self.stale_until_us = now_us + RESTORED_STALE_US;
        }
        is_restored
    }

    /// Leaves out what a restored registry has lost: targets of the list that leave or are gone by
    /// a later word of the registry. Those that live write their entries again, or keep them until
    /// the list is read once more.
    fn without_departed(&mut self, now_us: u64, targets: Vec<Target>) -> Vec<Target> {
        if now_us >= self.stale_until_us {
            return targets;
        }
        let (departed, present): (Vec<Target>, Vec<Target>) =
            targets.into_iter().partition(|target| {
                target.has_known_incarnation()
                    && self.departed.contains_key(&TargetProcess::of(target))
            });
        self.must_reread |= !departed.is_empty();
        present
    }

    /// Whether the registry's list has to be read once more, as entries of a restored registry were
    /// left out.
    pub fn take_reread(&mut self, now_us: u64) -> bool {
        now_us >= self.stale_until_us && std::mem::take(&mut self.must_reread)
    }

    /// Applies changes of entries.
    pub fn apply_changes(
        &mut self,
        now_us: u64,
        changes: EntryChanges,
        source: ChangeSource,
    ) -> ApplyResult {
        let EntryChanges {
            after,
            revision,
            complete_to,
            entries,
            ..
        } = changes;
        if !self.has_list || after > self.known_up_to {
            return ApplyResult::Gap;
        }
        if revision <= self.known_up_to {
            return self.shorten_retention(now_us, &entries, source);
        }
        if self.changed_at > complete_to {
            return ApplyResult::Gap;
        }
        self.record_era(now_us, revision);
        self.known_up_to = revision;
        if entries.is_empty() {
            return ApplyResult::Old;
        }
        self.changed_at = revision;
        self.history
            .add(after, revision, complete_to, entries.clone());
        let mut removed = Vec::new();
        for entry in entries {
            match entry {
                TargetEntry::Present(target) => {
                    removed.retain(|name| *name != target.name);
                    self.insert_target(now_us, target);
                }
                TargetEntry::Removed(name) => removed.push(name),
            }
        }
        let retention = self.retention(now_us, &removed, source);
        self.remove_or_retain(now_us, &removed, retention);
        ApplyResult::Taken
    }

    /// Records that the registry answered at `at_us`: either this instance, or another one
    /// all of whose versions at that time this instance has.
    pub fn record_answer(&mut self, at_us: u64) {
        self.contact.record_answer(at_us);
    }

    /// Age of the view in microseconds, as the time since the last recorded answer; `None`
    /// before the first.
    pub fn view_age_us(&self, now_us: u64) -> Option<u64> {
        self.contact.age_us(now_us)
    }

    /// The longest remaining time for which a target removed by `entries` is retained, in
    /// microseconds.
    pub fn longest_retention_us(&self, now_us: u64, entries: &[TargetEntry]) -> u64 {
        let removed = entries.iter().filter_map(|entry| match entry {
            TargetEntry::Removed(name) => self.targets.get(name)?.remove_at_us,
            TargetEntry::Present(_) => None,
        });
        removed.max().unwrap_or(0).saturating_sub(now_us)
    }

    /// Time until which targets whose entries were removed are retained, and the reason;
    /// `None` if they are removed at once.
    fn retention(
        &self,
        now_us: u64,
        names: &[Arc<str>],
        source: ChangeSource,
    ) -> Option<(u64, RetainReason)> {
        let outage = self.contact.grace_until_us(now_us);
        let outage = outage.map(|until_us| (until_us, RetainReason::Outage));
        match source {
            ChangeSource::Registry => outage.or_else(|| {
                let is_mass_loss = self.is_mass_loss(names);
                is_mass_loss.then_some((now_us + MASS_LOSS_RETENTION_US, RetainReason::Together))
            }),
            ChangeSource::Peer { retain_us } => {
                (retain_us > 0).then_some((now_us + retain_us, RetainReason::Told))
            }
            ChangeSource::PeerList => outage,
        }
    }

    /// Shortens the retention of targets if another source reports the same removal with a
    /// shorter time.
    fn shorten_retention(
        &mut self,
        now_us: u64,
        entries: &[TargetEntry],
        source: ChangeSource,
    ) -> ApplyResult {
        let until_us = self.retention(now_us, &[], source);
        let until_us = until_us.map_or(now_us, |(until_us, _)| until_us);
        let mut result = ApplyResult::Old;
        for entry in entries {
            if let TargetEntry::Removed(name) = entry
                && let Some(record) = self.targets.get_mut(name)
                && record.remove_at_us.is_some_and(|at_us| at_us > until_us)
            {
                record.remove_at_us = Some(until_us);
                result = ApplyResult::Shortened;
            }
        }
        if result == ApplyResult::Shortened {
            self.tick(now_us);
        }
        result
    }

    /// Removes retained targets whose entries have not reappeared in time.
    pub fn tick(&mut self, now_us: u64) {
        let is_kept =
            |record: &TargetRecord| record.remove_at_us.is_none_or(|at_us| now_us < at_us);
        let removed = self.targets.values().filter(|record| !is_kept(record));
        let removed = removed.map(|record| (TargetProcess::of(&record.target), now_us));
        self.departed.extend(removed);
        self.targets.retain(|_, record| is_kept(record));
        self.departed
            .retain(|_, since_us| now_us.saturating_sub(*since_us) < DEPARTED_KEEP_US);
    }

    /// Returns the note that turns `configuration` into the registry's, and the number that
    /// the configuration then has; `None` if they do not differ.
    pub fn change(&self, configuration: &Configuration) -> Option<(u64, Note)> {
        let release = self.release.as_ref()?;
        let is_known_service = |service: &Arc<str>| {
            let is_known = release.services.iter().any(|known| known.name == *service);
            is_known.then_some(())
        };
        // An invalid target must not block the changes of all others.
        let wanted = self.targets.values().filter(|record| record.is_valid);
        let wanted = wanted.map(|record| &record.target);
        let wanted = wanted.filter(|target| is_known_service(&target.service).is_some());
        let mut note = Note {
            title: "registry".into(),
            targets: delta(wanted, &configuration.targets),
            ..Note::default()
        };
        let requires_keys = release.customers.is_some();
        let lacks_keys = release.number == configuration.number
            && requires_keys
            && !configuration.are_keys_required();
        let is_new = release.number > configuration.number || lacks_keys;
        if is_new {
            note.services = delta(release.services.iter(), &configuration.services);
            note.routes = delta(release.routes.iter(), &configuration.routes);
            let customers = release.customers.iter().flatten();
            note.customers = delta(customers, &configuration.customers);
            note.keys_required = Some(requires_keys);
        }
        let has_changes = is_new || !note.targets.is_empty();
        has_changes.then_some((release.number.max(configuration.number), note))
    }

    fn insert_target(&mut self, now_us: u64, target: Target) {
        let process = TargetProcess::of(&target);
        match target.leaving {
            true => self.departed.insert(process.clone(), now_us),
            false => self.departed.remove(&process),
        };
        let record = TargetRecord {
            is_valid: is_valid_name(&target.name) && target.slots > 0,
            target,
            remove_at_us: None,
        };
        let former = self.targets.insert(record.target.name.clone(), record);
        let former = former.map(|record| TargetProcess::of(&record.target));
        if let Some(former) = former.filter(|former| *former != process) {
            self.departed.insert(former, now_us);
        }
    }

    /// Takes the targets whose retention began since the last call.
    pub fn take_retained(&mut self) -> Vec<RetainedTargets> {
        std::mem::take(&mut self.retained)
    }

    /// Removes targets whose entries were removed, or retains them if `retention` is set,
    /// because the entries may reappear by themselves. Leaving targets are always removed.
    fn remove_or_retain(
        &mut self,
        now_us: u64,
        names: &[Arc<str>],
        retention: Option<(u64, RetainReason)>,
    ) {
        let mut retained = Vec::new();
        for name in names {
            let Some(record) = self.targets.get_mut(name) else {
                continue;
            };
            match retention.filter(|_| !record.target.leaving) {
                Some((until_us, _)) => {
                    record.remove_at_us.get_or_insert(until_us);
                    retained.push(name.clone());
                }
                None => {
                    let process = TargetProcess::of(&record.target);
                    self.departed.insert(process, now_us);
                    self.targets.remove(name);
                }
            }
        }
        if let Some((until_us, reason)) = retention
            && !retained.is_empty()
        {
            self.retained.push(RetainedTargets {
                targets: retained,
                until_us,
                reason,
            });
        }
    }

    /// Whether so many entries of one service were removed that an outage of the registry is
    /// the likely cause.
    fn is_mass_loss(&self, names: &[Arc<str>]) -> bool {
        let mut by_service: HashMap<&Arc<str>, (usize, usize)> = HashMap::new();
        for (name, record) in &self.targets {
            let counts = by_service.entry(&record.target.service).or_default();
            counts.0 += 1;
            counts.1 += usize::from(names.contains(name) && !record.target.leaving);
        }
        by_service.values().any(|(all, removed)| {
            *removed >= MASS_LOSS_MIN_ENTRIES && *removed as f64 > MASS_LOSS_SHARE * *all as f64
        })
    }
}

/// The changes that turn the objects of `current` into the `wanted` ones.
fn delta<'a, T: Named + Clone + PartialEq + 'a>(
    wanted: impl Iterator<Item = &'a T>,
    current: &imbl::HashMap<Arc<str>, Arc<T>>,
) -> Delta<T> {
    let mut delta = Delta::default();
    let mut names = std::collections::HashSet::new();
    for object in wanted {
        names.insert(object.name().clone());
        match current.get(object.name()) {
            None => delta.add.push(object.clone()),
            Some(old) if **old != *object => delta.change.push(object.clone()),
            Some(_) => {}
        }
    }
    let removed = current.keys().filter(|name| !names.contains(*name));
    delta.withdraw = removed.cloned().collect();
    delta
}
