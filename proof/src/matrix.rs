//! The fault matrix: each fault is injected at each step of a command and of a note.

use derive_more::Display;

use super::Sim;
use super::chaos;
use super::chaos::Fault;

const FAULT_US: u64 = 6 * super::SECOND_US;
const WARM_UP_US: u64 = 8 * super::SECOND_US;
const POINT_TIMEOUT_US: u64 = 10 * super::SECOND_US;

/// A step of a command or of a note at which a fault is injected.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum InjectionPoint {
    /// A node accepts a command.
    #[display("accept")]
    Accept,
    /// A node is about to claim a key.
    #[display("claim")]
    Claim,
    /// The answer to the claim has arrived and a target is chosen.
    #[display("choose")]
    Choose,
    /// The connection is being opened and the request sent.
    #[display("send")]
    Send,
    /// The request has reached the target.
    #[display("work")]
    Work,
    /// The first byte of the response has arrived.
    #[display("first byte")]
    FirstByte,
    /// The response body is forwarded.
    #[display("body")]
    Body,
    /// The response body has ended.
    #[display("end")]
    End,
    /// A note has been created in the platform.
    #[display("note created")]
    NoteCreated,
    /// The platform answers the watch of an instance with the note.
    #[display("note watched")]
    NoteWatched,
    /// The note is sent from one instance to another.
    #[display("note spread")]
    NoteBroadcast,
    /// The note is in force at an instance.
    #[display("note applied")]
    NoteApplied,
}

impl InjectionPoint {
    /// All steps of the matrix.
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
        Self::NoteBroadcast,
        Self::NoteApplied,
    ];

    fn is_note_step(self) -> bool {
        matches!(
            self,
            Self::NoteCreated | Self::NoteWatched | Self::NoteBroadcast | Self::NoteApplied
        )
    }
}

/// Where a step was reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InjectionSite {
    /// Index of the node.
    pub node: usize,
    /// Index of the target within its service, if the step involves a target.
    pub target: Option<usize>,
}

/// Runs one cell: waits for the step, injects the fault into the instance or
/// target involved, ends the fault and checks the guarantees.
///
/// # Errors
///
/// Returns the violated guarantee, or that the step was not reached in time.
pub fn run(fault: Fault, point: InjectionPoint, seed: u64) -> Result<(), String> {
    let mut sim = chaos::small_fleet(seed);
    sim.run_until(WARM_UP_US);
    sim.arm(point);
    if point.is_note_step() {
        sim.submit_leaving("gates-14", true, "matrix");
    }
    let site = wait_for_point(&mut sim)?;
    let index = affected_index(fault, site);
    chaos::inject(&mut sim, fault, index);
    sim.run_for(FAULT_US);
    chaos::clear(&mut sim, fault, index);
    chaos::heal_and_check(&mut sim)
}

fn wait_for_point(sim: &mut Sim) -> Result<InjectionSite, String> {
    let until_us = sim.now_us + POINT_TIMEOUT_US;
    loop {
        if let Some(site) = sim.reached_site() {
            return Ok(site);
        }
        if sim.now_us >= until_us || !sim.step() {
            return Err("the step was not reached".to_owned());
        }
    }
}

fn affected_index(fault: Fault, site: InjectionSite) -> usize {
    match fault {
        Fault::Target(_) | Fault::Leaving => site.target.unwrap_or(site.node),
        _ => site.node,
    }
}
