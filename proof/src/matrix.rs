//! The fault matrix: each fault at each step of a request and of a note.

use derive_more::Display;

use super::Sim;
use super::chaos;
use super::chaos::Fault;

const FAULT_US: u64 = 6 * super::SECOND_US;
const WARM_UP_US: u64 = 8 * super::SECOND_US;
const PATIENCE_US: u64 = 10 * super::SECOND_US;

/// A step of a request or of a note at which a fault is let loose.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Moment {
    /// A command is accepted.
    #[display("accept")]
    Accept,
    /// A key is about to be claimed.
    #[display("claim")]
    Claim,
    /// The claim's answer has come and a target is chosen.
    #[display("choose")]
    Choose,
    /// The connection and the request are on their way.
    #[display("send")]
    Send,
    /// The request has reached the target.
    #[display("work")]
    Work,
    /// The first byte of the answer has come.
    #[display("first byte")]
    FirstByte,
    /// The body is passed on.
    #[display("body")]
    Body,
    /// The caller has been answered.
    #[display("end")]
    End,
    /// A note has been created in the platform.
    #[display("note created")]
    NoteCreated,
    /// A watcher has heard of a note.
    #[display("note watched")]
    NoteWatched,
    /// A note is on its way between instances.
    #[display("note spread")]
    NoteSpread,
    /// A note is in force at some instance.
    #[display("note applied")]
    NoteApplied,
}

impl Moment {
    /// All moments of the matrix.
    pub const ALL: [Self; 12] = [
        Self::Accept,
        Self::Claim,
        Self::Choose,
        Self::Send,
        Self::Work,
        Self::FirstByte,
        Self::Body,
        Self::End,
        Self::NoteCreated,
        Self::NoteWatched,
        Self::NoteSpread,
        Self::NoteApplied,
    ];

    fn is_of_note(self) -> bool {
        matches!(
            self,
            Self::NoteCreated | Self::NoteWatched | Self::NoteSpread | Self::NoteApplied
        )
    }
}

/// Where a moment was met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Met {
    /// The node.
    pub node: usize,
    /// The target's number within its service, where one is known.
    pub target: Option<usize>,
}

/// Runs one cell: waits for the moment, lets the fault loose on whom it
/// concerns, heals and checks.
///
/// # Errors
///
/// Returns what is broken, or that the moment was not met.
pub fn run(fault: Fault, moment: Moment, seed: u64) -> Result<(), String> {
    let mut sim = chaos::small(seed);
    sim.run_until(WARM_UP_US);
    sim.arm(moment);
    if moment.is_of_note() {
        sim.submit_leaving("gates-14", true, "matrix");
    }
    let met = wait_for_moment(&mut sim)?;
    let on = concerned(fault, met);
    chaos::begin(&mut sim, fault, on);
    sim.run_for(FAULT_US);
    chaos::end(&mut sim, fault, on);
    chaos::settle(&mut sim)
}

fn wait_for_moment(sim: &mut Sim) -> Result<Met, String> {
    let until_us = sim.now_us + PATIENCE_US;
    loop {
        if let Some(met) = sim.met() {
            return Ok(met);
        }
        if sim.now_us >= until_us || !sim.step() {
            return Err("the moment was not met".to_owned());
        }
    }
}

fn concerned(fault: Fault, met: Met) -> usize {
    match fault {
        Fault::Target(_) | Fault::Leaving => met.target.unwrap_or(met.node),
        _ => met.node,
    }
}
