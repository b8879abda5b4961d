//! Outlier detection among the targets of one service.
//!
//! Each target is compared with the share of abnormal outcomes of the other targets,
//! without the worst third of them, so that a fault common to all targets, such as a
//! storm, ejects none. Besides the pooled counts, each observing data centre has its
//! own counts: a target that fails only as observed from one data centre has a faulty
//! link.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::configuration::Service;

use super::RecentTally;
use super::SequentialTest;
use super::Tally;
use super::sequential_test::Alternatives;
use super::sequential_test::Rates;

/// Log ratio up to which the target counts as healthy as observed from a data centre.
const HEALTHY_LOG_RATIO: f64 = -6.0;
/// Log ratio up to which the target may still prove healthy from a data centre.
const POSSIBLY_HEALTHY_LOG_RATIO: f64 = -3.0;
/// Multiple of the bound at which the decision no longer waits for more evidence.
const CERTAIN_FACTOR: f64 = 1.5;
/// Highest share of abnormal outcomes that a data centre is expected to observe.
const MAX_EXPECTED_SHARE: f64 = 0.9;
/// Half-life of the baseline's peak.
const BASELINE_PEAK_HALF_LIFE_US: f64 = 5_000_000.0;
/// Normal outcomes added as a prior to the recent outcomes, which are few.
const RECENT_PRIOR_NORMAL: f64 = 20.0;
/// Share of the other targets, worst first, that the baseline excludes.
const TRIMMED_SHARE: f64 = 1.0 / 3.0;

/// Number of other targets with unusually many recent abnormal outcomes from which
/// no target is ejected, provided that their share reaches `COMMON_FAULT_SHARE`.
const COMMON_FAULT_TARGETS: usize = 2;
/// Least share of such targets among the other targets with recent outcomes; more than
/// the worst third, which the baseline excludes.
const COMMON_FAULT_SHARE: f64 = 0.4;
/// Number of such targets from which a storm may have begun: in the first two seconds of
/// the simulated storms, three of ten targets are affected, while others still respond to
/// earlier requests.
const POSSIBLE_FAULT_TARGETS: usize = 3;
/// Least share of such targets from which a storm may have begun.
const POSSIBLE_FAULT_SHARE: f64 = 0.2;
/// Time until all targets have returned the first late outcomes of a storm, in
/// microseconds: five times the response time of a fast service, a tenth of a second.
const SETTLING_TIME_US: u64 = 500_000;

/// Whether the recent outcomes of the other targets indicate a fault common to all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CommonFault {
    /// No common fault.
    None,
    /// Several targets are affected, or too little time has passed to exclude a common fault.
    Possible,
    /// Many targets are affected.
    Present,
}

/// Result of the test of a target.
#[derive(Clone, Debug, PartialEq)]
pub enum Finding {
    /// Inconclusive; the evidence as a share of that required for ejection, from 0 to 1.
    Undecided(f64),
    /// The target fails as observed from all data centres.
    Failing,
    /// The target fails as observed from these data centres only.
    FailingFrom(Vec<Arc<str>>),
}

/// Outcomes reported by the instances of one data centre.
#[derive(Clone, Debug)]
struct DataCentreCounts {
    /// Outcomes since the data centre's own log ratio was last not positive.
    since_own_reset: SequentialTest,
    /// Outcomes since the pooled log ratio was last not positive.
    since_pooled_reset: SequentialTest,
}

#[derive(Clone, Debug)]
struct TargetTest {
    pooled: SequentialTest,
    data_centres: BTreeMap<Arc<str>, DataCentreCounts>,
    trial: SequentialTest,
    recent: RecentTally,
    baseline_peak: BaselinePeak,
}

/// Peak of the baseline error rate, with exponential decay.
///
/// When a storm ends, or the latency estimates have adapted to it, targets
/// recover one after the other, and the last one must not stand out immediately.
#[derive(Clone, Copy, Debug, Default)]
struct BaselinePeak {
    share: f64,
    since_us: u64,
}

impl BaselinePeak {
    fn update(&mut self, now_us: u64, share: f64) -> f64 {
        let age_us = now_us.saturating_sub(self.since_us) as f64;
        let decayed_share = self.share * 0.5f64.powf(age_us / BASELINE_PEAK_HALF_LIFE_US);
        self.share = share.max(decayed_share);
        self.since_us = now_us;
        self.share
    }
}

impl TargetTest {
    fn new(now_us: u64) -> Self {
        Self {
            pooled: SequentialTest::new(now_us),
            data_centres: BTreeMap::new(),
            trial: SequentialTest::new(now_us),
            recent: RecentTally::default(),
            baseline_peak: BaselinePeak::default(),
        }
    }

    fn reset(&mut self, now_us: u64) {
        self.pooled.reset(now_us);
        self.data_centres.clear();
        self.trial.reset(now_us);
    }

    fn accumulate(&mut self, alternatives: Option<Alternatives>) {
        self.pooled.accumulate(alternatives);
        for counts in self.data_centres.values_mut() {
            counts.since_own_reset.accumulate(alternatives);
        }
    }

    fn reset_pooled(&mut self, now_us: u64) {
        self.pooled.reset(now_us);
        for counts in self.data_centres.values_mut() {
            counts.since_pooled_reset.reset(now_us);
        }
    }

    /// Clears the counts of each data centre whose own log ratio is not positive.
    fn reset_healthy_data_centres(&mut self, now_us: u64, alternatives: Alternatives) {
        for counts in self.data_centres.values_mut() {
            if counts.since_own_reset.log_ratio(alternatives) <= 0.0 {
                counts.since_own_reset.reset(now_us);
            }
        }
    }

    /// Returns the data centres whose own log ratio reaches `bound`, which is raised by the
    /// logarithm of the number of data centres, as each of them is tested.
    fn failing_data_centres(&self, alternatives: Alternatives, bound: f64) -> Vec<Arc<str>> {
        let bound = bound + (self.data_centres.len().max(1) as f64).ln();
        let failing = self
            .data_centres
            .iter()
            .filter(|(_, counts)| counts.since_own_reset.log_ratio(alternatives) >= bound);
        failing
            .map(|(data_centre, _)| data_centre.clone())
            .collect()
    }
}

/// Outcome counts and tests of the targets of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceTest {
    targets: BTreeMap<Arc<str>, TargetTest>,
}

impl ServiceTest {
    /// Counts outcomes observed by an instance in `data_centre`.
    ///
    /// Normal outcomes were sampled with `sampling_shift`.
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
        let counts = test
            .data_centres
            .entry(data_centre.clone())
            .or_insert_with(|| DataCentreCounts {
                since_own_reset: SequentialTest::new(now_us),
                since_pooled_reset: SequentialTest::new(now_us),
            });
        counts.since_own_reset.add(now_us, sampling_shift, tally);
        counts.since_pooled_reset.add(now_us, sampling_shift, tally);
        test.recent.add(now_us, sampling_shift, tally);
    }

    /// Counts outcomes of half-open requests to a target on trial.
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

    /// Returns the finding for a target; called after all outcomes of a report are counted.
    pub fn decide(&mut self, now_us: u64, service: &Service, target: &str) -> Finding {
        let alternatives = self.alternatives(now_us, target);
        let Some(test) = self.targets.get_mut(target) else {
            return Finding::Undecided(0.0);
        };
        test.accumulate(alternatives);
        let Some(alternatives) = alternatives else {
            return Finding::Undecided(0.0);
        };
        let ratio = test.pooled.log_ratio(alternatives);
        let bound = SequentialTest::upper_bound(service) * alternatives.bound_factor();
        test.reset_healthy_data_centres(now_us, alternatives);
        let data_centres = test.failing_data_centres(alternatives, bound);
        if !data_centres.is_empty() && ratio < bound / 2.0 {
            test.reset(now_us);
            return Finding::FailingFrom(data_centres);
        }
        if ratio <= 0.0 {
            test.reset_pooled(now_us);
            return Finding::Undecided(0.0);
        }
        if ratio < bound {
            return Finding::Undecided(ratio / bound);
        }
        let started_us = test.pooled.started_us();
        let is_certain = ratio >= bound * CERTAIN_FACTOR;
        let common = self.detect_common_fault(now_us, started_us, target, alternatives);
        match common {
            CommonFault::Present => return Finding::Undecided(1.0),
            CommonFault::Possible if !is_certain => return Finding::Undecided(1.0),
            CommonFault::Possible | CommonFault::None => {}
        }
        let Some(test) = self.targets.get_mut(target) else {
            return Finding::Undecided(0.0);
        };
        let finding = attribute_failure(alternatives.partial, &test.data_centres, is_certain);
        if !matches!(finding, Finding::Undecided(_)) {
            test.reset(now_us);
        }
        finding
    }

    /// Returns the log ratio of a target's outcomes on trial.
    pub fn trial_ratio(&mut self, now_us: u64, target: &str) -> f64 {
        match (self.alternatives(now_us, target), self.targets.get(target)) {
            (Some(alternatives), Some(test)) => test.trial.log_ratio_for(alternatives.partial),
            _ => 0.0,
        }
    }

    /// Clears a target's counts.
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
        let new_test = || TargetTest::new(now_us);
        self.targets.entry(target.clone()).or_insert_with(new_test)
    }

    /// Whether many of the other targets with outcomes since `since_us` are affected too.
    ///
    /// The baseline lags behind a storm. If requests are rare, one target may reach its
    /// bound while each of the others has had only one or two outcomes. If they are
    /// frequent, it may do so while the others have returned few of their first late
    /// outcomes.
    fn detect_common_fault(
        &self,
        now_us: u64,
        since_us: u64,
        target: &str,
        alternatives: Alternatives,
    ) -> CommonFault {
        let others = self.targets.iter().filter(|(name, _)| &***name != target);
        let recent = others.map(|(_, test)| test.recent.since(now_us, since_us));
        let with_outcomes: Vec<_> = recent.filter(|tally| tally.total() > 0).collect();
        let baseline_rate = alternatives.partial.baseline;
        let unusual = with_outcomes
            .iter()
            .filter(|tally| tally.is_unusual(baseline_rate));
        let unusual = unusual.count();
        let share = unusual as f64 / with_outcomes.len().max(1) as f64;
        if unusual >= COMMON_FAULT_TARGETS && share >= COMMON_FAULT_SHARE {
            CommonFault::Present
        } else if now_us.saturating_sub(since_us) < SETTLING_TIME_US
            || (unusual >= POSSIBLE_FAULT_TARGETS && share >= POSSIBLE_FAULT_SHARE)
        {
            CommonFault::Possible
        } else {
            CommonFault::None
        }
    }

    /// Returns the alternatives for a target; the outcomes of the other targets give the baseline.
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
        let recent = trimmed_share(recent.collect(), RECENT_PRIOR_NORMAL);
        let decayed = trimmed_share(others.iter().map(|tally| tally.decayed()).collect(), 0.0);
        let test = self.targets.get_mut(target)?;
        let share = test.baseline_peak.update(now_us, recent.max(decayed));
        Alternatives::for_baseline(share)
    }
}

/// Decides whether a target fails for all data centres or has faulty links to some.
///
/// The target is healthy as observed from a data centre if that data centre's counts
/// clearly contradict the share of abnormal outcomes that the others observe. While a
/// data centre may still prove healthy, the decision waits, unless `is_certain`.
fn attribute_failure(
    rates: Rates,
    data_centres: &BTreeMap<Arc<str>, DataCentreCounts>,
    is_certain: bool,
) -> Finding {
    let mut any_healthy = false;
    let mut any_possibly_healthy = false;
    let mut failing_data_centres = Vec::new();
    for (data_centre, counts) in data_centres {
        let others = data_centres
            .iter()
            .filter(|(other, _)| *other != data_centre)
            .map(|(_, counts)| &counts.since_pooled_reset);
        let expected = Rates {
            baseline: rates.baseline,
            failing: abnormal_share(others).clamp(rates.failing, MAX_EXPECTED_SHARE),
        };
        let ratio = counts.since_pooled_reset.log_ratio_for(expected);
        if ratio <= HEALTHY_LOG_RATIO {
            any_healthy = true;
        } else if counts.since_pooled_reset.log_ratio_for(rates) > 0.0 {
            failing_data_centres.push(data_centre.clone());
        }
        any_possibly_healthy |= ratio <= POSSIBLY_HEALTHY_LOG_RATIO;
    }
    match (any_healthy, any_possibly_healthy && !is_certain) {
        (true, _) if !failing_data_centres.is_empty() => Finding::FailingFrom(failing_data_centres),
        (false, true) => Finding::Undecided(1.0),
        _ => Finding::Failing,
    }
}

fn abnormal_share<'a>(tests: impl Iterator<Item = &'a SequentialTest>) -> f64 {
    let (abnormal, total) = tests
        .map(SequentialTest::unsampled_counts)
        .fold((0.0, 0.0), |sum, count| (sum.0 + count.0, sum.1 + count.1));
    if total > 0.0 { abnormal / total } else { 0.0 }
}

/// Returns the share of abnormal outcomes of all but the worst targets, given
/// (abnormal, total) per target and `prior` additional normal outcomes.
fn trimmed_share(mut counts: Vec<(f64, f64)>, prior: f64) -> f64 {
    counts.retain(|(_, total)| *total > 0.0);
    counts.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
    let retained = counts.len() - (counts.len() as f64 * TRIMMED_SHARE) as usize;
    let (abnormal, total) = counts[..retained].iter().fold((0.0, prior), |sum, count| {
        (sum.0 + count.0, sum.1 + count.1)
    });
    if total > 0.0 { abnormal / total } else { 0.0 }
}
