//! The tests of all targets of one service against each other.
//!
//! Each target is held against the others' share of abnormal outcomes, the
//! worst third of them left out, so that what befalls all targets ejects none.
//! Counts are kept per observing data centre: a target that is bad from one
//! side only has a bad link.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::world::Service;

use super::Rates;
use super::RecentTally;
use super::SequentialTest;
use super::Tally;

/// Log ratio at which a data centre's own counts clear the target from there.
const CLEAN_LOG_RATIO: f64 = -3.0;
/// Share of abnormal outcomes that a data centre is expected to see at most.
const MAX_EXPECTED_SHARE: f64 = 0.9;
/// Share of the worst other targets that the background leaves out.
const TRIMMED_SHARE: f64 = 1.0 / 3.0;

/// What the counts of a target say.
#[derive(Clone, Debug, PartialEq)]
pub enum Finding {
    /// Running evidence as a share of what ejects, 0 to 1.
    Running(f64),
    /// The target fails, wherever it is seen from.
    Failing,
    /// The target fails as seen from these data centres, and not from others.
    FailingFrom(Vec<Arc<str>>),
}

#[derive(Clone, Debug)]
struct TargetTest {
    pooled: SequentialTest,
    by_data_centre: BTreeMap<Arc<str>, SequentialTest>,
    recent: RecentTally,
}

impl TargetTest {
    fn new(now_us: u64) -> Self {
        Self {
            pooled: SequentialTest::new(now_us),
            by_data_centre: BTreeMap::new(),
            recent: RecentTally::default(),
        }
    }

    fn reset(&mut self, now_us: u64) {
        self.pooled.reset(now_us);
        self.by_data_centre.clear();
    }
}

/// Counts and tests of a service's targets.
#[derive(Clone, Debug, Default)]
pub struct ServiceTest {
    targets: BTreeMap<Arc<str>, TargetTest>,
}

impl ServiceTest {
    /// Counts outcomes that an instance in `data_centre` has met.
    ///
    /// Normal outcomes were thinned by `thinning` steps.
    pub fn count(&mut self, now_us: u64, target: &Arc<str>, data_centre: &Arc<str>, thinning: usize, tally: Tally) {
        let test = self
            .targets
            .entry(target.clone())
            .or_insert_with(|| TargetTest::new(now_us));
        test.pooled.add(now_us, thinning, tally);
        test.by_data_centre
            .entry(data_centre.clone())
            .or_insert_with(|| SequentialTest::new(now_us))
            .add(now_us, thinning, tally);
        test.recent.add(now_us, thinning, tally);
    }

    /// Decides on a target, after all outcomes of a report are counted.
    pub fn decide(&mut self, now_us: u64, service: &Service, target: &str) -> Finding {
        let Some(rates) = self.rates(now_us, target) else {
            return Finding::Running(0.0);
        };
        let Some(test) = self.targets.get_mut(target) else {
            return Finding::Running(0.0);
        };
        let ratio = test.pooled.log_ratio(rates);
        let bound = SequentialTest::upper_bound(service);
        if ratio <= 0.0 {
            test.reset(now_us);
            return Finding::Running(0.0);
        }
        if ratio < bound {
            return Finding::Running(ratio / bound);
        }
        let finding = locate(rates, &test.by_data_centre);
        test.reset(now_us);
        finding
    }

    /// The log ratio of a target's counts since its last reset, for a trial.
    pub fn trial_ratio(&self, now_us: u64, target: &str) -> f64 {
        match (self.rates(now_us, target), self.targets.get(target)) {
            (Some(rates), Some(test)) => test.pooled.log_ratio(rates),
            _ => 0.0,
        }
    }

    /// Forgets a target's counts.
    pub fn reset(&mut self, now_us: u64, target: &str) {
        if let Some(test) = self.targets.get_mut(target) {
            test.reset(now_us);
        }
    }

    /// Drops targets that are no longer in the configuration.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.targets.retain(|name, _| keep(name));
    }

    /// The rates for a target, from the outcomes of the others.
    fn rates(&self, now_us: u64, target: &str) -> Option<Rates> {
        let since_us = self.targets.get(target)?.pooled.started_us();
        let others: Vec<&RecentTally> = self
            .targets
            .iter()
            .filter(|(name, _)| &***name != target)
            .map(|(_, test)| &test.recent)
            .collect();
        let recent = others
            .iter()
            .map(|tally| tally.since(now_us, since_us))
            .map(|tally| (f64::from(tally.abnormal), f64::from(tally.total())));
        let recent = trimmed_share(recent.collect());
        let decayed = trimmed_share(others.iter().map(|tally| tally.decayed()).collect());
        Rates::for_background(recent.max(decayed))
    }
}

/// Decides whether a failing target fails for all or has bad links.
///
/// A data centre clears the target from there when its own counts speak
/// clearly against the share of abnormal outcomes that the others see.
fn locate(rates: Rates, by_data_centre: &BTreeMap<Arc<str>, SequentialTest>) -> Finding {
    let mut clean = false;
    let mut bad = Vec::new();
    for (data_centre, test) in by_data_centre {
        let rest = by_data_centre
            .iter()
            .filter(|(other, _)| *other != data_centre)
            .map(|(_, test)| test);
        let expected = Rates {
            background: rates.background,
            failing: abnormal_share(rest).clamp(rates.failing, MAX_EXPECTED_SHARE),
        };
        if test.log_ratio(expected) <= CLEAN_LOG_RATIO {
            clean = true;
        } else if test.log_ratio(rates) > 0.0 {
            bad.push(data_centre.clone());
        }
    }
    if clean && !bad.is_empty() {
        Finding::FailingFrom(bad)
    } else {
        Finding::Failing
    }
}

fn abnormal_share<'a>(tests: impl Iterator<Item = &'a SequentialTest>) -> f64 {
    let (abnormal, total) = tests
        .map(SequentialTest::weighted)
        .fold((0.0, 0.0), |sum, count| (sum.0 + count.0, sum.1 + count.1));
    if total > 0.0 { abnormal / total } else { 0.0 }
}

/// The share of abnormal outcomes, given (abnormal, total) per target.
fn trimmed_share(mut counts: Vec<(f64, f64)>) -> f64 {
    counts.retain(|(_, total)| *total > 0.0);
    counts.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
    let kept = counts.len() - (counts.len() as f64 * TRIMMED_SHARE) as usize;
    let (abnormal, total) = counts[..kept]
        .iter()
        .fold((0.0, 0.0), |sum, count| (sum.0 + count.0, sum.1 + count.1));
    if total > 0.0 { abnormal / total } else { 0.0 }
}
