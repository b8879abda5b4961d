//! Discovery of other instances by join requests and member lists, and the effects of
//! membership changes.

use std::sync::Arc;

use super::Action;
use super::ConfigurationSource;
use super::Instance;
use super::LogEvent;
use super::Message;
use crate::membership::Change;
use crate::membership::Member;
use crate::membership::Status;
use crate::notes::IdRange;

const JOIN_PERIOD_US: u64 = 1_000_000;
const DEAD_PING_PERIOD_US: u64 = 1_000_000;
/// Sequence number of pings that are sent only to exchange membership updates and table
/// versions, so that the answer needs no matching; other pings are numbered from 1.
pub(super) const GOSSIP_PING_SEQUENCE: u64 = 0;
const MEMBERS_PER_MESSAGE: usize = 200;
/// Time after a message from an instance marked dead in which all such instances are pinged, in
/// microseconds: a few pings, as some of them may get lost.
const REVIVAL_US: u64 = 3_000_000;
/// Instances marked dead that are pinged at once in that time.
const MAX_REVIVED: usize = 100;

impl Instance {
    pub(super) fn send_join_requests(&mut self, now_us: u64) {
        if self.readiness.is_ready() || now_us < self.next_join_us {
            return;
        }
        self.next_join_us = now_us + JOIN_PERIOD_US;
        let mut requested = Vec::new();
        for member in self.membership.present() {
            let is_new_data_centre = requested
                .iter()
                .all(|(data_centre, _)| *data_centre != member.data_centre);
            if is_new_data_centre && member.id != self.membership.own().id {
                requested.push((member.data_centre.clone(), member.id.clone()));
            }
        }
        if requested.is_empty() {
            self.request_members_from_seeds(now_us);
        }
        for (_, id) in requested {
            self.send(now_us, &id, Message::Join);
        }
    }

    /// Asks a peer for the members that it knows, which include itself.
    pub(super) fn request_members(&mut self, now_us: u64, peer: &Arc<str>) {
        if now_us >= self.next_members_request_us {
            self.next_members_request_us = now_us + JOIN_PERIOD_US;
            self.send(now_us, peer, Message::Join);
        }
    }

    /// Pings an instance that is marked dead: one that has restarted while the platform is
    /// unreachable has no member list.
    pub(super) fn ping_dead(&mut self, now_us: u64) {
        if now_us < self.next_dead_ping_us {
            return;
        }
        self.next_dead_ping_us = now_us + DEAD_PING_PERIOD_US;
        let ids: Vec<Arc<str>> = match now_us < self.revival_until_us {
            true => self
                .membership
                .dead_ids()
                .take(MAX_REVIVED)
                .cloned()
                .collect(),
            false => self
                .membership
                .pick_dead(&mut self.rng)
                .into_iter()
                .collect(),
        };
        for id in ids {
            self.send_dead_ping(now_us, &id);
        }
    }

    /// Answers a ping. The answer to one that looks for dead instances contains the own entry.
    pub(super) fn answer_ping(&mut self, now_us: u64, from: &Arc<str>, sequence: u64) {
        if sequence != GOSSIP_PING_SEQUENCE {
            return self.send(now_us, from, Message::Ack { sequence });
        }
        let Some(address) = self.membership.get(from).map(|member| member.peer_address) else {
            return;
        };
        let mut envelope = self.envelope(now_us, Message::Ack { sequence });
        envelope.member_updates.push(self.membership.own().clone());
        self.actions.push(Action::Send {
            to: from.clone(),
            address,
            envelope,
        });
    }

    /// Pings an instance that is marked dead and has sent a message, and soon all others that are:
    /// if a network partition has ended, they are alive as well.
    pub(super) fn ping_revived(&mut self, now_us: u64, from: &Arc<str>) {
        if now_us >= self.revival_until_us {
            self.next_dead_ping_us = now_us;
        }
        self.revival_until_us = now_us + REVIVAL_US;
        self.send_dead_ping(now_us, from);
    }

    /// Pings an instance that is marked dead. The ping contains that entry, which a live instance
    /// refutes at once, and the own one.
    fn send_dead_ping(&mut self, now_us: u64, id: &Arc<str>) {
        let Some(dead) = self.membership.get(id).cloned() else {
            return;
        };
        let address = dead.peer_address;
        let ping = Message::Ping {
            sequence: GOSSIP_PING_SEQUENCE,
        };
        let mut envelope = self.envelope(now_us, ping);
        envelope.member_updates.push(self.membership.own().clone());
        envelope.member_updates.push(dead);
        self.actions.push(Action::Send {
            to: id.clone(),
            address,
            envelope,
        });
    }

    /// Sends join requests to the seeds, of which only the addresses are known.
    pub(super) fn request_members_from_seeds(&mut self, now_us: u64) {
        for address in self.seeds.clone() {
            let mut envelope = self.envelope(now_us, Message::Join);
            envelope.member_updates.push(self.membership.own().clone());
            self.actions.push(Action::Send {
                to: "".into(),
                address,
                envelope,
            });
        }
    }

    pub(super) fn send_members(&mut self, now_us: u64, to: &Arc<str>) {
        let members: Vec<Member> = self.membership.present().cloned().collect();
        for chunk in members.chunks(MEMBERS_PER_MESSAGE) {
            self.send(now_us, to, Message::Members(chunk.to_vec()));
        }
    }

    pub(super) fn merge_members(&mut self, now_us: u64, members: &[Member]) {
        for member in members {
            self.membership.merge(now_us, member);
        }
        self.apply_membership_changes(now_us);
    }

    pub(super) fn apply_membership_changes(&mut self, now_us: u64) {
        let changes = self.membership.take_changes();
        if changes.is_empty() {
            return;
        }
        self.members_changed_us = Some(now_us);
        for change in &changes {
            self.owners.change(change, &self.membership);
            if let Change::Left(member) = change {
                // An instance that stops by plan still completes its requests.
                if member.status == Status::Dead {
                    self.permits.remove_instance(&member.id);
                }
                for target in self.decision_table.forget_owner(&member.id) {
                    self.rebuild_service_of_target(&target);
                }
            }
            if let Change::Renewed(member) = change {
                self.permits.forget_owner(&member.id);
            }
            let event = match change {
                Change::Joined(member) => LogEvent::Joined {
                    instance: member.id.clone(),
                },
                Change::Left(member) => LogEvent::Gone {
                    instance: member.id.clone(),
                },
                Change::Renewed(_) => continue,
            };
            self.actions.push(Action::Log(event));
        }
        self.register_permits(now_us);
        self.peer_ids = self.membership.present_ids();
        let own = self.membership.own().id.clone();
        self.peer_ids.retain(|id| *id != own);
        let directory = self
            .membership
            .present()
            .map(|member| (member.id.clone(), member.clone()));
        self.shared.publish_directory(directory.collect());
        let members = self.peer_ids.len() as u64 + 1;
        self.health_monitor.set_members(members);
        self.is_watcher = self.is_elected_watcher();
        self.update_subset_place();
        self.drop_services_not_owned();
    }

    /// Tells all instances that this one has started: once targets are suspect, permits may be in
    /// use, and this instance owns some of the targets.
    pub(super) fn announce_start(&mut self, now_us: u64) {
        if !std::mem::replace(&mut self.has_announced_start, true) {
            let ids = self.other_ids();
            let own = self.membership.own().clone();
            self.broadcast_member(now_us, &own, &ids);
        }
    }

    /// Merges the entry of an instance that has started or stops, and forwards it within
    /// `id_range`.
    pub(super) fn handle_member_change(
        &mut self,
        now_us: u64,
        member: &Member,
        id_range: Option<&IdRange>,
    ) {
        if let Some(id_range) = id_range {
            let ids = id_range.select_ids(&self.other_ids());
            self.broadcast_member(now_us, member, &ids);
        }
        self.merge_members(now_us, std::slice::from_ref(member));
    }

    /// Broadcasts the entry of an instance. Gossip alone, which adds a few entries to messages
    /// that are sent anyway, takes seconds to reach all.
    pub(super) fn broadcast_member(&mut self, now_us: u64, member: &Member, ids: &[Arc<str>]) {
        for (to, id_range) in crate::notes::partition_receivers(ids, &mut self.rng) {
            let member = Box::new(member.clone());
            self.send(now_us, &to, Message::MemberChanged { member, id_range });
        }
    }

    pub(super) fn drop_services_not_owned(&mut self) {
        let own = self.membership.own().id.clone();
        let not_owned: Vec<Arc<str>> = self
            .health_monitor
            .services()
            .filter(|service| !self.owners.of(service, &self.membership).contains(&own))
            .cloned()
            .collect();
        self.health_monitor
            .retain(self.note_log.configuration(), |service| {
                not_owned.iter().all(|name| **name != *service)
            });
    }

    pub(super) fn update_readiness(&mut self) {
        let becomes_ready = match self.source {
            ConfigurationSource::Notes => self
                .readiness
                .update(self.note_log.number(), &self.membership),
            ConfigurationSource::Registry => self.readiness.update_by_registry(&self.registry_view),
        };
        if becomes_ready {
            self.routing_table.ready = true;
            self.has_unpublished_table = true;
            self.actions.push(Action::Log(LogEvent::Ready));
        }
    }
}
