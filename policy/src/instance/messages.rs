//! Sending messages, and relaying pings for other instances.

use std::sync::Arc;

use super::Action;
use super::Envelope;
use super::Instance;
use super::Message;
use crate::membership::Probe;

pub(super) const MICROS_PER_MILLI: u64 = 1_000;

impl Instance {
    pub(super) fn send(&mut self, now_us: u64, to: &Arc<str>, message: Message) {
        let Some(address) = self.membership.get(to).map(|member| member.peer_address) else {
            return;
        };
        let envelope = self.envelope(now_us, message);
        if envelope.from == *to {
            self.handle_message(now_us, envelope);
            return;
        }
        self.actions.push(Action::Send {
            to: to.clone(),
            address,
            envelope,
        });
    }

    pub(super) fn envelope(&mut self, now_us: u64, message: Message) -> Envelope {
        let view_age_us = self.registry_view.view_age_us(now_us);
        Envelope {
            from: self.membership.own().id.clone(),
            incarnation: self.membership.own().incarnation,
            note: self.note_log.number(),
            targets_changed: self.registry_view.targets_changed(),
            view_age_ms: view_age_us.map(|age_us| age_us / MICROS_PER_MILLI),
            member_updates: self.membership.take_updates(),
            message,
        }
    }

    /// Ids of all other present instances, sorted.
    pub(super) fn other_ids(&self) -> Vec<Arc<str>> {
        self.peer_ids.clone()
    }

    pub(super) fn send_probe(&mut self, now_us: u64, probe: Probe) {
        match probe {
            Probe::Direct { to, sequence } => self.send(now_us, &to, Message::Ping { sequence }),
            Probe::Indirect {
                through,
                to,
                sequence,
            } => self.send(now_us, &through, Message::PingFor { to, sequence }),
        }
    }

    /// Pings a third instance on behalf of `from`, which then receives the answer.
    pub(super) fn ping_for(&mut self, now_us: u64, from: &Arc<str>, to: &Arc<str>, sequence: u64) {
        let relayed_sequence = self.relayed_pings.begin(now_us, from, sequence);
        self.send(
            now_us,
            to,
            Message::Ping {
                sequence: relayed_sequence,
            },
        );
    }

    pub(super) fn handle_ack(&mut self, now_us: u64, sequence: u64, note: u64) {
        if self.freeze_recovery.record_ack(sequence, note) {
            return;
        }
        match self.relayed_pings.end(sequence) {
            Some((requester, requester_sequence)) => self.send(
                now_us,
                &requester,
                Message::Ack {
                    sequence: requester_sequence,
                },
            ),
            None => self.membership.record_ack(sequence),
        }
    }
}
