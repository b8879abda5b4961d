//! Report of a run.

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;

use super::Plan;
use super::Record;
use super::RequestEnd;
use super::checks::Violation;

/// Maximum number of violations shown per invariant.
const MAX_SHOWN: usize = 3;

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Planned faults.
    pub plan: Plan,
    /// Start of the plan, in milliseconds from the start of the run.
    pub from_ms: u64,
    /// Violations of invariants.
    pub violations: Vec<Violation>,
    /// Observations of callers and targets.
    pub record: Record,
    /// Paths of the logs of the instances.
    pub logs: Vec<PathBuf>,
}

impl Outcome {
    /// Whether all invariants held.
    pub fn has_passed(&self) -> bool {
        self.violations.is_empty()
    }

    /// Explains the first affected request of each violated invariant from the logs.
    ///
    /// `program` is the operators' command line tool, which collects the log lines of a request.
    pub fn explain_violations(&self, program: &Path) -> String {
        let mut first_requests = BTreeMap::new();
        for violation in &self.violations {
            if let Some(id) = &violation.id {
                first_requests.entry(violation.invariant).or_insert(id);
            }
        }
        let mut text = String::new();
        for (invariant, id) in first_requests {
            let output = Command::new(program)
                .args(["explain", id])
                .args(&self.logs)
                .output();
            let explanation = match &output {
                Ok(output) => String::from_utf8_lossy(&output.stdout).into_owned(),
                Err(error) => format!("explain failed: {error}\n"),
            };
            text.push_str(&format!("{invariant}, request {id}:\n{explanation}"));
        }
        text
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let requests = &self.record.requests;
        let served = requests
            .iter()
            .filter(|request| matches!(request.end, RequestEnd::Answered { status: 200, .. }));
        let result = if self.has_passed() { "whole" } else { "BROKEN" };
        write!(
            f,
            "seed {}: {result}, {} faults, {} of {} requests served",
            self.plan.seed,
            self.plan.steps.len(),
            served.count(),
            requests.len(),
        )?;
        if self.has_passed() {
            return Ok(());
        }
        writeln!(f)?;
        for step in &self.plan.steps {
            let at_ms = self.from_ms + step.at_ms;
            writeln!(
                f,
                "  {at_ms} ms, for {} ms: {}",
                step.duration_ms, step.fault
            )?;
        }
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for violation in &self.violations {
            let count = counts.entry(violation.invariant).or_default();
            *count += 1;
            if *count <= MAX_SHOWN {
                writeln!(f, "  {violation}")?;
            }
        }
        for (invariant, count) in counts {
            writeln!(f, "  {invariant}: {count} in all")?;
        }
        Ok(())
    }
}
