//! The faults of a run, as they follow from its seed.

use std::time::Duration;

use derive_more::Display;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standin::StoreFault;
use standin::TargetScript;

use super::Mode;
use super::Size;

/// Time for instances to be ready and known to each other before the first fault.
const QUIET_MS: u64 = 1_500;
/// Time of a run in which faults begin, for the usual number of faults.
const FAULTS_MS: u64 = 14_000;
const FAULTS: std::ops::Range<u32> = 8..16;
/// Retries besides the share that settings may say: no more than at the start.
const RETRY_RESERVES: std::ops::Range<u32> = 20..56;
/// How long a fault lasts: around the two to three seconds after which bounds hold.
const LASTS_MS: std::ops::Range<u64> = 300..4_500;

/// A fault; numbers count from 0 among those that fit.
#[derive(Clone, Copy, Debug, PartialEq, Display)]
pub enum Fault {
    /// Killed, and started again at the end.
    #[display("instance {_0} is killed")]
    Kill(usize),
    /// Stands still until the end.
    #[display("instance {_0} is frozen")]
    Freeze(usize),
    /// Asked to stop, and started again when it is gone.
    #[display("instance {_0} is stopped by plan")]
    Stop(usize),
    /// Its settings change: the retries that all may make besides their share.
    #[display("settings of instance {_0}: {_1} retries besides")]
    Settings(usize, u32),
    /// The link from callers to an instance.
    #[display("callers' link of instance {_0}: {_1:?}")]
    Callers(usize, Mode),
    /// The link from other instances to one.
    #[display("peers' link of instance {_0}: {_1:?}")]
    Peers(usize, Mode),
    /// The link from an instance to the store: answers late, lost or none.
    #[display("store's link of instance {_0}: {_1:?}")]
    StoreLink(usize, Mode),
    /// The link to a target.
    #[display("link of target {_0}: {_1:?}")]
    TargetLink(usize, Mode),
    /// A target behaves badly.
    #[display("target {_0}: {_1:?}")]
    Target(usize, TargetScript),
    /// A target drains and leaves; another one takes its place.
    #[display("target {_0} is replaced")]
    Replace(usize),
    /// The store.
    #[display("store: {_0:?}")]
    Store(StoreFault),
    /// The store forgets its history.
    #[display("store forgets its history")]
    Compact,
    /// The route that moves goes to the other service.
    #[display("the route moves")]
    Move,
}

/// A fault at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// When it begins, in milliseconds from the run's start.
    pub at_ms: u64,
    /// How long it lasts.
    pub for_ms: u64,
    /// The fault.
    pub fault: Fault,
}

/// The faults of a run, by time.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// The faults.
    pub steps: Vec<Step>,
}

impl Plan {
    /// The plan of a seed; the same seed gives the same plan.
    pub fn of(seed: u64, size: Size) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(FAULTS);
        let mut steps: Vec<Step> = (0..count)
            .map(|_| Step {
                at_ms: QUIET_MS + rng.random_range(0..FAULTS_MS),
                for_ms: rng.random_range(LASTS_MS),
                fault: draw(&mut rng, size),
            })
            .collect();
        steps.sort_by_key(|step| step.at_ms);
        Self { seed, steps }
    }

    /// When the last fault is over.
    pub fn over_ms(&self) -> u64 {
        let ends = self.steps.iter().map(|step| step.at_ms + step.for_ms);
        ends.max().unwrap_or(0)
    }
}

fn draw(rng: &mut ChaCha8Rng, size: Size) -> Fault {
    let instance = rng.random_range(0..size.instances);
    let target = rng.random_range(0..2 * size.targets_each);
    match rng.random_range(0..20) {
        0 | 1 => Fault::Kill(instance),
        2 | 3 => Fault::Freeze(instance),
        4 | 5 => Fault::Stop(instance),
        6 => Fault::Settings(instance, rng.random_range(RETRY_RESERVES)),
        7 => Fault::Callers(instance, draw_mode(rng)),
        8 => Fault::Peers(instance, draw_mode(rng)),
        9 => Fault::StoreLink(instance, draw_mode(rng)),
        10 => Fault::TargetLink(target, draw_mode(rng)),
        11..14 => Fault::Target(target, draw_script(rng)),
        14 | 15 => Fault::Replace(target),
        16 => Fault::Store(draw_store_fault(rng)),
        17 => Fault::Compact,
        _ => Fault::Move,
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
        // Twice, as it alone shows what is sent again though it may have run.
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
