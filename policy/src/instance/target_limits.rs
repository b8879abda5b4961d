//! Rate limits that targets name in their responses.
//!
//! A limit applies to all instances together and for as long as the target names it. It is a
//! property of the target's process: another process at the same address or under the same name
//! starts without one. Each instance that learns of a limit broadcasts it; from then on requests to
//! the target need a permit of its owner, which counts them for all instances. Without a permit
//! nothing is sent there, as the other targets have no limit.

use std::sync::Arc;

use model::configuration::Target;
use rand::RngExt;

use super::Action;
use super::Instance;
use super::LogEvent;
use super::Message;
use super::TargetRateLimit;
use crate::exchange::Notice;
use crate::exchange::NoticedTarget;
use crate::notes::IdRange;
use crate::routing::TargetProcess;

/// Largest part of the time after which a denied instance asks again that is added at random.
const WAIT_JITTER: f64 = 0.5;

impl Instance {
    /// Applies the rate limit that a response names, or its end.
    pub(super) fn apply_rate_limit_notice(&mut self, now_us: u64, noticed: &NoticedTarget) {
        let Some(target) = self.target_of(&noticed.process) else {
            return;
        };
        let load = self.table_builder.load_of(&target);
        let limit_milli = match noticed.notices.rate_limit_milli {
            Notice::Stated(limit_milli) => Some(limit_milli),
            // A response to a request that was sent before the limit was named says nothing
            // about its end.
            Notice::Absent if noticed.sent_us > load.limit_named_us() => None,
            Notice::Absent | Notice::Unreadable => return,
        };
        if load.set_rate_limit(now_us, limit_milli) {
            let limit = TargetRateLimit {
                process: noticed.process.clone(),
                limit_milli,
            };
            self.log_rate_limit(&limit);
            self.update_overload(now_us, &target.service);
            let ids = self.other_ids();
            self.broadcast_rate_limits(now_us, &[limit], &ids);
        }
    }

    /// Applies rate limits that another instance has learned of, and forwards them within
    /// `id_range`.
    pub(super) fn handle_rate_limits(
        &mut self,
        now_us: u64,
        limits: &[TargetRateLimit],
        id_range: Option<&IdRange>,
    ) {
        if let Some(id_range) = id_range {
            let ids = id_range.select_ids(&self.other_ids());
            self.broadcast_rate_limits(now_us, limits, &ids);
        }
        for limit in limits {
            let Some(target) = self.target_of(&limit.process) else {
                continue;
            };
            let load = self.table_builder.load_of(&target);
            if load.set_rate_limit(now_us, limit.limit_milli) {
                self.log_rate_limit(limit);
                self.update_overload(now_us, &target.service);
            }
        }
    }

    /// Sends the known rate limits to an instance that has just started.
    pub(super) fn send_rate_limits(&mut self, now_us: u64, to: &Arc<str>) {
        let limits: Vec<TargetRateLimit> = self.table_builder.rate_limits().collect();
        if !limits.is_empty() {
            let id_range = None;
            self.send(now_us, to, Message::RateLimits { limits, id_range });
        }
    }

    /// The rate limit of a target, in thousandths of a request per second.
    pub(super) fn rate_limit_of(&mut self, target: &Arc<str>) -> Option<u32> {
        let configured = self.note_log.configuration().targets.get(target).cloned()?;
        self.table_builder.load_of(&configured).rate_limit_milli()
    }

    /// Keeps requests from a target until its rate limit may allow one. The time has jitter, so
    /// that the instances ask one after the other.
    pub(super) fn pause_limited_target(&mut self, now_us: u64, target: &Arc<str>, wait_ms: u32) {
        let configured = self.note_log.configuration().targets.get(target).cloned();
        if let Some(configured) = configured {
            let jitter = self.rng.random_range(1.0..1.0 + WAIT_JITTER);
            let wait_us = (f64::from(wait_ms) * 1e3 * jitter) as u64;
            let load = self.table_builder.load_of(&configured);
            load.deny_until(now_us + wait_us);
        }
    }

    /// The target of the configuration that a process stands behind.
    pub(super) fn target_of(&self, process: &TargetProcess) -> Option<Arc<Target>> {
        let configured = self.note_log.configuration().targets.get(&process.target)?;
        (configured.incarnation == process.incarnation).then(|| configured.clone())
    }

    fn log_rate_limit(&mut self, limit: &TargetRateLimit) {
        self.actions.push(Action::Log(LogEvent::RateLimitChanged {
            target: limit.process.target.clone(),
            limit_milli: limit.limit_milli,
        }));
    }

    fn broadcast_rate_limits(&mut self, now_us: u64, limits: &[TargetRateLimit], ids: &[Arc<str>]) {
        for (to, id_range) in crate::notes::partition_receivers(ids, &mut self.rng) {
            let limits = limits.to_vec();
            self.send(now_us, &to, Message::RateLimits { limits, id_range });
        }
    }
}
