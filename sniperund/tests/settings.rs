//! Parsing of the settings: the examples are valid, and errors name line and field.

use sniperund::Settings;

const EXAMPLES: [&str; 7] = [
    include_str!("../../examples/rodopi/smolyan-1.jsonc"),
    include_str!("../../examples/rodopi/devin-1.jsonc"),
    include_str!("../../examples/rodopi/chepelare-1.jsonc"),
    include_str!("../../examples/kinderhut/zurich-1.jsonc"),
    include_str!("../../examples/kinderhut/winterthur-1.jsonc"),
    include_str!("../../examples/kinderhut/baden-1.jsonc"),
    include_str!("../../examples/kinderhut/schaffhausen-1.jsonc"),
];

/// Parses the first example with `from` replaced by `to`, and returns the error text.
fn rejection(from: &str, to: &str) -> String {
    let text = EXAMPLES[0].replace(from, to);
    assert_ne!(text, EXAMPLES[0]);
    Settings::parse(&text)
        .expect_err("the settings were not rejected")
        .to_string()
}

#[test]
fn the_examples_are_valid() {
    for text in EXAMPLES {
        Settings::parse(text).expect("an example was rejected");
    }
}

#[test]
fn errors_name_line_and_field() {
    let unknown = rejection("\"claims\"", "\"claimz\"");
    assert!(
        unknown.contains("line 26, field `limits.claimz`"),
        "{unknown}"
    );
    let kind = rejection("\"drain_grace_ms\": 3000", "\"drain_grace_ms\": \"soon\"");
    assert!(
        kind.starts_with("E502 ") && kind.contains("field `drain_grace_ms`"),
        "{kind}"
    );
    let value = rejection("\"in_flight\": 4096", "\"in_flight\": 0");
    assert!(
        value.contains("limits.in_flight") && value.contains("more than 0"),
        "{value}"
    );
    let same = rejection("127.0.0.1:7202", "127.0.0.1:7201");
    assert!(same.contains("three different addresses"), "{same}");
}
