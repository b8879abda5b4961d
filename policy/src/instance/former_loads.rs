//! Load counters of targets whose entries are gone.
//!
//! An entry may lapse although its target lives, and return with the same process. What is known of
//! the process, such as a rate limit that it has named, is then still true.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::configuration::Target;

use super::settings::can_share_load;
use crate::routing::TargetLoad;
use crate::routing::TargetProcess;

/// Time for which the counters are kept, in microseconds.
const KEEP_US: u64 = 15 * 60 * 1_000_000;

/// The counters, by process.
#[derive(Debug, Default)]
pub(super) struct FormerLoads {
    loads: BTreeMap<TargetProcess, FormerLoad>,
}

#[derive(Debug)]
struct FormerLoad {
    target: Arc<Target>,
    load: Arc<TargetLoad>,
    /// When they are dropped; set by the first cleanup after the removal of the entry.
    expires_us: Option<u64>,
}

impl FormerLoads {
    /// Keeps the counters of a target whose process can be told from the next one under its name.
    pub(super) fn keep(&mut self, target: Arc<Target>, load: Arc<TargetLoad>) {
        if !target.has_known_incarnation() {
            return;
        }
        let former = FormerLoad {
            target: target.clone(),
            load,
            expires_us: None,
        };
        self.loads.insert(TargetProcess::of(&target), former);
    }

    /// Returns the counters of a process whose entry has returned.
    pub(super) fn take(&mut self, target: &Target) -> Option<Arc<TargetLoad>> {
        let former = self.loads.remove(&TargetProcess::of(target))?;
        can_share_load(&former.target, target).then_some(former.load)
    }

    /// Drops counters whose entries have not returned for a time.
    pub(super) fn cleanup(&mut self, now_us: u64) {
        self.loads.retain(|_, former| {
            let expires_us = *former.expires_us.get_or_insert(now_us + KEEP_US);
            now_us < expires_us
        });
    }
}
