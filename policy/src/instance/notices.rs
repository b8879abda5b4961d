//! What targets say about themselves in their responses.

use super::Action;
use super::Instance;
use super::LogEvent;
use crate::exchange::Notice;
use crate::exchange::NoticedTarget;

impl Instance {
    /// Applies the notices of a response.
    pub(super) fn handle_notices(&mut self, now_us: u64, noticed: &NoticedTarget) {
        let notices = noticed.notices;
        if notices.is_leaving == Notice::Stated(true) {
            self.record_stated_departure(now_us, &noticed.process);
        }
        if let Notice::Stated(pause_ms) = notices.pause_ms {
            let process = noticed.process.clone();
            self.actions
                .push(Action::Log(LogEvent::PauseRequested { process, pause_ms }));
        }
        self.apply_rate_limit_notice(now_us, noticed);
        if notices.has_unreadable() {
            self.log_unreadable_notice(noticed);
        }
    }

    fn log_unreadable_notice(&mut self, noticed: &NoticedTarget) {
        let Some(target) = self.target_of(&noticed.process) else {
            return;
        };
        if self.table_builder.load_of(&target).mark_unreadable_notice() {
            let target = target.name.clone();
            self.actions
                .push(Action::Log(LogEvent::NoticeUnreadable { target }));
        }
    }
}
