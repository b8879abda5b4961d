//! Tests that releases keep their encoding, which instances of former versions read.

use model::configuration::Class;
use model::configuration::Customer;
use model::configuration::KeyDigest;
use model::configuration::Quota;
use model::configuration::Repeat;
use model::configuration::Route;
use model::configuration::RouteTerms;
use model::configuration::Service;
use model::configuration::Share;
use peers::VERSION;
use peers::decode;
use peers::encode;
use policy::feed::Release;
use policy::instance::Envelope;
use policy::instance::Message;
use policy::notes::IdRange;

/// The message as the build of commit `d957428` encodes it.
const FORMER_BYTES: &str = "\
    06656467652d3107ac020501a006000cac020105726561647300019875666666666666e63f8dedb5a0f7c6b0\
    3e8dedb5a0f7c6b03e9a9999999999c93f20072f6865616c74680203722d310109612e6578616d706c65062f\
    726561642f057265616473020572656164735a0567617465730a0100010201b81701d00f010203722d320006\
    2f726561642f0572656164730000000000000198750106656467652d3206656467652d39";

fn envelope(message: Message) -> Envelope {
    Envelope {
        from: "edge-1".into(),
        incarnation: 7,
        note: 300,
        targets_changed: 5,
        view_age_ms: Some(800),
        member_updates: Vec::new(),
        message,
    }
}

fn service() -> Service {
    Service {
        name: "reads".into(),
        class: Class::Live,
        repeat: Repeat::Never,
        time_limit_ms: 15_000,
        floor_share: 0.7,
        false_ejection_rate: 1e-6,
        missed_detection_rate: 1e-6,
        retry_share: 0.2,
        queue: 32,
        probe_path: "/health".into(),
    }
}

fn route(name: &str, terms: RouteTerms) -> Route {
    let share = |service: &str, weight| Share {
        service: service.into(),
        weight,
    };
    Route {
        name: name.into(),
        host: Some("a.example".into()),
        path: "/read/".into(),
        service: "reads".into(),
        shares: vec![share("reads", 90), share("gates", 10)],
        terms,
    }
}

fn release() -> Release {
    let terms = RouteTerms {
        repeat: Some(Repeat::Idempotent),
        class: Some(Class::Export),
        time_limit_ms: Some(3_000),
        objective_ms: Some(2_000),
        max_attempts: Some(2),
        ..RouteTerms::default()
    };
    let any_host = Route {
        host: None,
        shares: Vec::new(),
        ..route("r-2", RouteTerms::default())
    };
    Release {
        number: 300,
        services: vec![service()],
        routes: vec![route("r-1", terms), any_host],
        customers: None,
        idle_limit_ms: Some(15_000),
    }
}

fn customer(name: &str, keys: &[&str]) -> Customer {
    let keys = keys.iter().map(|key| KeyDigest::of(key.as_bytes()));
    Customer {
        keys: Some(keys.collect()),
        quota: Some(Quota {
            rate_milli: 2_500,
            burst: 10,
        }),
        priority: Some(1),
        ..Customer::new(name.into(), 256)
    }
}

fn bytes_of(hex: &str) -> Vec<u8> {
    let digits = hex.as_bytes().chunks(2);
    let bytes = digits.map(|pair| {
        let pair = std::str::from_utf8(pair).expect("digits");
        u8::from_str_radix(pair, 16).expect("hexadecimal digits")
    });
    bytes.collect()
}

fn id_range() -> Option<IdRange> {
    Some(IdRange {
        after: "edge-2".into(),
        to: "edge-9".into(),
    })
}

/// Guards against a release that instances of the former version cannot read during an upgrade.
#[test]
fn a_release_without_customers_has_the_bytes_of_the_former_version() {
    let message = Message::Release {
        release: release(),
        id_range: id_range(),
    };
    let envelope = envelope(message);
    let former = bytes_of(FORMER_BYTES);
    assert_eq!(encode(&envelope).expect("the message fits"), former);
    assert_eq!(decode(VERSION, &former), Ok(envelope));
}

/// Guards against customers, public routes or priorities that get lost between instances, and
/// against keys that are sent.
#[test]
fn a_release_with_customers_arrives_complete() {
    let mut sent = release();
    sent.customers = Some(vec![
        customer("kilo", &["key-1", "key-2"]),
        customer("lima", &[]),
        Customer::new("mike".into(), 1),
    ]);
    sent.routes[0].terms.is_public = true;
    sent.routes[1].terms.priority = Some(3);
    let without_customers = Release {
        customers: None,
        ..sent.clone()
    };
    for sent in [sent, without_customers] {
        let message = Message::ReleaseWithAccess {
            access: Box::new(sent.access().expect("it has priorities")),
            release: Box::new(sent.clone()),
            id_range: id_range(),
        };
        let bytes = encode(&envelope(message)).expect("the message fits");
        assert!(!bytes.windows(4).any(|window| window == b"key-"));
        let received = decode(VERSION, &bytes).expect("the message can be read");
        let Message::ReleaseWithAccess {
            release, access, ..
        } = received.message
        else {
            panic!("{received:?}");
        };
        assert_eq!(release.with_access(*access), sent);
    }
    assert_eq!(release().access(), None);
}
