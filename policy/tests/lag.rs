//! Tests of catching up with peers whose versions of the registry's data are newer.
//!
//! Models the load of a large fleet: changes follow each other closely, every message
//! carries the sender's versions, and most changes arrive by broadcast shortly after the
//! first message with their version.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use model::configuration::Route;
use model::configuration::RouteTerms;
use model::configuration::Target;
use policy::Action;
use policy::Input;
use policy::Instance;
use policy::Message;
use policy::feed::CatchUpStep;
use policy::feed::EntryChanges;
use policy::feed::KnownVersions;
use policy::feed::Lag;
use policy::feed::Release;
use policy::feed::TargetEntry;
use policy::instance::ConfigurationSource;
use policy::instance::Envelope;
use policy::instance::EvidenceSharing;
use policy::instance::PlatformAnswer;
use policy::instance::RegistryPart;
use policy::instance::RegistryUpdate;
use policy::membership::Member;
use policy::membership::Status;

use support::service;

const MS_US: u64 = 1_000;

fn known_versions(targets: u64) -> KnownVersions {
    KnownVersions {
        release: 1,
        targets,
    }
}

#[test]
fn changes_that_arrive_soon_cause_no_read() {
    let mut lag = Lag::default();
    for change in 1..100 {
        let at_us = change * 1_000 * MS_US;
        let before =
            lag.record_peer_versions(at_us, known_versions(change - 1), known_versions(change));
        assert_eq!(before, CatchUpStep::Wait);
        let after = lag.record_peer_versions(
            at_us + 200 * MS_US,
            known_versions(change),
            known_versions(change),
        );
        assert_eq!(after, CatchUpStep::Wait);
    }
}

#[test]
fn a_peer_is_asked_before_the_registry_is_read() {
    let mut lag = Lag::default();
    let read = CatchUpStep::Read {
        release: None,
        targets: true,
    };
    let mut report =
        |at_ms: u64| lag.record_peer_versions(at_ms * MS_US, known_versions(1), known_versions(2));
    assert_eq!(report(0), CatchUpStep::Wait);
    assert_eq!(report(160), CatchUpStep::AskPeer);
    assert_eq!(report(200), CatchUpStep::Wait);
    assert_eq!(report(450), read);
    let again: Vec<CatchUpStep> = (0..7).map(|step| report(460 + step * 100)).collect();
    assert!(!again.contains(&read), "{again:?}");
}

#[test]
fn peers_that_are_also_behind_do_not_reset_the_catch_up() {
    let mut lag = Lag::default();
    assert_eq!(
        lag.record_peer_versions(0, known_versions(1), known_versions(2)),
        CatchUpStep::Wait
    );
    assert_eq!(
        lag.record_peer_versions(100 * MS_US, known_versions(1), known_versions(1)),
        CatchUpStep::Wait
    );
    let ahead = lag.record_peer_versions(160 * MS_US, known_versions(1), known_versions(2));
    assert_eq!(ahead, CatchUpStep::AskPeer);
}

fn member(id: &str) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Member {
        id: id.into(),
        data_centre: "north".into(),
        caller_address: address,
        peer_address: address,
        incarnation: 1,
        status: Status::Alive,
    }
}

fn target(name: &str) -> Target {
    Target {
        name: name.into(),
        service: "gates".into(),
        data_centre: "north".into(),
        address: ([127, 0, 0, 1], 80).into(),
        slots: 6,
        connections: 330,
        refusal_is_not_run: false,
        leaving: false,
        incarnation: 1,
    }
}

/// An instance that has one other member in its view.
fn instance(id: &str, other: &str) -> Instance {
    let mut settings = policy::Settings::new(member(id), 1);
    settings.evidence = EvidenceSharing::Alerts;
    settings.source = ConfigurationSource::Registry;
    let mut instance = Instance::new(settings);
    let members = PlatformAnswer::Instances(vec![member(other)]);
    instance.handle(0, Input::Platform(members));
    instance
}

fn release() -> Release {
    Release {
        number: 3,
        services: Vec::new(),
        routes: Vec::new(),
        customers: None,
        idle_limit_ms: None,
    }
}

/// An instance that has read a release, a list with one target and then `changes` further
/// targets from the registry.
fn informed(changes: u64) -> Instance {
    let mut instance = instance("informed", "late");
    instance.handle(0, Input::Registry(RegistryUpdate::Release(release())));
    let targets = RegistryUpdate::Targets {
        revision: 10,
        targets: vec![target("t10")],
    };
    instance.handle(0, Input::Registry(targets));
    for revision in 11..11 + changes {
        let entry = TargetEntry::Present(target(&format!("t{revision}")));
        let changes = EntryChanges {
            after: revision - 1,
            revision,
            entries: vec![entry],
            complete_to: revision,
            retain_ms: 0,
        };
        instance.handle(0, Input::Registry(RegistryUpdate::Entries(changes)));
    }
    instance
}

/// The messages to `receiver` among `actions`.
fn messages_to(actions: Vec<Action>, receiver: &str) -> Vec<Envelope> {
    let sent = actions.into_iter().filter_map(|action| match action {
        Action::Send { to, envelope, .. } if &*to == receiver => Some(envelope),
        _ => None,
    });
    sent.collect()
}

fn request_catch_up(instance: &mut Instance, release: u64, targets: Option<u64>) -> Vec<Message> {
    let envelope = Envelope {
        from: "late".into(),
        incarnation: 1,
        note: 0,
        targets_changed: 0,
        view_age_ms: None,
        member_updates: Vec::new(),
        message: Message::CatchUp { release, targets },
    };
    let answers = messages_to(instance.handle(1, Input::Received(envelope)), "late");
    answers
        .into_iter()
        .map(|envelope| envelope.message)
        .collect()
}

#[test]
fn a_peer_sends_the_missed_changes() {
    let mut informed = informed(4);
    let answers = request_catch_up(&mut informed, 3, Some(12));
    let [Message::Entries { changes, .. }] = &answers[..] else {
        panic!("{answers:?}");
    };
    assert_eq!((changes.after, changes.revision), (12, 14));
    assert_eq!(changes.entries.len(), 2);
}

#[test]
fn a_peer_sends_everything_to_an_instance_without_data() {
    let mut informed = informed(4);
    let answers = request_catch_up(&mut informed, 0, None);
    let [
        Message::Release { .. },
        Message::Targets { revision, targets },
    ] = &answers[..]
    else {
        panic!("{answers:?}");
    };
    assert_eq!((*revision, targets.len()), (14, 5));
}

/// Delivers the messages between two instances until both have sent all.
fn deliver_messages(now_us: u64, a: &mut Instance, b: &mut Instance, first: Vec<Action>) {
    let (a_id, b_id): (Arc<str>, Arc<str>) = ("late".into(), "informed".into());
    let mut to_b = messages_to(first, &b_id);
    while !to_b.is_empty() {
        let answers = to_b
            .into_iter()
            .flat_map(|envelope| b.handle(now_us, Input::Received(envelope)));
        let to_a = messages_to(answers.collect(), &a_id);
        let answers = to_a
            .into_iter()
            .flat_map(|envelope| a.handle(now_us, Input::Received(envelope)));
        to_b = messages_to(answers.collect(), &b_id);
    }
}

#[test]
fn an_instance_that_starts_without_the_registry_gets_everything_from_a_peer() {
    let mut informed = informed(4);
    let mut late = instance("late", "informed");
    for tick in 0..40 {
        let now_us = tick * 100 * MS_US;
        let actions = late.handle(now_us, Input::Tick);
        deliver_messages(now_us, &mut late, &mut informed, actions);
    }
    assert!(late.is_ready());
    assert_eq!(late.configuration().number, 3);
}

/// An instance that restarts while the registry is unavailable has no members to ping, and
/// its peers consider it dead. Unless they ping dead members, it never rejoins.
#[test]
fn a_restarted_instance_without_members_is_found_by_its_peers() {
    let mut informed = informed(4);
    let mut settings = policy::Settings::new(member("late"), 1);
    settings.own.incarnation = 2;
    settings.evidence = EvidenceSharing::Alerts;
    settings.source = ConfigurationSource::Registry;
    let mut late = Instance::new(settings);
    let dead = Member {
        status: Status::Dead,
        ..member("late")
    };
    let envelope = Envelope {
        from: "other".into(),
        incarnation: 1,
        note: 0,
        targets_changed: 0,
        view_age_ms: None,
        member_updates: vec![dead],
        message: Message::Ack { sequence: 0 },
    };
    informed.handle(0, Input::Received(envelope));
    for tick in 1..60 {
        let now_us = tick * 100 * MS_US;
        let pings = messages_to(informed.handle(now_us, Input::Tick), "late");
        let answers = pings
            .into_iter()
            .flat_map(|envelope| late.handle(now_us, Input::Received(envelope)));
        let answers: Vec<Action> = answers.collect();
        deliver_messages(now_us, &mut late, &mut informed, answers);
        let catch_up = late.handle(now_us, Input::Tick);
        deliver_messages(now_us, &mut late, &mut informed, catch_up);
    }
    assert!(late.is_ready());
    assert_eq!(informed.membership().present().count(), 2);
}

/// A release of 101 routes, above the limit of 100, is too large for a broadcast.
/// A release that peers do not send to an instance that has one.
fn large_release(number: u64) -> Release {
    let route = |number: u32| Route {
        name: format!("r{number}").into(),
        host: Some("a.example".into()),
        path: format!("/{number}/").into(),
        service: "gates".into(),
        shares: Vec::new(),
        terms: RouteTerms::default(),
    };
    Release {
        number,
        services: vec![service("gates")],
        routes: (0..101).map(route).collect(),
        ..release()
    }
}

#[test]
fn a_large_release_is_sent_only_to_an_instance_without_one() {
    let mut informed = informed(1);
    let large = large_release(4);
    informed.handle(0, Input::Registry(RegistryUpdate::Release(large)));
    let is_release = |message: &Message| matches!(message, Message::Release { .. });
    assert!(
        !request_catch_up(&mut informed, 3, Some(11))
            .iter()
            .any(is_release)
    );
    assert!(
        request_catch_up(&mut informed, 0, None)
            .iter()
            .any(is_release)
    );
}

/// Receives a ping from a peer with release `number`; returns the releases that are then read.
fn receive_number(instance: &mut Instance, now_us: u64, number: u64) -> Vec<RegistryPart> {
    let envelope = Envelope {
        from: "late".into(),
        incarnation: 1,
        note: number,
        targets_changed: 0,
        view_age_ms: None,
        member_updates: Vec::new(),
        message: Message::Ping { sequence: 1 },
    };
    let actions = instance.handle(now_us, Input::Received(envelope));
    let rereads = actions.into_iter().filter_map(|action| match action {
        Action::Reread(part) => Some(part),
        _ => None,
    });
    rereads.collect()
}

/// Guards against an instance that waits for a broadcast and for an answer that never come, and then
/// has too little time left to read a large release over a small link.
#[test]
fn a_successor_of_a_large_release_is_read_as_soon_as_it_is_known() {
    let mut informed = informed(1);
    let release = RegistryUpdate::Release(large_release(4));
    informed.handle(0, Input::Registry(release));
    let read = |number| vec![RegistryPart::NewerRelease(number)];
    assert_eq!(receive_number(&mut informed, 1, 4), []);
    assert_eq!(receive_number(&mut informed, 10 * MS_US, 5), read(5));
    // The same number is requested again only after a while, as the read may have failed.
    assert_eq!(receive_number(&mut informed, 20 * MS_US, 5), []);
    assert_eq!(receive_number(&mut informed, 500 * MS_US, 5), []);
    assert_eq!(receive_number(&mut informed, 600 * MS_US, 6), read(6));
    assert_eq!(receive_number(&mut informed, 1_500 * MS_US, 6), read(6));
    let release = RegistryUpdate::Release(large_release(6));
    informed.handle(1_600 * MS_US, Input::Registry(release));
    assert_eq!(receive_number(&mut informed, 3_000 * MS_US, 6), []);
}

/// Guards against an instance that reports routes as non-existent which a newer release may have.
#[test]
fn an_instance_that_lacks_a_release_does_not_deny_routes() {
    let mut informed = informed(1);
    let can_deny = |instance: &Instance| instance.shared().table_freshness().is_authoritative();
    assert!(can_deny(&informed));
    receive_number(&mut informed, 10 * MS_US, 4);
    assert!(!can_deny(&informed));
    let release = RegistryUpdate::Release(large_release(4));
    informed.handle(20 * MS_US, Input::Registry(release));
    assert!(can_deny(&informed));
    let unknown_service = Release {
        services: Vec::new(),
        ..large_release(5)
    };
    let release = RegistryUpdate::Release(unknown_service);
    informed.handle(30 * MS_US, Input::Registry(release));
    assert!(!can_deny(&informed));
}

/// A small release arrives by broadcast, without a read by each instance of a large fleet.
#[test]
fn a_successor_of_a_small_release_is_not_read_at_once() {
    let mut informed = informed(1);
    assert_eq!(receive_number(&mut informed, 10 * MS_US, 4), []);
    assert_eq!(receive_number(&mut informed, 100 * MS_US, 4), []);
}

fn send_targets(instance: &mut Instance, revision: u64, names: &[&str]) {
    let targets = names.iter().map(|name| target(name)).collect();
    let update = RegistryUpdate::Targets { revision, targets };
    instance.handle(revision, Input::Registry(update));
}

#[test]
fn a_target_with_an_invalid_name_blocks_no_release_and_no_other_target() {
    let mut instance = instance("informed", "late");
    send_targets(&mut instance, 10, &["t-1", "not a name"]);
    let release = Release {
        services: vec![service("gates")],
        ..release()
    };
    instance.handle(11, Input::Registry(RegistryUpdate::Release(release)));
    assert_eq!(instance.configuration().number, 3);
    assert!(instance.configuration().targets.contains_key("t-1"));
}

#[test]
fn an_invalid_release_does_not_block_the_removal_of_a_target() {
    let mut instance = instance("informed", "late");
    let first = Release {
        services: vec![service("gates")],
        ..release()
    };
    instance.handle(9, Input::Registry(RegistryUpdate::Release(first.clone())));
    send_targets(&mut instance, 10, &["t-1", "t-2"]);
    let invalid = Release {
        number: 4,
        services: vec![service("gates"), service("not a name")],
        ..first
    };
    instance.handle(11, Input::Registry(RegistryUpdate::Release(invalid)));
    send_targets(&mut instance, 12, &["t-2"]);
    assert_eq!(instance.configuration().number, 3);
    assert!(!instance.configuration().targets.contains_key("t-1"));
}
