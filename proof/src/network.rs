//! Network links between nodes, with faults by direction.

use std::collections::BTreeMap;

use rand::Rng;
use rand::RngExt;

/// Fault of a link in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFault {
    /// Whether all messages are lost.
    pub is_cut: bool,
    /// Share of messages that are lost.
    pub loss_rate: f64,
    /// Share of messages that are delivered twice.
    pub duplicate_rate: f64,
    /// Maximum random delay in microseconds, which can reorder messages.
    pub jitter_us: u64,
}

/// Links between nodes with their faults.
#[derive(Debug, Default)]
pub struct Network {
    faults: BTreeMap<(usize, usize), LinkFault>,
    /// Fault of all links. Where a single link has a fault too, the worse value of each
    /// property applies.
    pub all_links: LinkFault,
}

impl Network {
    /// Sets the fault of a link in one direction.
    pub fn set(&mut self, from: usize, to: usize, fault: LinkFault) {
        self.faults.insert((from, to), fault);
    }

    /// Clears all faults, of single links and of all links.
    pub fn heal(&mut self) {
        self.faults.clear();
        self.all_links = LinkFault::default();
    }

    /// Returns the delay in microseconds of each delivery of a message: one, two or none.
    pub fn delays(&self, from: usize, to: usize, one_way_us: u64, rng: &mut impl Rng) -> Vec<u64> {
        let link = self.faults.get(&(from, to)).copied().unwrap_or_default();
        let all = self.all_links;
        if link.is_cut || all.is_cut || rng.random_bool(link.loss_rate.max(all.loss_rate)) {
            return Vec::new();
        }
        let jitter_us = link.jitter_us.max(all.jitter_us);
        let mut delay = || one_way_us + rng.random_range(0..=jitter_us);
        let first = delay();
        if link.duplicate_rate.max(all.duplicate_rate) > 0.0 {
            let second = delay();
            if rng.random_bool(link.duplicate_rate.max(all.duplicate_rate)) {
                return vec![first, second];
            }
        }
        vec![first]
    }
}
