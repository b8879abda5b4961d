//! The story of one request, from the logs of all instances.
//!
//! Its own lines come first to last by time, with what its instance believed of
//! the targets that it met: the last change of belief before each attempt, and
//! the configuration that was in force.

use std::collections::BTreeMap;
use std::path::PathBuf;

use super::CommandError;
use super::Result;

/// Reads logs and tells the story of the request with an id.
///
/// # Errors
///
/// Returns [`CommandError`] if a log cannot be read or none names the id.
pub(super) fn explain(id: &str, logs: &[PathBuf]) -> Result<String> {
    let mut told = Vec::new();
    for path in logs {
        let text = std::fs::read_to_string(path).map_err(|source| CommandError::File {
            path: path.clone(),
            source,
        })?;
        told.extend(lines_about(id, &path.display().to_string(), &text));
    }
    if told.is_empty() {
        return Err(CommandError::NoRequest { id: id.to_owned() });
    }
    told.sort();
    let mut story = String::new();
    for line in told {
        story.push_str(&line);
        story.push('\n');
    }
    Ok(story)
}

/// The lines of one log about a request, each with the log's name behind its time.
fn lines_about(id: &str, log: &str, text: &str) -> Vec<String> {
    let mut beliefs: BTreeMap<&str, &str> = BTreeMap::new();
    let mut in_force = None;
    let mut told = Vec::new();
    for line in text.lines() {
        match field(line, "event") {
            Some("note-in-force") => in_force = Some(line),
            Some("target-doubted") => {
                if let Some(target) = field(line, "target") {
                    beliefs.insert(target, line);
                }
            }
            _ => {}
        }
        if field(line, "id") != Some(id) {
            continue;
        }
        told.extend(in_force.take());
        let belief = field(line, "target").and_then(|target| beliefs.remove(target));
        told.extend(belief);
        told.push(line);
    }
    told.iter()
        .map(|line| format!("{line} log={log}"))
        .collect()
}

/// The value of a field of a line of key=value pairs.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = line.split(' ').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(known, _)| *known == name)
        .map(|(_, value)| value.trim_matches('"'))
}
