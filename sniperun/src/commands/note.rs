//! Commands on release notes.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use border::HttpPlatform;
use border::NoteStore;
use model::Configuration;
use model::Note;
use model::configuration::Named;
use model::note::Delta;
use sniperund::clock::unix_ms;

use super::CommandError;
use super::Result;
use super::fetch;

fn open_store(platform: &str) -> NoteStore {
    NoteStore::new(Arc::new(HttpPlatform::new(platform)))
}

/// Checks a note against the configuration in force if a platform is given.
///
/// Without a platform, a note that only adds objects is checked against an empty
/// configuration; any other note is only parsed.
pub(super) async fn check(path: &Path, platform: Option<&str>) -> Result<String> {
    let mut note = fetch::read_note(path)?;
    note.submitted_at_ms = unix_ms();
    let configuration = match platform {
        Some(platform) => open_store(platform).configuration().await?,
        None if is_additive(&note) => Configuration::default(),
        None => {
            return Ok(format!(
                "{}: well-formed; give --platform to check it against the note in force\n",
                path.display()
            ));
        }
    };
    note.apply(&configuration)?;
    Ok(format!(
        "{}: in order after note {}\n",
        path.display(),
        configuration.number
    ))
}

/// Whether a note adds services and neither changes nor withdraws services,
/// targets or routes.
fn is_additive(note: &Note) -> bool {
    fn adds_only<T>(delta: &Delta<T>) -> bool {
        delta.change.is_empty() && delta.withdraw.is_empty()
    }
    adds_only(&note.services)
        && adds_only(&note.targets)
        && adds_only(&note.routes)
        && !note.services.add.is_empty()
}

/// Submits a note.
///
/// The id of the submission is printed to standard error before the note is sent,
/// so that a failed submission can be repeated with the same id.
pub(super) async fn submit(
    path: &Path,
    platform: &str,
    submission: Option<String>,
) -> Result<String> {
    let mut note = fetch::read_note(path)?;
    note.submitted_at_ms = unix_ms();
    if let Some(submission) = submission {
        note.submission = submission.into();
    } else if note.submission.is_empty() {
        note.submission = format!("{:016x}", rand::random::<u64>()).into();
    }
    eprintln!("submission {}", note.submission);
    let submitted = open_store(platform).submit(&note).await?;
    let when = if submitted.is_duplicate {
        "was accepted earlier"
    } else {
        "is accepted"
    };
    Ok(format!("note {} {when}\n", submitted.number))
}

/// Shows the number of the note in force on the platform and at each instance.
pub(super) async fn show_in_force(platform: &str, instances: &[SocketAddr]) -> Result<String> {
    let configuration = open_store(platform).configuration().await?;
    let mut text = format!("platform: note {}\n", configuration.number);
    for address in instances {
        match fetch::fetch_status(*address).await {
            Ok(status) => {
                let _ = writeln!(text, "{}: note {}", status.instance, status.note);
            }
            Err(error) => {
                let _ = writeln!(text, "{error}");
            }
        }
    }
    Ok(text)
}

/// Shows a note as JSON.
pub(super) async fn show(platform: &str, number: u64) -> Result<String> {
    let note = open_store(platform).read(number).await?;
    let note = note.ok_or(CommandError::NoteNotFound { number })?;
    Ok(serde_json::to_string_pretty(&note).unwrap_or_default() + "\n")
}

/// Lists the `last` newest notes, oldest first.
pub(super) async fn list(platform: &str, last: u64) -> Result<String> {
    let store = open_store(platform);
    let newest = store.configuration().await?.number;
    let mut text = String::new();
    for number in newest.saturating_sub(last)..newest {
        if let Some(note) = store.read(number + 1).await? {
            let _ = writeln!(
                text,
                "{:>6}  {:<24}  {}",
                number + 1,
                note.submission,
                note.title
            );
        }
    }
    Ok(text)
}

/// Lists the objects that a note would add, change or withdraw.
pub(super) async fn diff(path: &Path, platform: &str) -> Result<String> {
    let mut note = fetch::read_note(path)?;
    note.submitted_at_ms = unix_ms();
    let configuration = open_store(platform).configuration().await?;
    note.apply(&configuration)?;
    let mut text = format!("after note {}:\n", configuration.number);
    write_delta(&mut text, &note.services);
    write_delta(&mut text, &note.targets);
    write_delta(&mut text, &note.routes);
    write_delta(&mut text, &note.customers);
    write_delta(&mut text, &note.closings);
    for link in &note.links {
        let _ = writeln!(
            text,
            "  ~ link {} - {}: {} us",
            link.from, link.to, link.one_way_us
        );
    }
    Ok(text)
}

fn write_delta<T: Named>(text: &mut String, delta: &Delta<T>) {
    for object in &delta.add {
        let _ = writeln!(text, "  + {} {}", T::KIND, object.name());
    }
    for object in &delta.change {
        let _ = writeln!(text, "  ~ {} {}", T::KIND, object.name());
    }
    for name in &delta.withdraw {
        let _ = writeln!(text, "  - {} {name}", T::KIND);
    }
}
