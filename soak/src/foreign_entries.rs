//! Entries of other writers among those of the targets.

use serde_json::Value;
use serde_json::json;

/// Ends of names; each makes a name that sorts after that of a target. Some have a meaning in a
/// query.
const SUFFIXES: [&str; 9] = [
    "&x",
    "&after=servers/zz",
    "+x",
    "#x",
    "%00",
    " ",
    "\nevent=forged",
    "\"x",
    "é",
];
const VALUES: usize = 3;

/// Number of kinds of entries.
pub(crate) const KINDS: usize = SUFFIXES.len() * VALUES;

/// Returns the names of two entries that sort after the target `id`. Pages of the fake store have two
/// items, so one of the entries is the last of a page.
pub(crate) fn names(id: &str, kind: usize) -> [String; 2] {
    let suffix = SUFFIXES[kind % SUFFIXES.len()];
    ["", "z"].map(|end| format!("{id}{suffix}{end}"))
}

/// Returns the value of an entry that names no target to use, derived from a whole entry.
pub(crate) fn value(mut whole: Value, kind: usize) -> Vec<u8> {
    match kind / SUFFIXES.len() % VALUES {
        // Only its name is odd.
        0 => {}
        1 => whole["service"] = json!("unnamed"),
        _ => return whole.to_string().into_bytes()[..20].to_vec(),
    }
    whole.to_string().into_bytes()
}
