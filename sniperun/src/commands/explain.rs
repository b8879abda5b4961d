//! Log lines that explain one request, from the logs of all instances.
//!
//! The lines are sorted by time. Besides the lines of the request itself they include
//! the state that its instance decided by: the note in force, and the last change of a
//! target's failure probability before each attempt at that target.

use std::collections::BTreeMap;
use std::path::PathBuf;

use super::CommandError;
use super::Result;

/// Reads logs and returns the lines that explain the request with the given id.
///
/// # Errors
///
/// Returns [`CommandError`] if a log cannot be read or no log contains the id.
pub(super) fn explain(id: &str, logs: &[PathBuf]) -> Result<String> {
    let mut lines = Vec::new();
    for path in logs {
        let text = std::fs::read_to_string(path).map_err(|source| CommandError::File {
            path: path.clone(),
            source,
        })?;
        lines.extend(explaining_lines(id, &path.display().to_string(), &text));
    }
    if lines.is_empty() {
        return Err(CommandError::RequestNotLogged { id: id.to_owned() });
    }
    lines.sort();
    let mut explanation = String::new();
    for line in lines {
        explanation.push_str(&line);
        explanation.push('\n');
    }
    Ok(explanation)
}

/// Lines of one log that explain a request, each with the log's name appended.
///
/// A line about the note in force is included once, before the first line of the request
/// that follows it, and one about a target before the next line of the request that names
/// the target.
fn explaining_lines(id: &str, log: &str, text: &str) -> Vec<String> {
    let mut probability_changes: BTreeMap<&str, &str> = BTreeMap::new();
    let mut in_force = None;
    let mut lines = Vec::new();
    for line in text.lines() {
        match field_value(line, "event") {
            Some("note-in-force") => in_force = Some(line),
            Some("target-doubted") => {
                if let Some(target) = field_value(line, "target") {
                    probability_changes.insert(target, line);
                }
            }
            _ => {}
        }
        if field_value(line, "id") != Some(id) {
            continue;
        }
        lines.extend(in_force.take());
        let change =
            field_value(line, "target").and_then(|target| probability_changes.remove(target));
        lines.extend(change);
        lines.push(line);
    }
    lines
        .iter()
        .map(|line| format!("{line} log={log}"))
        .collect()
}

/// Value of a field of a log line of key=value pairs, without quotes.
fn field_value<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = line.split(' ').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.trim_matches('"'))
}
