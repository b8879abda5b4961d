//! Plans of faults, derived deterministically from a seed.

use std::time::Duration;

use derive_more::Display;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standin::StoreFault;
use standin::TargetScript;

use super::Mode;
use super::Size;
use crate::foreign_entries;

/// Time before the first fault, for instances to become ready and discover each other.
const WARM_UP_MS: u64 = 1_500;
/// Period of a run in which faults begin, sized for the usual number of faults.
const FAULT_START_RANGE_MS: u64 = 14_000;
const FAULT_COUNT: std::ops::Range<u32> = 8..16;
/// Number of targets that say that they leave.
const DEPARTURE_COUNT: std::ops::Range<u32> = 1..4;
/// Number of times that another writer writes entries.
const FOREIGN_ENTRIES_COUNT: std::ops::Range<u32> = 1..4;
/// Values of `retrySlack` in reloaded settings. Never above the initial value, which the
/// checks assume.
const RETRY_SLACK_VALUES: std::ops::Range<u32> = 20..56;
/// Time for which all instances are down.
const KILL_ALL_DURATION_MS: std::ops::Range<u64> = 50..1_000;
/// Further routes of a configuration that is not sent between instances as a whole.
const IDLE_ROUTES: std::ops::Range<usize> = 100..400;
/// Time for which the store turns an instance away: the longest of the users' site files.
const REJECTION_MS: u64 = 9_000;
/// Duration of a fault: shorter and longer than the two to three seconds after which bounds
/// must hold.
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..4_500;

/// A fault to inject. Instances and targets are numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Display)]
pub enum Fault {
    /// Kills an instance and restarts it at the end.
    #[display("instance {_0} is killed")]
    Kill(usize),
    /// Suspends an instance with SIGSTOP until the end.
    #[display("instance {_0} is frozen")]
    Freeze(usize),
    /// Stops an instance gracefully and restarts it once it has exited.
    #[display("instance {_0} is stopped by plan")]
    Stop(usize),
    /// Reloads the settings of an instance with another `retrySlack`: the number of retries
    /// that the fleet may make beyond its retry ratio.
    #[display("settings of instance {_0}: retry slack {_1}")]
    ReloadSettings(usize, u32),
    /// Sets the mode of the link from callers to an instance.
    #[display("callers' link of instance {_0}: {_1:?}")]
    CallerLink(usize, Mode),
    /// Sets the mode of the link from other instances to an instance.
    #[display("peers' link of instance {_0}: {_1:?}")]
    PeerLink(usize, Mode),
    /// Sets the mode of the link from an instance to the store, so that answers of the store
    /// are late or lost.
    #[display("store's link of instance {_0}: {_1:?}")]
    StoreLink(usize, Mode),
    /// Sets the mode of the link to a target.
    #[display("link of target {_0}: {_1:?}")]
    TargetLink(usize, Mode),
    /// Makes a target misbehave as its script describes.
    #[display("target {_0}: {_1:?}")]
    TargetBehavior(usize, TargetScript),
    /// Drains a target, removes it and adds a replacement.
    #[display("target {_0} is replaced")]
    ReplaceTarget(usize),
    /// Makes a target say in its responses that it leaves, while the store lists it as ready, and
    /// replaces it at the end.
    #[display("target {_0} says that it leaves, then is replaced")]
    StateDeparture(usize),
    /// Writes entries of another writer after that of a target, in the kind of this number. At the
    /// end, some kinds are removed, and the others get another value.
    #[display("entries of another writer after that of target {_0}, kind {_1}")]
    ForeignEntries(usize, usize),
    /// Kills all instances and restarts them at the end, so that none learns from another.
    #[display("all instances are killed")]
    KillAll,
    /// Makes the store fail.
    #[display("store: {_0:?}")]
    StoreFailure(StoreFault),
    /// Compacts the history of the store.
    #[display("store compacts its history")]
    CompactStore,
    /// Points the moving route to a service, which may be the current one.
    #[display("the route moves")]
    MoveRoute,
    /// Points the moving route to the service whose configurations have a route for orders.
    #[display("orders must run at most once")]
    AddOrders,
}

/// A fault with its start and duration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// Start, in milliseconds from the start of the plan.
    pub at_ms: u64,
    /// Duration in milliseconds. Some faults ignore it.
    pub duration_ms: u64,
    /// Fault to inject.
    pub fault: Fault,
}

/// Faults of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Seed that the plan is derived from.
    pub seed: u64,
    /// Faults ordered by start.
    pub steps: Vec<Step>,
    /// Routes of each configuration that get no requests.
    pub idle_routes: usize,
}

impl Plan {
    /// Draws the plan of a seed. The same seed and size give the same plan.
    pub fn from_seed(seed: u64, size: Size) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(FAULT_COUNT);
        let mut steps: Vec<Step> = (0..count)
            .map(|_| Step {
                at_ms: WARM_UP_MS + rng.random_range(0..FAULT_START_RANGE_MS),
                duration_ms: rng.random_range(FAULT_DURATION_MS),
                fault: draw_fault(&mut rng, size),
            })
            .collect();
        // Drawn apart, so that the other faults of a seed stay the same.
        let mut departures_rng = ChaCha8Rng::seed_from_u64(!seed);
        let departures = departures_rng.random_range(DEPARTURE_COUNT);
        steps.extend((0..departures).map(|_| {
            let target = departures_rng.random_range(0..2 * size.targets_per_service);
            Step {
                at_ms: WARM_UP_MS + departures_rng.random_range(0..FAULT_START_RANGE_MS),
                duration_ms: departures_rng.random_range(FAULT_DURATION_MS),
                fault: Fault::StateDeparture(target),
            }
        }));
        steps.extend(draw_foreign_entries(seed, size));
        let (rejection, idle_routes) = draw_rejection(seed, size);
        steps.extend(rejection);
        steps.sort_by_key(|step| step.at_ms);
        Self {
            seed,
            steps,
            idle_routes,
        }
    }

    /// Returns when the last fault ends, in milliseconds from the start of the plan.
    pub fn end_ms(&self) -> u64 {
        let ends = self.steps.iter().map(|step| step.at_ms + step.duration_ms);
        ends.max().unwrap_or(0)
    }
}

/// Draws entries of other writers, and in half of the plans a restart of all instances while some
/// stand. They have a stream of their own, so that the other faults of a seed stay the same.
fn draw_foreign_entries(seed: u64, size: Size) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(1);
    let count = rng.random_range(FOREIGN_ENTRIES_COUNT);
    let mut steps: Vec<Step> = (0..count)
        .map(|_| Step {
            at_ms: WARM_UP_MS + rng.random_range(0..FAULT_START_RANGE_MS),
            duration_ms: rng.random_range(FAULT_DURATION_MS),
            fault: Fault::ForeignEntries(
                rng.random_range(0..2 * size.targets_per_service),
                rng.random_range(0..foreign_entries::KINDS),
            ),
        })
        .collect();
    if rng.random_bool(0.5) {
        steps.push(Step {
            at_ms: steps[0].at_ms + steps[0].duration_ms / 2,
            duration_ms: rng.random_range(KILL_ALL_DURATION_MS),
            fault: Fault::KillAll,
        });
    }
    steps
}

/// Draws a change of a route's kind while the store turns one instance away and, some seconds later,
/// targets lose answers; in most plans, configurations are too large to be sent between instances as
/// a whole. Returns the number of further routes too.
fn draw_rejection(seed: u64, size: Size) -> (Vec<Step>, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(2);
    let idle_routes = match rng.random_bool(0.7) {
        true => rng.random_range(IDLE_ROUTES),
        false => 0,
    };
    let instance = rng.random_range(0..size.instances);
    let at_ms = WARM_UP_MS + rng.random_range(0..FAULT_START_RANGE_MS / 2);
    let changed_ms = at_ms + rng.random_range(300..1_000);
    let lost_ms = changed_ms + rng.random_range(2_000..4_000);
    let mut steps = vec![
        Step {
            at_ms,
            duration_ms: REJECTION_MS,
            fault: Fault::StoreLink(instance, Mode::CutBack),
        },
        Step {
            at_ms: changed_ms,
            duration_ms: 0,
            fault: Fault::AddOrders,
        },
    ];
    let losing = (0..2 * size.targets_per_service).filter(|_| rng.random_bool(0.4));
    let losing: Vec<usize> = losing.collect();
    steps.extend(losing.into_iter().map(|target| Step {
        at_ms: lost_ms,
        duration_ms: rng.random_range(1_000..3_000),
        fault: Fault::TargetBehavior(target, TargetScript::LosesAnswers),
    }));
    (steps, idle_routes)
}

fn draw_fault(rng: &mut ChaCha8Rng, size: Size) -> Fault {
    let instance = rng.random_range(0..size.instances);
    let target = rng.random_range(0..2 * size.targets_per_service);
    match rng.random_range(0..20) {
        0 | 1 => Fault::Kill(instance),
        2 | 3 => Fault::Freeze(instance),
        4 | 5 => Fault::Stop(instance),
        6 => Fault::ReloadSettings(instance, rng.random_range(RETRY_SLACK_VALUES)),
        7 => Fault::CallerLink(instance, draw_mode(rng)),
        8 => Fault::PeerLink(instance, draw_mode(rng)),
        9 => Fault::StoreLink(instance, draw_mode(rng)),
        10 => Fault::TargetLink(target, draw_mode(rng)),
        11..14 => Fault::TargetBehavior(target, draw_script(rng)),
        14 | 15 => Fault::ReplaceTarget(target),
        16 => Fault::StoreFailure(draw_store_fault(rng)),
        17 => Fault::CompactStore,
        _ => Fault::MoveRoute,
    }
}

fn draw_mode(rng: &mut ChaCha8Rng) -> Mode {
    match rng.random_range(0..6) {
        0 => Mode::Delay(Duration::from_millis(rng.random_range(20..400))),
        1 => Mode::CutThere,
        2 => Mode::CutBack,
        3 => Mode::Silence,
        4 => Mode::Slow,
        _ => Mode::Reset,
    }
}

fn draw_script(rng: &mut ChaCha8Rng) -> TargetScript {
    const SCRIPTS: [TargetScript; 12] = [
        TargetScript::Resets,
        // Listed twice, as only this script reveals requests that are sent again although they
        // may have run.
        TargetScript::LosesAnswers,
        TargetScript::LosesAnswers,
        TargetScript::Sheds,
        TargetScript::Misdirects,
        TargetScript::Errors,
        TargetScript::Hangs,
        TargetScript::ForeignId,
        TargetScript::Unsigned,
        TargetScript::Encodes,
        TargetScript::Cuts,
        TargetScript::AnswersTwice,
    ];
    SCRIPTS[rng.random_range(0..SCRIPTS.len())]
}

fn draw_store_fault(rng: &mut ChaCha8Rng) -> StoreFault {
    match rng.random_range(0..3) {
        0 => StoreFault::Busy,
        1 => StoreFault::Reset,
        _ => StoreFault::Silent,
    }
}
