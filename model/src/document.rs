//! Deserialises documents written as JSON with comments.
//!
//! Errors report the line, the path of the field and what was expected.

use derive_more::Display;
use derive_more::Error;
use jsonc_parser::ParseOptions;
use serde::de::DeserializeOwned;

use crate::ResultCode;

/// Result of deserialising a document.
pub type Result<T> = std::result::Result<T, DocumentError>;

/// Reason why a document could not be deserialised.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum DocumentError {
    /// The text is not JSON with comments.
    #[display("{}: not JSON with comments: {reason}", ResultCode::DocumentSyntax)]
    Syntax {
        /// The parser's error message, with line and column.
        reason: String,
    },
    /// A field is unknown or missing, or its value has the wrong type.
    #[display(
        "{}: line {line}, field `{field}`: {reason}",
        ResultCode::DocumentField
    )]
    Field {
        /// Path of the field, such as `targets.add[0].slots`.
        field: String,
        /// Line, counted from 1, of the deepest part of the path found in the text.
        line: usize,
        /// The deserialiser's error message, which states what was expected.
        reason: String,
    },
}

/// Deserialises a `T` from JSON with comments.
///
/// # Errors
///
/// Returns [`DocumentError`] on a syntax error or if a field does not match `T`.
pub fn read<T: DeserializeOwned>(text: &str) -> Result<T> {
    let value: serde_json::Value =
        jsonc_parser::parse_to_serde_value(text, &ParseOptions::default()).map_err(|error| {
            DocumentError::Syntax {
                reason: error.to_string(),
            }
        })?;
    serde_path_to_error::deserialize(value).map_err(|error| {
        let field = error.path().to_string();
        DocumentError::Field {
            line: line_of_field(text, &field, &error.inner().to_string()),
            reason: error.inner().to_string(),
            field,
        }
    })
}

/// Finds the line of a field by searching the text for each part of its path.
///
/// The path does not contain an unknown field; its name is taken from the
/// back quotes in `reason` and searched for last.
fn line_of_field(text: &str, path: &str, reason: &str) -> usize {
    let mut offset = 0;
    for part in path.split('.') {
        let (name, index) = match part.split_once('[') {
            Some((name, rest)) => (name, rest.trim_end_matches(']').parse().unwrap_or(0)),
            None => (part, 0),
        };
        offset = offset_after_key(text, offset, name);
        for _ in 0..index {
            offset = skip_element(text, offset);
        }
    }
    if reason.starts_with("unknown field")
        && let Some(name) = reason.split('`').nth(1)
    {
        offset = offset_after_key(text, offset, name);
    }
    text[..offset].matches('\n').count() + 1
}

fn offset_after_key(text: &str, offset: usize, name: &str) -> usize {
    let quoted = format!("\"{name}\"");
    text[offset..]
        .find(&quoted)
        .map_or(offset, |at| offset + at + quoted.len())
}

/// Returns the offset after the next `{ … }` element of an array.
fn skip_element(text: &str, offset: usize) -> usize {
    let mut depth = 0usize;
    for (at, byte) in text[offset..].bytes().enumerate() {
        match byte {
            b'{' => depth += 1,
            b'}' if depth == 1 => return offset + at + 1,
            b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    offset
}
