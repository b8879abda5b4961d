//! Decoding of the queries of calls, as HTML forms encode them.

use std::collections::HashMap;

use percent_encoding::percent_decode_str;

/// Parameters of a call.
pub(super) struct Query(HashMap<String, String>);

impl Query {
    /// Decodes the query of an address. Of a repeated parameter, the last value counts. `None` if the
    /// query has characters outside ASCII, which an address cannot contain, or encodes no text.
    pub(super) fn parse(text: &str) -> Option<Self> {
        if !text.is_ascii() {
            return None;
        }
        let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
        let parameters = pairs.map(|(name, value)| Some((decode(name)?, decode(value)?)));
        parameters.collect::<Option<_>>().map(Self)
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
fn decode(text: &str) -> Option<String> {
    let text = text.replace('+', " ");
    let decoded = percent_decode_str(&text).decode_utf8().ok()?;
    Some(decoded.into_owned())
}
