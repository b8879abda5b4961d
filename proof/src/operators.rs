//! Simulated operators, who submit notes.

use std::sync::Arc;

use model::Note;

use super::InjectionPoint;
use super::MILLI_US;
use super::PlatformState;
use super::Sim;
use super::deployment::change_targets;

impl Sim {
    /// Returns the number of the latest note in the platform, or 0 without notes.
    pub fn latest_note(&self) -> u64 {
        let notes = self.platform.notes_after(self.now_us / MILLI_US, 0);
        notes.last().map_or(0, |note| note.number)
    }

    /// Submits a note for an operator whose latest known note is `number`.
    ///
    /// Returns whether the platform stored this note under the next number. An operator
    /// whose answer was lost reads the stored note back to find out.
    pub fn submit_after(&mut self, number: u64, note: &Note) -> bool {
        if matches!(
            self.platform.state,
            PlatformState::Away | PlatformState::Slow
        ) {
            return false;
        }
        let text = serde_json::to_string(note).unwrap_or_default();
        let stored = self
            .platform
            .create_note(self.now_us / MILLI_US, number + 1, &text);
        self.reach_point(InjectionPoint::NoteCreated, 0, None);
        self.complete_watches();
        *stored == *text
    }

    /// Submits a note that marks a target as leaving, or as staying again.
    pub fn submit_leaving(&mut self, target: &str, leaving: bool, submission: &str) -> bool {
        let target_entry = self
            .deployment
            .note
            .targets
            .add
            .iter()
            .find(|other| *other.name == *target);
        let Some(target_entry) = target_entry else {
            return false;
        };
        let mut changed = target_entry.clone();
        changed.leaving = leaving;
        let note = Note {
            title: submission.into(),
            submission: submission.into(),
            targets: change_targets(vec![changed], Vec::new()),
            ..Note::default()
        };
        let is_accepted = self.submit_after(self.latest_note(), &note);
        if is_accepted && leaving {
            self.leaving.insert(target.into(), self.now_us);
        } else if is_accepted {
            self.leaving.remove(target);
        }
        is_accepted
    }

    /// Returns the names of a service's targets.
    pub fn targets_of(&self, service: &str) -> Vec<Arc<str>> {
        self.target_names.get(service).cloned().unwrap_or_default()
    }

    /// Resets all statistics.
    pub fn reset_stats(&mut self) {
        self.stats = super::Stats::default();
    }
}
