//! Tests of reading and applying notes: which notes are accepted and which errors
//! reject the others.

use expect_test::expect;
use model::Configuration;
use model::Note;
use model::document;

const RODOPI: &str = include_str!("../../examples/rodopi/note.jsonc");
const KINDERHUT: &str = include_str!("../../examples/kinderhut/note.jsonc");

fn configuration() -> Configuration {
    let note: Note = document::read(RODOPI).expect("the example can be read");
    note.apply(&Configuration::default())
        .expect("the example can be applied")
}

fn rejection_of(text: &str, configuration: &Configuration) -> String {
    let note: Note = document::read(text).expect("the note can be read");
    note.apply(configuration)
        .expect_err("the note is rejected")
        .to_string()
}

#[test]
fn example_notes_apply() {
    assert_eq!(configuration().targets.len(), 28);
    let note: Note = document::read(KINDERHUT).expect("the example can be read");
    let configuration = note
        .apply(&Configuration::default())
        .expect("the example can be applied");
    assert_eq!(configuration.targets.len(), 33);
}

#[test]
fn errors_name_line_and_field() {
    let text = "{\n  // A comment.\n  \"title\": \"x\",\n  \"targets\": { \"add\": [\n    { \"name\": \"a\", \"slotz\": 3 }\n  ] }\n}";
    let error = document::read::<Note>(text).expect_err("the field is unknown");
    expect!["E502 field does not fit: line 5, field `targets.add[0].slotz`: unknown field `slotz`, expected one of `name`, `service`, `data_centre`, `address`, `slots`, `connections`, `refusal_is_not_run`, `leaving`, `incarnation`"].assert_eq(&error.to_string());
    let error = document::read::<Note>("{ nonsense").expect_err("the text is not JSON");
    assert!(error.to_string().starts_with("E501 "), "{error}");
}

#[test]
fn references_and_values_are_checked() {
    let configuration = configuration();
    expect!["E504 does not exist: service `nope`, named by route `r`"].assert_eq(&rejection_of(
        r#"{"title": "t", "routes": {"add": [{"name": "r", "path": "/x", "service": "nope"}]}}"#,
        &configuration,
    ));
    expect!["E503 already exists: route `gates`"].assert_eq(&rejection_of(
        r#"{"title": "t", "routes": {"add": [{"name": "gates", "path": "/x", "service": "gates"}]}}"#,
        &configuration,
    ));
    expect!["E505 value out of range: route `r`: another route has the same host and path"].assert_eq(&rejection_of(
        r#"{"title": "t", "routes": {"add": [{"name": "r", "path": "/gates", "service": "gates"}]}}"#,
        &configuration,
    ));
    expect!["E504 does not exist: service `gates`, named by target `gates-01`"].assert_eq(
        &rejection_of(
            r#"{"title": "t", "services": {"withdraw": ["gates"]}}"#,
            &configuration,
        ),
    );
    expect!["E504 does not exist: target `gates-99`, named by the note"].assert_eq(&rejection_of(
        r#"{"title": "t", "targets": {"withdraw": ["gates-99"]}}"#,
        &configuration,
    ));
}

#[test]
fn open_closing_rejects_withdrawals_and_allows_added_capacity() {
    let closing = r#"{"title": "year-end", "closings": {"add": [{"name": "year-end", "services": ["exports"],
        "from": "2026-12-30T20:00:00Z", "until": "2027-01-02T06:00:00Z"}]}}"#;
    let note: Note = document::read(closing).expect("the note can be read");
    let configuration = note
        .apply(&configuration())
        .expect("the closing can be applied");
    let during_ms = 1_798_700_000_000;
    let apply_at = |text: &str, submitted_at_ms: u64| {
        let mut note: Note = document::read(text).expect("the note can be read");
        note.submitted_at_ms = submitted_at_ms;
        note.apply(&configuration)
            .map(|configuration| configuration.number)
            .map_err(|error| error.to_string())
    };
    let withdraw = r#"{"title": "t", "targets": {"withdraw": ["exports-01"]}}"#;
    expect!["E506 an open closing forbids the change: closing `year-end` covers service `exports`"]
        .assert_eq(&apply_at(withdraw, during_ms).expect_err("the closing is open"));
    assert_eq!(apply_at(withdraw, 1_000), Ok(3));
    let add = r#"{"title": "t", "targets": {"add": [{"name": "exports-99", "service": "exports", "data_centre": "devin",
        "address": "127.0.0.1:9", "slots": 6, "connections": 300}]}}"#;
    assert_eq!(apply_at(add, during_ms), Ok(3));
}

#[test]
fn snapshot_round_trip_preserves_configuration() {
    let configuration = configuration();
    let copy = Configuration::from_parts(configuration.number, &configuration.to_parts())
        .expect("the parts can be applied");
    assert_eq!(copy.number, configuration.number);
    assert_eq!(copy.targets, configuration.targets);
    assert_eq!(copy.services, configuration.services);
    assert_eq!(copy.routes, configuration.routes);
    assert!(copy.route("any", "/levels/today").is_some());
}

#[test]
fn longest_path_matches_on_whole_segments() {
    let configuration = configuration();
    let route = |path: &str| {
        configuration
            .route("any", path)
            .map(|route| route.service.to_string())
    };
    assert_eq!(route("/gates/7/open").as_deref(), Some("gates"));
    assert_eq!(route("/gatesx"), None);
    assert_eq!(route("/"), None);
    assert_eq!(route(&"/a".repeat(1_000)), None);
}
