//! Commands on configurations of the users' platform.

use std::fmt::Write;
use std::path::Path;

use platform::check::CheckedConfiguration;
use platform::check::Difference;
use platform::check::Finding;
use platform::check::SectionDifference;
use platform::check::Severity;
use platform::check::check_configuration;
use serde::Serialize;

use super::CommandError;
use super::Output;
use super::Result;
use crate::cli::ConfigurationCheckArgs;

/// The result of a check as JSON.
#[derive(Serialize)]
struct Report<'a> {
    errors: usize,
    warnings: usize,
    findings: &'a [Finding],
    #[serde(skip_serializing_if = "Option::is_none")]
    difference: Option<&'a Difference>,
}

/// Checks a configuration, and compares it with the one in force if that is given.
pub(super) fn check(args: &ConfigurationCheckArgs) -> Result<Output> {
    let mut checked = check_file(&args.file)?;
    let in_force = args.against.as_deref().map(check_file).transpose()?;
    let difference = in_force.and_then(|in_force| checked.compare(&in_force));
    let count = |severity: Severity| {
        let findings = checked.findings.iter();
        findings
            .filter(|finding| finding.severity == severity)
            .count()
    };
    let report = Report {
        errors: count(Severity::Error),
        warnings: count(Severity::Warning),
        findings: &checked.findings,
        difference: difference.as_ref(),
    };
    let text = match args.json {
        true => serde_json::to_string_pretty(&report).unwrap_or_default() + "\n",
        false => render(&args.file, &report),
    };
    Ok(Output {
        text,
        has_errors: checked.has_errors(),
    })
}

fn check_file(path: &Path) -> Result<CheckedConfiguration> {
    let text = std::fs::read(path).map_err(|source| CommandError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    Ok(check_configuration(&text))
}

fn render(path: &Path, report: &Report<'_>) -> String {
    let mut text = String::new();
    for finding in report.findings {
        let _ = writeln!(text, "{finding}");
    }
    let sections = report.difference.iter();
    for (kind, section) in sections.flat_map(|difference| difference.sections()) {
        write_section(&mut text, kind, section);
    }
    let _ = writeln!(
        text,
        "{}: {} errors, {} warnings",
        path.display(),
        report.errors,
        report.warnings
    );
    text
}

fn write_section(text: &mut String, kind: &str, section: &SectionDifference) {
    for name in &section.added {
        let _ = writeln!(text, "  + {kind} {name}");
    }
    for changed in &section.changed {
        let _ = write!(text, "  ~ {kind} {}", changed.name);
        if changed.keys_added + changed.keys_removed > 0 {
            let (added, removed) = (changed.keys_added, changed.keys_removed);
            let _ = write!(text, " (keys: {added} added, {removed} removed)");
        }
        text.push('\n');
    }
    for name in &section.removed {
        let _ = writeln!(text, "  - {kind} {name}");
    }
}
