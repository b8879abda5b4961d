//! Links between nodes, with faults by direction.

use std::collections::BTreeMap;

use rand::Rng;
use rand::RngExt;

/// What befalls the messages of a link in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFault {
    /// Whether none passes.
    pub cut: bool,
    /// Share that is lost.
    pub lost: f64,
    /// Share that comes twice.
    pub twice: f64,
    /// Time added at most, in microseconds; messages overtake each other.
    pub jitter_us: u64,
}

/// The links between nodes.
#[derive(Debug, Default)]
pub struct Network {
    faults: BTreeMap<(usize, usize), LinkFault>,
    /// What befalls all links besides.
    pub everywhere: LinkFault,
}

impl Network {
    /// Sets what befalls messages in one direction.
    pub fn set(&mut self, from: usize, to: usize, fault: LinkFault) {
        self.faults.insert((from, to), fault);
    }

    /// Takes all faults of single links away.
    pub fn heal(&mut self) {
        self.faults.clear();
        self.everywhere = LinkFault::default();
    }

    /// When a message arrives, once, twice or never; delays in microseconds.
    pub fn delays(&self, from: usize, to: usize, one_way_us: u64, rng: &mut impl Rng) -> Vec<u64> {
        let link = self.faults.get(&(from, to)).copied().unwrap_or_default();
        let all = self.everywhere;
        if link.cut || all.cut || rng.random_bool(link.lost.max(all.lost)) {
            return Vec::new();
        }
        let jitter_us = link.jitter_us.max(all.jitter_us);
        let mut delay = || one_way_us + rng.random_range(0..=jitter_us);
        let first = delay();
        if link.twice.max(all.twice) > 0.0 {
            let second = delay();
            if rng.random_bool(link.twice.max(all.twice)) {
                return vec![first, second];
            }
        }
        vec![first]
    }
}
