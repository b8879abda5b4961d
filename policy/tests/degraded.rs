//! When a service counts as degraded because instances have stopped answering.
//!
//! Guards against missed failures: in a fleet of a hundred instances, each receives only a few
//! requests per second, and no instance reports the requests in flight at a frozen one. The
//! share of unresponsive instances therefore has to make the services degraded.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use model::configuration::Target;
use policy::Input;
use policy::Instance;
use policy::feed::Release;
use policy::instance::ConfigurationSource;
use policy::instance::Envelope;
use policy::instance::EvidenceSharing;
use policy::instance::Message;
use policy::instance::PlatformAnswer;
use policy::instance::RegistryUpdate;
use policy::membership::Member;
use policy::membership::Status;

use support::service;

const SECOND_US: u64 = 1_000_000;
const PEERS: usize = 20;

fn member(number: usize, status: Status) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Member {
        id: format!("other-{number:02}").into(),
        data_centre: "north".into(),
        caller_address: address,
        peer_address: address,
        incarnation: 1,
        status,
    }
}

fn release() -> Release {
    let service = service("gates");
    Release {
        number: 1,
        services: vec![service],
        routes: Vec::new(),
        customers: None,
        idle_limit_ms: None,
    }
}

fn target() -> Target {
    Target {
        name: "gates-1".into(),
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

/// An instance with one service and twenty peers.
fn instance() -> Instance {
    let own = Member {
        id: "own".into(),
        ..member(0, Status::Alive)
    };
    let mut settings = policy::Settings::new(own, 1);
    settings.evidence = EvidenceSharing::Alerts;
    settings.source = ConfigurationSource::Registry;
    let mut instance = Instance::new(settings);
    instance.handle(0, Input::Registry(RegistryUpdate::Release(release())));
    let targets = RegistryUpdate::Targets {
        revision: 1,
        targets: vec![target()],
    };
    instance.handle(0, Input::Registry(targets));
    let members = (0..PEERS).map(|number| member(number, Status::Alive));
    let members = PlatformAnswer::Instances(members.collect());
    instance.handle(0, Input::Platform(members));
    instance
}

fn receive_members(instance: &mut Instance, now_us: u64, member_updates: Vec<Member>) {
    let envelope = Envelope {
        from: "other-19".into(),
        incarnation: 1,
        note: 0,
        targets_changed: 0,
        view_age_ms: None,
        member_updates,
        message: Message::Ack { sequence: 0 },
    };
    instance.handle(now_us, Input::Received(envelope));
}

fn is_degraded(instance: &mut Instance, now_us: u64) -> bool {
    instance.handle(now_us, Input::Tick);
    let routing = instance.shared().table();
    let table = &routing.services[&Arc::from("gates")];
    table.load.degraded.load(Ordering::Relaxed)
}

#[test]
fn unresponsive_instances_degrade_the_services() {
    let mut instance = instance();
    assert!(!is_degraded(&mut instance, SECOND_US));
    let unresponsive = (0..3).map(|number| member(number, Status::Suspect));
    receive_members(&mut instance, SECOND_US, unresponsive.collect());
    assert!(is_degraded(&mut instance, 2 * SECOND_US));
}

#[test]
fn instances_that_left_do_not_degrade_the_services() {
    let mut instance = instance();
    let left = (0..3).map(|number| member(number, Status::Left));
    receive_members(&mut instance, SECOND_US, left.collect());
    assert!(!is_degraded(&mut instance, 2 * SECOND_US));
}

#[test]
fn instances_dead_for_long_do_not_degrade_the_services() {
    let mut instance = instance();
    let dead = (0..3).map(|number| member(number, Status::Dead));
    receive_members(&mut instance, SECOND_US, dead.collect());
    assert!(is_degraded(&mut instance, 2 * SECOND_US));
    assert!(!is_degraded(&mut instance, 30 * SECOND_US));
}
