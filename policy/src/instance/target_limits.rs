//! Rate limits that targets name in their responses.
//!
//! A limit applies to all instances together and for as long as the target names it. It is a
//! property of the target's process: another process at the same address or under the same name
//! starts without one.

use super::Action;
use super::Instance;
use super::LogEvent;
use crate::exchange::Notice;
use crate::exchange::NoticedTarget;

impl Instance {
    /// Applies the notices of a response.
    pub(super) fn handle_notices(&mut self, now_us: u64, noticed: &NoticedTarget) {
        let configured = self.note_log.configuration().targets.get(&noticed.target);
        let is_same_process = |incarnation: u64| incarnation == noticed.incarnation;
        let Some(target) = configured
            .filter(|target| is_same_process(target.incarnation))
            .cloned()
        else {
            return;
        };
        let load = self.table_builder.load_of(&target);
        let limit_milli = match noticed.notices.rate_limit_milli {
            Notice::Stated(limit_milli) => Some(limit_milli),
            // A response to a request that was sent before the limit was named says nothing
            // about its end.
            Notice::Absent if noticed.sent_us > load.limit_named_us() => None,
            Notice::Absent => return,
            Notice::Unreadable => {
                if load.mark_unreadable_notice() {
                    self.actions.push(Action::Log(LogEvent::NoticeUnreadable {
                        target: target.name.clone(),
                    }));
                }
                return;
            }
        };
        if load.set_rate_limit(now_us, limit_milli) {
            self.actions.push(Action::Log(LogEvent::RateLimitChanged {
                target: target.name.clone(),
                limit_milli,
            }));
        }
    }
}
