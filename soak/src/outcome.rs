//! What came of a run, for a reader.

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;

use super::End;
use super::Plan;
use super::Record;
use super::checks::Broken;

/// Broken promises that are shown for one name.
const SHOWN: usize = 3;

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The faults.
    pub plan: Plan,
    /// When the plan's times begin.
    pub from_ms: u64,
    /// The promises that were broken.
    pub broken: Vec<Broken>,
    /// All that was seen.
    pub record: Record,
    /// The logs of the instances.
    pub logs: Vec<PathBuf>,
}

impl Outcome {
    /// Whether all promises were kept.
    pub fn is_whole(&self) -> bool {
        self.broken.is_empty()
    }

    /// The story of the first request concerned by each promise, from the logs.
    ///
    /// `program` is the operators' program, which joins the lines.
    pub fn stories(&self, program: &Path) -> String {
        let mut told = BTreeMap::new();
        for broken in &self.broken {
            if let Some(id) = &broken.id {
                told.entry(broken.promise).or_insert(id);
            }
        }
        let mut text = String::new();
        for (promise, id) in told {
            let output = Command::new(program)
                .args(["explain", id])
                .args(&self.logs)
                .output();
            let story = match &output {
                Ok(output) => String::from_utf8_lossy(&output.stdout).into_owned(),
                Err(error) => format!("no story: {error}\n"),
            };
            text.push_str(&format!("{promise}, request {id}:\n{story}"));
        }
        text
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let requests = &self.record.requests;
        let served = requests
            .iter()
            .filter(|request| matches!(request.end, End::Answered { status: 200, .. }));
        let verdict = if self.is_whole() { "whole" } else { "BROKEN" };
        write!(
            f,
            "seed {}: {verdict}, {} faults, {} of {} requests served",
            self.plan.seed,
            self.plan.steps.len(),
            served.count(),
            requests.len(),
        )?;
        if self.is_whole() {
            return Ok(());
        }
        writeln!(f)?;
        for step in &self.plan.steps {
            let at_ms = self.from_ms + step.at_ms;
            writeln!(f, "  {at_ms} ms, for {} ms: {}", step.for_ms, step.fault)?;
        }
        let mut shown: BTreeMap<&str, usize> = BTreeMap::new();
        for broken in &self.broken {
            let count = shown.entry(broken.promise).or_default();
            *count += 1;
            if *count <= SHOWN {
                writeln!(f, "  {broken}")?;
            }
        }
        for (promise, count) in shown {
            writeln!(f, "  {promise}: {count} in all")?;
        }
        Ok(())
    }
}
