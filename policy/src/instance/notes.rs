//! Distribution of release notes: watching the platform, broadcasting new notes and
//! serving notes and snapshots to peers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use model::Configuration;
use model::Note;

use super::Action;
use super::ConfigurationSource;
use super::Instance;
use super::LogEvent;
use super::Message;
use super::PlatformCall;
use crate::notes::IdRange;
use crate::notes::NumberedNote;
use crate::notes::OfferResult;
use crate::rendezvous::highest;

/// Instances per data centre that watch the platform for notes.
const WATCHERS_PER_DATA_CENTRE: usize = 2;
/// Instances of the whole fleet that watch a registry: an outage that affects a third of
/// the instances cuts off all of these in one of 500 cases.
const REGISTRY_WATCHERS: usize = 6;
/// Maximum bytes of notes in one answer to a peer.
const NOTES_PER_ANSWER_BYTES: usize = 500_000;
/// Number of notes after which a new snapshot is written.
const NOTES_PER_SNAPSHOT: u64 = 256;
/// Time after which an unanswered pull is repeated, in microseconds.
const PULL_PERIOD_US: u64 = 300_000;

/// Parts received so far of a snapshot from a peer.
#[derive(Debug, Default)]
pub(super) struct IncomingSnapshot {
    number: u64,
    parts: BTreeMap<u32, Arc<str>>,
}

impl Instance {
    /// Whether the instance is among those that rendezvous hashing selects to watch the
    /// platform or the registry.
    pub(super) fn is_elected_watcher(&self) -> bool {
        let own_data_centre = &self.membership.own().data_centre;
        let present = self.membership.present();
        let ids = present
            .filter(|member| member.data_centre == *own_data_centre)
            .map(|member| &*member.id);
        let watchers = highest(ids, "notes", self.watchers_per_data_centre());
        watchers.contains(&&*self.membership.own().id)
    }

    /// Watchers of a registry broadcast to all instances regardless of data centre, so
    /// their number is fixed for the fleet and divided among the data centres: the fewer
    /// data centres there are, the more watchers each one has.
    fn watchers_per_data_centre(&self) -> usize {
        if self.source == ConfigurationSource::Notes {
            return WATCHERS_PER_DATA_CENTRE;
        }
        let present = self.membership.present();
        let data_centres: BTreeSet<&Arc<str>> = present.map(|member| &member.data_centre).collect();
        let share = REGISTRY_WATCHERS as f64 / data_centres.len() as f64;
        (share.round() as usize).max(1)
    }

    /// Applies notes in order and, if `must_broadcast` is set, broadcasts the new ones.
    pub(super) fn apply_notes(
        &mut self,
        now_us: u64,
        notes: &[NumberedNote],
        must_broadcast: bool,
    ) {
        for note in notes {
            let offered = self.note_log.offer(note);
            match offered {
                OfferResult::Old | OfferResult::Gap => continue,
                OfferResult::Applied => {
                    let number = note.number;
                    self.actions
                        .push(Action::Log(LogEvent::NoteInForce { number }));
                    self.rebuild_for_note(&note.text);
                }
                OfferResult::Void(reason) => {
                    self.actions.push(Action::Log(LogEvent::NoteVoid {
                        number: note.number,
                        reason,
                    }));
                    self.apply_void_note();
                }
            }
            if must_broadcast {
                let ids = self.other_ids();
                self.broadcast_note(now_us, note, &ids);
            }
        }
    }

    /// Applies and forwards a note that a peer has broadcast.
    pub(super) fn handle_new_note(
        &mut self,
        now_us: u64,
        from: &Arc<str>,
        note: &NumberedNote,
        id_range: Option<&IdRange>,
    ) {
        if let Some(id_range) = id_range {
            let ids = id_range.select_ids(&self.other_ids());
            self.broadcast_note(now_us, note, &ids);
        }
        self.apply_notes(now_us, std::slice::from_ref(note), false);
        self.pull_if_behind(now_us, from, note.number);
    }

    fn broadcast_note(&mut self, now_us: u64, note: &NumberedNote, ids: &[Arc<str>]) {
        for (to, id_range) in crate::notes::partition_receivers(ids, &mut self.rng) {
            let note = note.clone();
            self.send(now_us, &to, Message::NewNote { note, id_range });
        }
    }

    /// Pulls notes from a peer that has later ones.
    pub(super) fn pull_if_behind(&mut self, now_us: u64, peer: &Arc<str>, number: u64) {
        if number <= self.note_log.number() || now_us < self.next_pull_us {
            return;
        }
        self.next_pull_us = now_us + PULL_PERIOD_US;
        let after = self.note_log.number();
        self.send(now_us, peer, Message::PullNotes { after });
    }

    /// Sends the notes after a number to a peer, or a snapshot if they are no longer in
    /// the log.
    pub(super) fn send_notes(&mut self, now_us: u64, peer: &Arc<str>, after: u64) {
        if after >= self.note_log.number() {
            return;
        }
        match self.note_log.after(after, NOTES_PER_ANSWER_BYTES) {
            Some(notes) => self.send(now_us, peer, Message::Notes(notes)),
            None => self.send_snapshot(now_us, peer),
        }
    }

    fn send_snapshot(&mut self, now_us: u64, peer: &Arc<str>) {
        let number = self.note_log.number();
        let parts = snapshot_texts(self.note_log.configuration());
        let count = parts.len() as u32;
        for (index, text) in parts.into_iter().enumerate() {
            let part = Message::SnapshotPart {
                number,
                index: index as u32,
                count,
                text,
            };
            self.send(now_us, peer, part);
        }
    }

    /// Stores a part of a snapshot, and puts the snapshot in force once it is complete.
    pub(super) fn store_snapshot_part(
        &mut self,
        number: u64,
        index: u32,
        count: u32,
        text: &Arc<str>,
    ) {
        if number <= self.note_log.number() || index >= count {
            return;
        }
        if self.incoming_snapshot.number != number {
            self.incoming_snapshot = IncomingSnapshot {
                number,
                parts: BTreeMap::new(),
            };
        }
        self.incoming_snapshot.parts.insert(index, text.clone());
        if self.incoming_snapshot.parts.len() as u32 == count {
            let parts = std::mem::take(&mut self.incoming_snapshot).parts;
            self.restore(number, parts.into_values());
        }
    }

    /// Puts a complete configuration in force if it is newer.
    pub(super) fn restore(&mut self, number: u64, parts: impl Iterator<Item = Arc<str>>) {
        let parsed: Result<Vec<Note>, _> = parts.map(|text| serde_json::from_str(&text)).collect();
        let Ok(parsed) = parsed else {
            return;
        };
        let Ok(configuration) = Configuration::from_parts(number, &parsed) else {
            return;
        };
        if self.note_log.restore(configuration) {
            self.actions
                .push(Action::Log(LogEvent::NoteInForce { number }));
            self.rebuild_all();
        }
    }

    /// Writes a snapshot if one is due and this instance is the selected writer.
    pub(super) fn write_snapshot(&mut self, now_us: u64) {
        let number = self.note_log.number();
        if number < self.snapshot_number + NOTES_PER_SNAPSHOT {
            return;
        }
        let ids = self.membership.present_ids();
        let writers = highest(ids.iter().map(|id| &**id), "snapshot", 1);
        if writers != [&*self.membership.own().id] || !self.platform_calls.start_write(now_us) {
            return;
        }
        let parts = snapshot_texts(self.note_log.configuration());
        self.actions
            .push(Action::Call(PlatformCall::WriteSnapshot { number, parts }));
    }
}

fn snapshot_texts(configuration: &Configuration) -> Vec<Arc<str>> {
    let parts = configuration.to_parts();
    let texts = parts
        .iter()
        .filter_map(|part| serde_json::to_string(part).ok());
    texts.map(Into::into).collect()
}
