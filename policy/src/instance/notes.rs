//! Getting, spreading and giving release notes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use model::Note;
use model::World;

use super::Action;
use super::Instance;
use super::LogEvent;
use super::Message;
use super::PlatformCall;
use super::WorldSource;
use crate::notes::IdRange;
use crate::notes::NumberedNote;
use crate::notes::Offered;
use crate::rendezvous::highest;

/// Instances in a data centre that watch the platform for notes.
const WATCHERS_PER_DATA_CENTRE: usize = 2;
/// Instances of the fleet that watch a registry: all of them are cut off together in
/// one of 500 outages that a third of the instances are in.
const REGISTRY_WATCHERS: usize = 6;
/// Bytes of notes in one answer to a peer.
const NOTES_PER_ANSWER_BYTES: usize = 500_000;
/// Notes from one snapshot to the next.
const NOTES_PER_SNAPSHOT: u64 = 256;
/// Time after which a pull that was not answered is repeated.
const PULL_PERIOD_US: u64 = 300_000;

/// Parts of a snapshot that are coming in from a peer.
#[derive(Debug, Default)]
pub(super) struct Incoming {
    number: u64,
    parts: BTreeMap<u32, Arc<str>>,
}

impl Instance {
    /// Whether the instance watches the platform for notes.
    pub(super) fn find_watcher(&self) -> bool {
        let here = &self.membership.own().data_centre;
        let present = self.membership.present();
        let ids = present
            .filter(|member| member.data_centre == *here)
            .map(|member| &*member.id);
        let watchers = highest(ids, "notes", self.watchers_here());
        watchers.contains(&&*self.membership.own().id)
    }

    /// Instances of each data centre that watch.
    ///
    /// What a registry's watchers read goes to all others, whatever their data
    /// centre, so that few data centres need more watchers each.
    fn watchers_here(&self) -> usize {
        if self.source == WorldSource::Notes {
            return WATCHERS_PER_DATA_CENTRE;
        }
        let present = self.membership.present();
        let data_centres: BTreeSet<&Arc<str>> = present.map(|member| &member.data_centre).collect();
        let share = REGISTRY_WATCHERS as f64 / data_centres.len() as f64;
        (share.round() as usize).max(1)
    }

    /// Takes in notes in order and spreads those that are new.
    pub(super) fn take_notes(&mut self, now_us: u64, notes: &[NumberedNote], spread: bool) {
        for note in notes {
            let offered = self.log.offer(note);
            match offered {
                Offered::Old | Offered::Gap => continue,
                Offered::Applied => {
                    let number = note.number;
                    self.actions
                        .push(Action::Log(LogEvent::NoteInForce { number }));
                    self.world_changed(&note.text);
                }
                Offered::Void(reason) => {
                    self.actions.push(Action::Log(LogEvent::NoteVoid {
                        number: note.number,
                        reason,
                    }));
                    self.world_skipped();
                }
            }
            if spread {
                let ids = self.other_ids();
                self.spread_note(now_us, note, &ids);
            }
        }
    }

    /// Takes in a note that a peer spreads.
    pub(super) fn note_spread(
        &mut self,
        now_us: u64,
        from: &Arc<str>,
        note: &NumberedNote,
        span: Option<&IdRange>,
    ) {
        if let Some(span) = span {
            let ids = span.cut(&self.other_ids());
            self.spread_note(now_us, note, &ids);
        }
        self.take_notes(now_us, std::slice::from_ref(note), false);
        self.pull_if_behind(now_us, from, note.number);
    }

    fn spread_note(&mut self, now_us: u64, note: &NumberedNote, ids: &[Arc<str>]) {
        for (to, span) in crate::notes::split(ids, &mut self.rng) {
            let note = note.clone();
            self.send(now_us, &to, Message::NewNote { note, span });
        }
    }

    /// Asks a peer for notes if it has later ones.
    pub(super) fn pull_if_behind(&mut self, now_us: u64, peer: &Arc<str>, number: u64) {
        if number <= self.log.number() || now_us < self.next_pull_us {
            return;
        }
        self.next_pull_us = now_us + PULL_PERIOD_US;
        let after = self.log.number();
        self.send(now_us, peer, Message::PullNotes { after });
    }

    /// Answers a peer that asks for notes.
    pub(super) fn give_notes(&mut self, now_us: u64, peer: &Arc<str>, after: u64) {
        if after >= self.log.number() {
            return;
        }
        match self.log.after(after, NOTES_PER_ANSWER_BYTES) {
            Some(notes) => self.send(now_us, peer, Message::Notes(notes)),
            None => self.give_snapshot(now_us, peer),
        }
    }

    fn give_snapshot(&mut self, now_us: u64, peer: &Arc<str>) {
        let number = self.log.number();
        let parts = snapshot_texts(self.log.world());
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

    /// Takes in a part of a snapshot; puts it in force when it is whole.
    pub(super) fn take_part(&mut self, number: u64, index: u32, count: u32, text: &Arc<str>) {
        if number <= self.log.number() || index >= count {
            return;
        }
        if self.incoming.number != number {
            self.incoming = Incoming {
                number,
                parts: BTreeMap::new(),
            };
        }
        self.incoming.parts.insert(index, text.clone());
        if self.incoming.parts.len() as u32 == count {
            let parts = std::mem::take(&mut self.incoming).parts;
            self.restore(number, parts.into_values());
        }
    }

    /// Puts a whole configuration in force, if it is newer.
    pub(super) fn restore(&mut self, number: u64, parts: impl Iterator<Item = Arc<str>>) {
        let parsed: Result<Vec<Note>, _> = parts.map(|text| serde_json::from_str(&text)).collect();
        let Ok(parsed) = parsed else {
            return;
        };
        let Ok(world) = World::from_parts(number, &parsed) else {
            return;
        };
        if self.log.restore(world) {
            self.actions
                .push(Action::Log(LogEvent::NoteInForce { number }));
            self.rebuild_all();
        }
    }

    /// Writes a snapshot if one is due and it falls to this instance.
    pub(super) fn write_snapshot(&mut self, now_us: u64) {
        let number = self.log.number();
        if number < self.snapshot_number + NOTES_PER_SNAPSHOT {
            return;
        }
        let ids = self.membership.present_ids();
        let writers = highest(ids.iter().map(|id| &**id), "snapshot", 1);
        if writers != [&*self.membership.own().id] || !self.calls.start_write(now_us) {
            return;
        }
        let parts = snapshot_texts(self.log.world());
        self.actions
            .push(Action::Call(PlatformCall::WriteSnapshot { number, parts }));
    }
}

fn snapshot_texts(world: &World) -> Vec<Arc<str>> {
    let parts = world.to_parts();
    let texts = parts
        .iter()
        .filter_map(|part| serde_json::to_string(part).ok());
    texts.map(Into::into).collect()
}
