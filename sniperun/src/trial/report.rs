//! Report of a trial.

use std::fmt::Write;

use serde::Serialize;

/// Results of a trial. The names of the fields are the names of the JSON output.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the deployment.
    pub deployment: String,
    /// Seed of the load.
    pub seed: u64,
    /// Duration of the load, in seconds.
    pub seconds: u64,
    /// Number of requests by service and by the outcome that the caller received.
    pub requests: Vec<RequestCount>,
    /// Time that an instance adds to a request at the median, in microseconds.
    pub added_p50_us: i64,
    /// Time that an instance adds to a request at the 99th percentile, in microseconds.
    pub added_p99_us: i64,
    /// Time from the failure of a target until it was out of rotation at all instances, in
    /// milliseconds; `None` if that did not happen.
    pub detection_ms: Option<u64>,
    /// Time from the start of the trial until the first note was in force at all
    /// instances, in milliseconds.
    pub note_ms: u64,
    /// Requests that the leaving target received later than two seconds after the note that
    /// marks it as leaving was in force.
    pub late_work_of_leaving: u64,
    /// Healthy targets that were ejected at the end of the trial.
    pub false_ejections: u64,
    /// Commands sent.
    pub commands: u64,
    /// Commands that ran more than once.
    pub commands_run_twice: u64,
    /// Commands that ran although the last outcome that the caller received was `not-run`.
    pub untrue_not_run: u64,
    /// Responses that were incomplete or belonged to another request.
    pub mixed_up: u64,
    /// Requests whose response was cut by the planned stop of an instance.
    pub cut_by_stop: u64,
    /// Violations of invariants that the instances detected in their own code.
    pub violations: u64,
}

/// Number of requests of a service with the same outcome.
#[derive(Clone, Debug, Serialize)]
pub struct RequestCount {
    /// Name of the service.
    pub service: String,
    /// Outcome that the callers received; `cut` if the response was not received completely.
    pub outcome: String,
    /// Number of requests.
    pub count: u64,
}

impl Report {
    /// Descriptions of the guarantees that the trial found violated.
    pub fn violated_guarantees(&self) -> Vec<&'static str> {
        let guarantees = [
            ("a command ran twice", self.commands_run_twice),
            (
                "a command ran although its caller received not-run",
                self.untrue_not_run,
            ),
            (
                "an answer was incomplete or belonged to another request",
                self.mixed_up,
            ),
            (
                "a leaving target received new requests after two seconds",
                self.late_work_of_leaving,
            ),
            ("a planned stop cut a request", self.cut_by_stop),
            ("an invariant was violated", self.violations),
        ];
        let violated = guarantees.into_iter().filter(|(_, count)| *count > 0);
        violated.map(|(name, _)| name).collect()
    }

    /// Formats the report as a table.
    pub fn to_table(&self) -> String {
        let mut text = format!(
            "{}, {} s, seed {}\n\n",
            self.deployment, self.seconds, self.seed
        );
        for requests in &self.requests {
            let _ = writeln!(
                text,
                "  {:<14} {:<10} {:>8}",
                requests.service, requests.outcome, requests.count
            );
        }
        let detection = self
            .detection_ms
            .map_or("not detected".to_owned(), |time_ms| format!("{time_ms} ms"));
        let rows = [
            (
                "time added by the instance, p50",
                format!("{} us", self.added_p50_us),
            ),
            (
                "time added by the instance, p99",
                format!("{} us", self.added_p99_us),
            ),
            ("detection of the failing target", detection),
            ("note in force everywhere", format!("{} ms", self.note_ms)),
            ("false ejections", self.false_ejections.to_string()),
            ("commands", self.commands.to_string()),
            ("commands run twice", self.commands_run_twice.to_string()),
            ("false not-run outcomes", self.untrue_not_run.to_string()),
            (
                "incomplete or mismatched answers",
                self.mixed_up.to_string(),
            ),
            (
                "late requests to leaving target",
                self.late_work_of_leaving.to_string(),
            ),
            (
                "requests cut by the planned stop",
                self.cut_by_stop.to_string(),
            ),
            ("invariants violated", self.violations.to_string()),
        ];
        text.push('\n');
        for (name, value) in rows {
            let _ = writeln!(text, "  {name:<34} {value:>14}");
        }
        text
    }
}
