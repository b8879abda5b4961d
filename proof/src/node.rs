//! A simulated instance.

use std::collections::BTreeMap;
use std::sync::Arc;

use policy::Instance;
use policy::command::TicketTable;
use policy::limits::FairQueue;

use super::RoundRobin;

/// An instance with its request queues, its tickets and its round-robin router.
pub(super) struct Node {
    pub(super) instance: Option<Instance>,
    pub(super) data_centre: usize,
    pub(super) incarnation: u64,
    pub(super) is_paused: bool,
    pub(super) held_events: Vec<super::Event>,
    pub(super) is_poll_scheduled: bool,
    pub(super) queues: BTreeMap<Arc<str>, FairQueue<u64>>,
    pub(super) tickets: TicketTable,
    pub(super) round_robin: RoundRobin,
    pub(super) is_draining: bool,
    pub(super) highest_note: u64,
}
