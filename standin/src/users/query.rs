//! Decoding of the queries of calls, as HTML forms encode them.

use std::collections::HashMap;

use percent_encoding::percent_decode_str;

/// Parameters of a call.
pub(super) struct Query(HashMap<String, String>);

impl Query {
    /// Decodes the query of an address. Of a repeated parameter, the last value counts.
    pub(super) fn parse(text: &str) -> Self {
        let pairs = text.split('&').map(|pair| pair.split_once('='));
        let pairs = pairs.flatten();
        Self(
            pairs
                .map(|(name, value)| (decode(name), decode(value)))
                .collect(),
        )
    }

    /// Value of a parameter; empty if it is missing.
    pub(super) fn text(&self, name: &str) -> &str {
        self.0.get(name).map_or("", String::as_str)
    }

    /// Value of a numeric parameter; 0 if it is missing or no number.
    pub(super) fn number(&self, name: &str) -> u64 {
        self.text(name).parse().unwrap_or(0)
    }
}

/// Decodes a name or a value: `+` is a blank, and `%` begins the code of a byte.
fn decode(text: &str) -> String {
    let text = text.replace('+', " ");
    percent_decode_str(&text).decode_utf8_lossy().into_owned()
}
