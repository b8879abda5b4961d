//! The tests of all targets of one service against each other.
//!
//! Each target is held against the others' share of abnormal outcomes, the
//! worst third of them left out, so that what befalls all targets ejects none.
//! Besides the pooled counts each observing data centre has its own: a target
//! that is bad from one side only has a bad link.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::world::Service;

use super::RecentTally;
use super::SequentialTest;
use super::Tally;
use super::sequential_test::Alternatives;
use super::sequential_test::Rates;

/// Log ratio at which a data centre's counts clear the target from there.
const CLEAN_LOG_RATIO: f64 = -6.0;
/// Log ratio below which a data centre may turn out to be clean.
const DOUBTFUL_LOG_RATIO: f64 = -3.0;
/// Multiple of the bound at which doubts no longer count.
const CERTAIN_FACTOR: f64 = 1.5;
/// Share of abnormal outcomes that a data centre is expected to see at most.
const MAX_EXPECTED_SHARE: f64 = 0.9;
/// Time in which the background's peak wears off by half.
const BACKGROUND_HALF_LIFE_US: f64 = 5_000_000.0;
/// Normal outcomes added to the recent ones, which are few.
const RECENT_PRIOR: f64 = 20.0;
/// Share of the worst other targets that the background leaves out.
const TRIMMED_SHARE: f64 = 1.0 / 3.0;

/// Other targets with more recent abnormal outcomes than usual from which, and the
/// share of those asked from which, no target is ejected; beyond the worst third
/// that is left out.
const STORM_TARGETS: usize = 2;
const STORM_SHARE: f64 = 0.4;
/// The same for a storm that may have begun: three of ten in the first two seconds of
/// the simulated storms, when others still answer what came before.
const POSSIBLE_TARGETS: usize = 3;
const POSSIBLE_SHARE: f64 = 0.2;
/// Time that the first late outcomes of a storm take to come from all targets, in
/// microseconds: five times the tenth of a second of a fast service.
const SETTLING_US: u64 = 500_000;

/// What the other targets' recent outcomes say of all targets together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CommonFault {
    /// Nothing common.
    None,
    /// Several do badly, or too little time has passed to tell: perhaps all soon will.
    Possible,
    /// Many do badly.
    Present,
}

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

/// Counts that one data centre's instances have reported.
#[derive(Clone, Debug)]
struct Side {
    /// Since its own ratio was last at the lower bound.
    own: SequentialTest,
    /// Since the pooled ratio was last at the lower bound.
    shared: SequentialTest,
}

#[derive(Clone, Debug)]
struct TargetTest {
    pooled: SequentialTest,
    sides: BTreeMap<Arc<str>, Side>,
    trial: SequentialTest,
    recent: RecentTally,
    background: Background,
}

/// The background's latest peak, which wears off.
///
/// When a storm ends, or the scale of latencies has followed it, targets
/// recover one after the other; the last one must not stand out at once.
#[derive(Clone, Copy, Debug, Default)]
struct Background {
    share: f64,
    since_us: u64,
}

impl Background {
    fn rise(&mut self, now_us: u64, share: f64) -> f64 {
        let age_us = now_us.saturating_sub(self.since_us) as f64;
        let left = self.share * 0.5f64.powf(age_us / BACKGROUND_HALF_LIFE_US);
        self.share = share.max(left);
        self.since_us = now_us;
        self.share
    }
}

impl TargetTest {
    fn new(now_us: u64) -> Self {
        Self {
            pooled: SequentialTest::new(now_us),
            sides: BTreeMap::new(),
            trial: SequentialTest::new(now_us),
            recent: RecentTally::default(),
            background: Background::default(),
        }
    }

    fn reset(&mut self, now_us: u64) {
        self.pooled.reset(now_us);
        self.sides.clear();
        self.trial.reset(now_us);
    }

    fn weigh(&mut self, alternatives: Option<Alternatives>) {
        self.pooled.weigh(alternatives);
        for side in self.sides.values_mut() {
            side.own.weigh(alternatives);
        }
    }

    fn reset_pooled(&mut self, now_us: u64) {
        self.pooled.reset(now_us);
        for side in self.sides.values_mut() {
            side.shared.reset(now_us);
        }
    }

    /// Starts the counts of a data centre anew where its ratio is at the lower bound.
    fn reset_healthy_sides(&mut self, now_us: u64, alternatives: Alternatives) {
        for side in self.sides.values_mut() {
            if side.own.log_ratio(alternatives) <= 0.0 {
                side.own.reset(now_us);
            }
        }
    }

    /// The data centres whose own counts reach a bound.
    fn failing_sides(&self, alternatives: Alternatives, bound: f64) -> Vec<Arc<str>> {
        let bound = bound + (self.sides.len().max(1) as f64).ln();
        let failing = self
            .sides
            .iter()
            .filter(|(_, side)| side.own.log_ratio(alternatives) >= bound);
        failing
            .map(|(data_centre, _)| data_centre.clone())
            .collect()
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
    /// Normal outcomes were thinned by `sampling_shift` steps.
    pub fn count(
        &mut self,
        now_us: u64,
        target: &Arc<str>,
        data_centre: &Arc<str>,
        sampling_shift: usize,
        tally: Tally,
    ) {
        let test = self.test(now_us, target);
        test.pooled.add(now_us, sampling_shift, tally);
        let side = test
            .sides
            .entry(data_centre.clone())
            .or_insert_with(|| Side {
                own: SequentialTest::new(now_us),
                shared: SequentialTest::new(now_us),
            });
        side.own.add(now_us, sampling_shift, tally);
        side.shared.add(now_us, sampling_shift, tally);
        test.recent.add(now_us, sampling_shift, tally);
    }

    /// Counts outcomes of a target on trial.
    pub fn count_trial(
        &mut self,
        now_us: u64,
        target: &Arc<str>,
        sampling_shift: usize,
        tally: Tally,
    ) {
        self.test(now_us, target)
            .trial
            .add(now_us, sampling_shift, tally);
    }

    /// Decides on a target, after all outcomes of a report are counted.
    pub fn decide(&mut self, now_us: u64, service: &Service, target: &str) -> Finding {
        let alternatives = self.alternatives(now_us, target);
        let Some(test) = self.targets.get_mut(target) else {
            return Finding::Running(0.0);
        };
        test.weigh(alternatives);
        let Some(alternatives) = alternatives else {
            return Finding::Running(0.0);
        };
        let ratio = test.pooled.log_ratio(alternatives);
        let bound = SequentialTest::upper_bound(service) * alternatives.caution();
        test.reset_healthy_sides(now_us, alternatives);
        let sides = test.failing_sides(alternatives, bound);
        if !sides.is_empty() && ratio < bound / 2.0 {
            test.reset(now_us);
            return Finding::FailingFrom(sides);
        }
        if ratio <= 0.0 {
            test.reset_pooled(now_us);
            return Finding::Running(0.0);
        }
        if ratio < bound {
            return Finding::Running(ratio / bound);
        }
        let started_us = test.pooled.started_us();
        let certain = ratio >= bound * CERTAIN_FACTOR;
        let common = self.common_fault(now_us, started_us, target, alternatives);
        match common {
            CommonFault::Present => return Finding::Running(1.0),
            CommonFault::Possible if !certain => return Finding::Running(1.0),
            CommonFault::Possible | CommonFault::None => {}
        }
        let Some(test) = self.targets.get_mut(target) else {
            return Finding::Running(0.0);
        };
        let finding = locate(alternatives.partly, &test.sides, certain);
        if !matches!(finding, Finding::Running(_)) {
            test.reset(now_us);
        }
        finding
    }

    /// The log ratio of a target's counts on trial.
    pub fn trial_ratio(&mut self, now_us: u64, target: &str) -> f64 {
        match (self.alternatives(now_us, target), self.targets.get(target)) {
            (Some(alternatives), Some(test)) => test.trial.log_ratio_of(alternatives.partly),
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

    fn test(&mut self, now_us: u64, target: &Arc<str>) -> &mut TargetTest {
        let fresh = || TargetTest::new(now_us);
        self.targets.entry(target.clone()).or_insert_with(fresh)
    }

    /// Whether many of the other targets that were asked since `since_us` did badly too.
    ///
    /// The background is known late: where requests are rare, one target reaches its
    /// bound while each other has had an outcome or two; where they are not, it does
    /// so while a storm's first late outcomes are few for each.
    fn common_fault(
        &self,
        now_us: u64,
        since_us: u64,
        target: &str,
        alternatives: Alternatives,
    ) -> CommonFault {
        let others = self.targets.iter().filter(|(name, _)| &***name != target);
        let recent = others.map(|(_, test)| test.recent.since(now_us, since_us));
        let asked: Vec<_> = recent.filter(|tally| tally.total() > 0).collect();
        let background = alternatives.partly.background;
        let bad = asked.iter().filter(|tally| tally.is_unusual(background));
        let bad = bad.count();
        let share = bad as f64 / asked.len().max(1) as f64;
        if bad >= STORM_TARGETS && share >= STORM_SHARE {
            CommonFault::Present
        } else if now_us.saturating_sub(since_us) < SETTLING_US
            || (bad >= POSSIBLE_TARGETS && share >= POSSIBLE_SHARE)
        {
            CommonFault::Possible
        } else {
            CommonFault::None
        }
    }

    /// What a target is held against, from the outcomes of the others.
    fn alternatives(&mut self, now_us: u64, target: &str) -> Option<Alternatives> {
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
        let recent = trimmed_share(recent.collect(), RECENT_PRIOR);
        let decayed = trimmed_share(others.iter().map(|tally| tally.decayed()).collect(), 0.0);
        let test = self.targets.get_mut(target)?;
        let share = test.background.rise(now_us, recent.max(decayed));
        Alternatives::for_background(share)
    }
}

/// Decides whether a failing target fails for all or has bad links.
///
/// A data centre clears the target from there when its own counts speak
/// clearly against the share of abnormal outcomes that the others see. While
/// one may still turn out to be clean, the decision waits, unless `certain`.
fn locate(rates: Rates, sides: &BTreeMap<Arc<str>, Side>, certain: bool) -> Finding {
    let mut clean = false;
    let mut doubtful = false;
    let mut bad = Vec::new();
    for (data_centre, side) in sides {
        let rest = sides
            .iter()
            .filter(|(other, _)| *other != data_centre)
            .map(|(_, side)| &side.shared);
        let expected = Rates {
            background: rates.background,
            failing: abnormal_share(rest).clamp(rates.failing, MAX_EXPECTED_SHARE),
        };
        let ratio = side.shared.log_ratio_of(expected);
        if ratio <= CLEAN_LOG_RATIO {
            clean = true;
        } else if side.shared.log_ratio_of(rates) > 0.0 {
            bad.push(data_centre.clone());
        }
        doubtful |= ratio <= DOUBTFUL_LOG_RATIO;
    }
    match (clean, doubtful && !certain) {
        (true, _) if !bad.is_empty() => Finding::FailingFrom(bad),
        (false, true) => Finding::Running(1.0),
        _ => Finding::Failing,
    }
}

fn abnormal_share<'a>(tests: impl Iterator<Item = &'a SequentialTest>) -> f64 {
    let (abnormal, total) = tests
        .map(SequentialTest::weighted)
        .fold((0.0, 0.0), |sum, count| (sum.0 + count.0, sum.1 + count.1));
    if total > 0.0 { abnormal / total } else { 0.0 }
}

/// The share of abnormal outcomes, given (abnormal, total) per target and
/// `prior` normal outcomes besides.
fn trimmed_share(mut counts: Vec<(f64, f64)>, prior: f64) -> f64 {
    counts.retain(|(_, total)| *total > 0.0);
    counts.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
    let kept = counts.len() - (counts.len() as f64 * TRIMMED_SHARE) as usize;
    let (abnormal, total) = counts[..kept].iter().fold((0.0, prior), |sum, count| {
        (sum.0 + count.0, sum.1 + count.1)
    });
    if total > 0.0 { abnormal / total } else { 0.0 }
}
