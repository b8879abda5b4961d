//! Fault injection, and the guarantees that must hold under any combination of faults.

use std::fmt;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Deployment;
use super::LinkFault;
use super::Mode;
use super::PlatformState;
use super::SECOND_US;
use super::Sim;
use super::TargetFault;

const NODES: usize = 8;
const WARM_UP_US: u64 = 8 * SECOND_US;
const RECOVERY_US: u64 = 45 * SECOND_US;
const CHECK_US: u64 = 5 * SECOND_US;

/// A fault that can be injected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A target has a fault.
    Target(TargetFault),
    /// A note marks a target as leaving.
    Leaving,
    /// An instance is killed and restarted.
    Killed,
    /// An instance is paused and resumed.
    Paused,
    /// An instance drains for a planned stop, and is restarted at the end if it has no
    /// requests left.
    Stopped,
    /// An instance receives no messages but can send them.
    Deaf,
    /// An instance receives messages but those it sends are lost.
    Mute,
    /// An instance is partitioned from the others in both directions.
    CutOff,
    /// All links lose messages.
    Lossy,
    /// All links delay messages by up to two seconds, out of order.
    Delaying,
    /// All messages are delivered twice.
    Twice,
    /// The platform is unavailable or misbehaves.
    Platform(PlatformState),
    /// Two operators submit a note at the same time.
    Race,
}

impl Fault {
    /// All faults of the matrix.
    pub const ALL: [Self; 21] = [
        Self::Target(TargetFault::Dead),
        Self::Target(TargetFault::Hung),
        Self::Target(TargetFault::Slow(8.0)),
        Self::Target(TargetFault::Failing(0.5)),
        Self::Target(TargetFault::Flapping(3)),
        Self::Target(TargetFault::FailingFromOne),
        Self::Target(TargetFault::Shedding),
        Self::Target(TargetFault::Cutting),
        Self::Leaving,
        Self::Killed,
        Self::Paused,
        Self::Stopped,
        Self::Deaf,
        Self::Mute,
        Self::CutOff,
        Self::Lossy,
        Self::Delaying,
        Self::Twice,
        Self::Platform(PlatformState::Away),
        Self::Platform(PlatformState::Slow),
        Self::Platform(PlatformState::LosesAnswers),
    ];
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Target(fault) => write!(f, "target {fault:?}"),
            Self::Platform(state) => write!(f, "platform {state:?}"),
            other => write!(f, "{other:?}"),
        }
    }
}

/// A fault with its schedule.
#[derive(Clone, Debug)]
pub struct Planned {
    /// Start in milliseconds after the warm-up.
    pub at_ms: u64,
    /// Duration in milliseconds.
    pub lasts_ms: u64,
    /// The fault.
    pub fault: Fault,
    /// Index of the affected instance or target, modulo their number.
    pub on: usize,
}

/// Returns a plan of one to six faults, determined by the seed.
pub fn random_plan(seed: u64) -> Vec<Planned> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let count = rng.random_range(1..7);
    let planned = |rng: &mut ChaCha8Rng| {
        let at = rng.random_range(0..=Fault::ALL.len());
        Planned {
            at_ms: rng.random_range(0..20_000),
            lasts_ms: rng.random_range(100..12_000),
            fault: Fault::ALL.get(at).copied().unwrap_or(Fault::Race),
            on: rng.random_range(0..64),
        }
    };
    (0..count).map(|_| planned(&mut rng)).collect()
}

/// Runs a plan and checks the guarantees.
///
/// # Errors
///
/// Returns the violated guarantee, with figures.
pub fn run(seed: u64, plan: &[Planned]) -> Result<Sim, String> {
    let mut sim = small_fleet(seed);
    sim.run_until(WARM_UP_US);
    let mut steps: Vec<(u64, bool, &Planned)> = Vec::new();
    for planned in plan {
        let at_us = WARM_UP_US + planned.at_ms * 1_000;
        steps.push((at_us, true, planned));
        steps.push((at_us + planned.lasts_ms * 1_000, false, planned));
    }
    steps.sort_by_key(|(at_us, is_start, _)| (*at_us, *is_start));
    for (at_us, is_start, planned) in steps {
        sim.run_until(at_us.max(sim.now_us));
        if is_start {
            inject(&mut sim, planned.fault, planned.on);
        } else {
            clear(&mut sim, planned.fault, planned.on);
        }
    }
    heal_and_check(&mut sim)?;
    Ok(sim)
}

/// Creates a small fleet under load on all services.
pub fn small_fleet(seed: u64) -> Sim {
    let deployment = Deployment::rodopi()
        .instances(NODES)
        .load("dashboards", 60.0)
        .load("gates", 25.0)
        .load("exports", 4.0);
    Sim::new(deployment, Mode::Shared, seed)
}

/// Starts a fault.
pub fn inject(sim: &mut Sim, fault: Fault, on: usize) {
    let node = on % NODES;
    let gates = sim.targets_of("gates");
    let target = gates[on % gates.len()].clone();
    match fault {
        Fault::Target(fault) => sim.set_fault(&target, fault),
        Fault::Leaving => {
            let submission = format!("leaving-{}-{on}", sim.now_us);
            sim.submit_leaving(&target, true, &submission);
        }
        Fault::Killed => sim.kill(node),
        Fault::Paused => sim.pause(node),
        Fault::Stopped => sim.drain(node),
        Fault::Deaf => cut_links(sim, node, true, false),
        Fault::Mute => cut_links(sim, node, false, true),
        Fault::CutOff => cut_links(sim, node, true, true),
        Fault::Lossy => sim.network.all_links.loss_rate = 0.3,
        Fault::Delaying => sim.network.all_links.jitter_us = 2 * SECOND_US,
        Fault::Twice => sim.network.all_links.duplicate_rate = 1.0,
        Fault::Platform(state) => sim.set_platform(state),
        Fault::Race => submit_concurrently(sim, &target),
    }
}

/// Ends a fault.
pub fn clear(sim: &mut Sim, fault: Fault, on: usize) {
    let node = on % NODES;
    let gates = sim.targets_of("gates");
    let target = gates[on % gates.len()].clone();
    match fault {
        Fault::Target(_) => sim.set_fault(&target, TargetFault::Healthy),
        Fault::Leaving | Fault::Race => {}
        Fault::Killed => sim.start(node),
        Fault::Paused => sim.resume(node),
        Fault::Stopped => {
            if sim.is_drained(node) {
                sim.kill(node);
                sim.start(node);
            }
        }
        Fault::Deaf | Fault::Mute | Fault::CutOff => sim.network.heal(),
        Fault::Lossy => sim.network.all_links.loss_rate = 0.0,
        Fault::Delaying => sim.network.all_links.jitter_us = 0,
        Fault::Twice => sim.network.all_links.duplicate_rate = 0.0,
        Fault::Platform(_) => sim.set_platform(PlatformState::Up),
    }
}

fn cut_links(sim: &mut Sim, node: usize, inbound: bool, outbound: bool) {
    let fault = LinkFault {
        is_cut: true,
        ..LinkFault::default()
    };
    for other in (0..NODES).filter(|other| *other != node) {
        if inbound {
            sim.network.set(other, node, fault);
        }
        if outbound {
            sim.network.set(node, other, fault);
        }
    }
}

/// Submits two notes of different operators as the successor of the same note.
fn submit_concurrently(sim: &mut Sim, target: &str) {
    let number = sim.latest_note();
    let mut accepted = 0;
    for operator in ["one", "two"] {
        let note = model::Note {
            title: operator.into(),
            submission: format!("race-{}-{operator}-{target}", sim.now_us).into(),
            ..model::Note::default()
        };
        accepted += u32::from(sim.submit_after(number, &note));
    }
    assert!(
        accepted <= 1,
        "both operators received a confirmation for the same note number"
    );
}

/// Ends all faults, waits for recovery and checks the guarantees.
///
/// # Errors
///
/// Returns the violated guarantee, with figures.
pub fn heal_and_check(sim: &mut Sim) -> Result<(), String> {
    sim.network.heal();
    sim.set_platform(PlatformState::Up);
    for node in 0..NODES {
        sim.resume(node);
        sim.start(node);
    }
    for service in ["dashboards", "gates", "exports"] {
        for target in sim.targets_of(service) {
            sim.set_fault(&target, TargetFault::Healthy);
        }
    }
    sim.run_for(RECOVERY_US);
    let before: u64 = sim.stats.served.values().sum();
    sim.run_for(CHECK_US);
    let served = sim.stats.served.values().sum::<u64>() - before;
    check(sim, served)
}

fn check(sim: &Sim, served_after_recovery: u64) -> Result<(), String> {
    let twice = sim.stats.repeated_commands();
    ensure(twice.is_empty(), || {
        format!("commands ran twice: {twice:?}")
    })?;
    let false_reports = sim.stats.false_not_run();
    ensure(false_reports.is_empty(), || {
        format!("commands ran although their callers received not-run: {false_reports:?}")
    })?;
    let late = sim.stats.late_requests;
    ensure(late == 0, || {
        format!("leaving targets received {late} requests after the grace period")
    })?;
    let cut = sim.stats.cut_by_stop;
    ensure(cut == 0, || format!("planned stops aborted {cut} requests"))?;
    let (latest, notes) = (sim.latest_note(), sim.notes());
    ensure(notes.iter().all(|number| *number == latest), || {
        format!("note {latest} is not in force on all instances: {notes:?}")
    })?;
    let logs = sim.submissions();
    let same = logs.windows(2).all(|pair| logs_agree(&pair[0], &pair[1]));
    ensure(same, || {
        "instances have applied different notes under the same number".to_owned()
    })?;
    ensure(served_after_recovery > 0, || {
        "no request was served after the faults ended".to_owned()
    })
}

type SubmissionLog = [(u64, std::sync::Arc<str>)];

/// Whether two logs have the same submission under each number that both contain.
fn logs_agree(one: &SubmissionLog, other: &SubmissionLog) -> bool {
    one.iter().all(|(number, name)| {
        let mut same = other.iter().filter(|(recorded, _)| recorded == number);
        same.all(|(_, recorded)| recorded == name)
    })
}

fn ensure(holds: bool, reason: impl FnOnce() -> String) -> Result<(), String> {
    if holds { Ok(()) } else { Err(reason()) }
}
