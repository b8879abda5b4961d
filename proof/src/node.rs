//! An instance in the simulation.

use std::collections::BTreeMap;
use std::sync::Arc;

use policy::Instance;
use policy::command::TicketTable;
use policy::limits::FairQueue;

use super::RoundRobin;

/// An instance, its queues and its tickets.
pub(super) struct Node {
    pub(super) instance: Option<Instance>,
    pub(super) data_centre: usize,
    pub(super) incarnation: u64,
    pub(super) paused: bool,
    pub(super) held: Vec<super::Event>,
    pub(super) sweeps: bool,
    pub(super) waiting: BTreeMap<Arc<str>, FairQueue<u64>>,
    pub(super) tickets: TicketTable,
    pub(super) baseline: RoundRobin,
    pub(super) draining: bool,
    pub(super) highest_note: u64,
}
