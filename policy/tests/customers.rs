//! Tests that releases of instances of former versions, which ignore customers, admit nobody.

use std::net::SocketAddr;

use model::configuration::Customer;
use model::configuration::KeyDigest;
use policy::Action;
use policy::Input;
use policy::Instance;
use policy::Message;
use policy::feed::Release;
use policy::instance::ConfigurationSource;
use policy::instance::Envelope;
use policy::instance::EvidenceSharing;
use policy::instance::PlatformAnswer;
use policy::instance::RegistryPart;
use policy::instance::RegistryUpdate;
use policy::membership::Member;
use policy::membership::Status;

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

fn instance() -> Instance {
    let mut settings = policy::Settings::new(member("own"), 1);
    settings.evidence = EvidenceSharing::Alerts;
    settings.source = ConfigurationSource::Registry;
    let mut instance = Instance::new(settings);
    let members = PlatformAnswer::Instances(vec![member("peer")]);
    instance.handle(0, Input::Platform(members));
    let targets = RegistryUpdate::Targets {
        revision: 1,
        targets: Vec::new(),
    };
    instance.handle(0, Input::Registry(targets));
    instance
}

fn release(number: u64, keys: Option<&[&str]>) -> Release {
    let customers = keys.map(|keys| {
        let keys = keys.iter().map(|key| KeyDigest::of(key.as_bytes()));
        vec![Customer {
            keys: Some(keys.collect()),
            ..Customer::new("kilo".into(), 256)
        }]
    });
    Release {
        number,
        customers,
        ..Release::default()
    }
}

fn read(instance: &mut Instance, release: Release) {
    instance.handle(1, Input::Registry(RegistryUpdate::Release(release)));
}

/// Delivers a release as instances of the former version `d957428` send it.
fn receive(instance: &mut Instance, release: Release) -> Vec<Action> {
    let envelope = Envelope {
        from: "peer".into(),
        incarnation: 1,
        note: release.number,
        targets_changed: 0,
        view_age_ms: None,
        member_updates: Vec::new(),
        message: Message::Release {
            release,
            id_range: None,
        },
    };
    instance.handle(2, Input::Received(envelope))
}

fn is_reread(action: &Action) -> bool {
    matches!(action, Action::Reread(RegistryPart::Release))
}

fn holds(instance: &Instance, key: &str) -> bool {
    let digest = KeyDigest::of(key.as_bytes());
    instance.configuration().customer_by_key(&digest).is_some()
}

/// Guards against a peer of a former version that removes all customers during an upgrade.
#[test]
fn a_release_without_customers_from_a_peer_is_read_from_the_registry() {
    let mut instance = instance();
    read(&mut instance, release(3, Some(&["old"])));
    let actions = receive(&mut instance, release(4, None));
    assert!(actions.iter().any(is_reread));
    assert_eq!(instance.configuration().number, 3);
    assert!(instance.configuration().requires_keys());
    read(&mut instance, release(4, Some(&["new"])));
    assert!(holds(&instance, "new") && !holds(&instance, "old"));
    let again = receive(&mut instance, release(4, None));
    assert!(!again.iter().any(is_reread));
    assert!(holds(&instance, "new"));
}

/// Guards against an instance that keeps a release without customers, of a peer of a former
/// version, after it has read the complete one.
#[test]
fn customers_are_added_to_a_release_of_the_same_number() {
    let mut instance = instance();
    receive(&mut instance, release(4, None));
    assert_eq!(instance.configuration().number, 4);
    read(&mut instance, release(4, Some(&["new"])));
    assert!(instance.configuration().requires_keys());
    assert!(holds(&instance, "new"));
}

/// Guards against a registry whose last customer is removed, which must not admit every caller,
/// and against one whose customers are given up, which must.
#[test]
fn keys_are_required_as_long_as_the_registry_has_customers() {
    let mut instance = instance();
    read(&mut instance, release(3, Some(&["old"])));
    let none = Release {
        customers: Some(Vec::new()),
        ..release(4, None)
    };
    read(&mut instance, none);
    assert!(instance.configuration().requires_keys());
    assert!(!holds(&instance, "old"));
    read(&mut instance, release(5, None));
    assert!(!instance.configuration().requires_keys());
}

/// Guards against a withdrawn key that comes back with an older release.
#[test]
fn an_older_release_brings_no_key_back() {
    let mut instance = instance();
    read(&mut instance, release(4, Some(&["new"])));
    read(&mut instance, release(3, Some(&["old"])));
    receive(&mut instance, release(3, None));
    assert!(holds(&instance, "new") && !holds(&instance, "old"));
}
