//! Tests of customers and their keys in a configuration.

use expect_test::expect;
use model::Configuration;
use model::Note;
use model::configuration::Customer;
use model::configuration::KeyDigest;
use model::note::Delta;

fn digest(key: &str) -> KeyDigest {
    KeyDigest::of(key.as_bytes())
}

fn customer(name: &str, keys: &[&str]) -> Customer {
    Customer {
        keys: Some(keys.iter().map(|key| digest(key)).collect()),
        ..Customer::new(name.into(), 256)
    }
}

fn note(customers: Delta<Customer>) -> Note {
    Note {
        title: "t".into(),
        customers,
        ..Note::default()
    }
}

fn adding(customers: Vec<Customer>) -> Note {
    note(Delta {
        add: customers,
        ..Delta::default()
    })
}

fn changing(customers: Vec<Customer>) -> Note {
    note(Delta {
        change: customers,
        ..Delta::default()
    })
}

/// A configuration with the customers `kilo`, holding two keys, and `lima`, holding one.
fn configuration() -> Configuration {
    let customers = vec![customer("kilo", &["a", "b"]), customer("lima", &["c"])];
    apply(&adding(customers), &Configuration::default())
}

fn apply(note: &Note, configuration: &Configuration) -> Configuration {
    note.apply(configuration).expect("the note is valid")
}

fn holder<'a>(configuration: &'a Configuration, key: &str) -> Option<&'a str> {
    let customer = configuration.customer_by_key(&digest(key));
    customer.map(|customer| &*customer.name)
}

fn holders(configuration: &Configuration) -> Vec<Option<&str>> {
    ["a", "b", "c"]
        .map(|key| holder(configuration, key))
        .to_vec()
}

/// Guards against a key that is lost, or stays with its former holder, if both holders change.
#[test]
fn a_key_moves_from_one_customer_to_another_in_one_note() {
    let moves = vec![customer("kilo", &["a"]), customer("lima", &["b", "c"])];
    let reversed: Vec<Customer> = moves.iter().rev().cloned().collect();
    for changed in [moves, reversed] {
        let moved = apply(&changing(changed), &configuration());
        assert_eq!(holders(&moved), [Some("kilo"), Some("lima"), Some("lima")]);
    }
    let exchanged = vec![customer("kilo", &["c"]), customer("lima", &["a", "b"])];
    let exchanged = apply(&changing(exchanged), &configuration());
    assert_eq!(
        holders(&exchanged),
        [Some("lima"), Some("lima"), Some("kilo")]
    );
    let removed_and_added = note(Delta {
        add: vec![customer("mike", &["a"])],
        withdraw: vec!["kilo".into()],
        ..Delta::default()
    });
    let moved = apply(&removed_and_added, &configuration());
    assert_eq!(holders(&moved), [Some("mike"), None, Some("lima")]);
}

/// Guards against keys that stay valid after their customer was removed or has lost them.
#[test]
fn withdrawn_keys_have_no_holder_and_the_last_one_opens_nothing() {
    let before = configuration();
    let fewer = apply(&changing(vec![customer("kilo", &["a"])]), &before);
    assert_eq!(holders(&fewer), [Some("kilo"), None, Some("lima")]);
    let none = changing(vec![customer("kilo", &[]), customer("lima", &[])]);
    let none = apply(&none, &before);
    assert_eq!(holders(&none), [None, None, None]);
    assert!(none.requires_keys());
    let removal = note(Delta {
        withdraw: vec!["kilo".into(), "lima".into()],
        ..Delta::default()
    });
    let removed = apply(&removal, &before);
    assert_eq!(holders(&removed), [None, None, None]);
    let requiring = Note {
        keys_required: Some(true),
        ..removal
    };
    let closed = apply(&requiring, &before);
    assert!(closed.requires_keys());
    assert!(holders(&before).iter().all(Option::is_some), "unchanged");
}

/// Guards against one key that identifies two customers.
#[test]
fn two_customers_with_one_key_are_rejected() {
    let reject = |note: &Note, configuration: &Configuration| {
        let error = note.apply(configuration);
        error.expect_err("the key has two holders").to_string()
    };
    let before = configuration();
    let taken = adding(vec![customer("mike", &["d", "b"])]);
    expect!["E505 value out of range: customer `mike`: another customer has the same key"]
        .assert_eq(&reject(&taken, &before));
    let both = adding(vec![customer("mike", &["d"]), customer("november", &["d"])]);
    expect!["E505 value out of range: customer `november`: another customer has the same key"]
        .assert_eq(&reject(&both, &before));
    let twice = adding(vec![customer("mike", &["d", "d"])]);
    assert_eq!(holder(&apply(&twice, &before), "d"), Some("mike"));
    assert_eq!(holders(&before), [Some("kilo"), Some("kilo"), Some("lima")]);
}

/// Guards against snapshots that lose keys, or whose parts are above the largest size of a note.
#[test]
fn a_snapshot_keeps_the_keys() {
    let names = (0..3_000).map(|number| format!("customer-{number:04}"));
    let many = names.map(|name| {
        let keys = ["1", "2", "3", "4"].map(|key| format!("{name}{key}"));
        customer(&name, &keys.each_ref().map(String::as_str))
    });
    let mut configuration = configuration();
    let many: Vec<Customer> = many.collect();
    for part in many.chunks(1_000) {
        configuration = apply(&adding(part.to_vec()), &configuration);
    }
    let requiring = Note {
        keys_required: Some(true),
        ..adding(Vec::new())
    };
    configuration = apply(&requiring, &configuration);
    let copy = Configuration::from_parts(configuration.number, &configuration.to_parts());
    let copy = copy.expect("the parts can be applied");
    assert_eq!(copy.customers, configuration.customers);
    assert_eq!(holder(&copy, "customer-29994"), Some("customer-2999"));
    assert!(copy.are_keys_required());
}

/// Guards against digests that are read although they are none.
#[test]
fn a_digest_is_written_as_64_hexadecimal_digits() {
    let text = serde_json::to_string(&digest("a")).expect("a digest can be written");
    expect![[r#""ca978112ca1bbdcafac231b39a23dc4da786eff8147c4e72b9807785afee48bb""#]]
        .assert_eq(&text);
    assert_eq!(
        serde_json::from_str::<KeyDigest>(&text).ok(),
        Some(digest("a"))
    );
    let signs = text.replace("ca", "+a");
    for malformed in [
        "\"\"",
        "7",
        &text.replace('4', ""),
        &signs,
        &text.replace('4', "é"),
    ] {
        assert!(serde_json::from_str::<KeyDigest>(malformed).is_err());
    }
}
