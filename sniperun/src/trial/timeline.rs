//! Sequence of a trial: one target fails, one leaves, the platform is down for a while,
//! and one instance is stopped as planned, all under load.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use model::Note;
use model::configuration::Class;
use model::note::Delta;
use parking_lot::Mutex;
use policy::invariant;
use policy::invariant::Invariant;
use standin::PlatformFault;

use super::environment::Endpoint;
use super::environment::Environment;
use super::load;
use super::load::LoadDestinations;
use super::load::Results;
use super::report::Report;
use super::report::RequestCount;
use crate::cli::Deployment;
use crate::cli::TryArgs;
use crate::commands::CommandError;
use crate::commands::Result;

const MIN_SECONDS: u64 = 6;
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which a leaving target must not receive new requests.
const LEAVING_GRACE: Duration = Duration::from_secs(2);

/// Runs a trial and returns its report as text.
///
/// # Errors
///
/// Returns [`CommandError`] if the trial cannot run, and [`CommandError::Trial`] if a
/// guarantee was violated.
pub async fn run(args: &TryArgs) -> Result<String> {
    let seconds = args.seconds.max(MIN_SECONDS);
    let fraction_of_run = |share: f64| Duration::from_secs_f64(seconds as f64 * share);
    let started = Instant::now();
    let mut environment = Environment::start(args.deployment).await?;
    let note_ms = started.elapsed().as_millis() as u64;
    let destinations = choose_destinations(&environment)?;
    let live_service = destinations.live.service.clone();
    let results = Results::new();
    let destinations = Arc::new(destinations);
    let load_task = tokio::spawn(load::run(destinations.clone(), results.clone(), args.seed));

    tokio::time::sleep(fraction_of_run(0.25)).await;
    let detection = fail_target(&environment, &live_service, fraction_of_run(0.25)).await;
    let leaving = environment.target_index(&live_service, 1);
    mark_target_leaving(&environment, leaving).await?;
    tokio::time::sleep(LEAVING_GRACE).await;
    let requests_before = count_requests_received(&environment, leaving);
    environment.platform.memory.set_fault(PlatformFault {
        away: true,
        ..PlatformFault::default()
    });
    tokio::time::sleep(fraction_of_run(0.2)).await;
    environment
        .platform
        .memory
        .set_fault(PlatformFault::default());
    let remaining = fraction_of_run(1.0).saturating_sub(started.elapsed());
    tokio::time::sleep(remaining).await;
    let late_requests = count_requests_received(&environment, leaving) - requests_before;

    let cut_before = count_cut_requests(&results);
    if let Some(stopping) = environment.apps.pop() {
        destinations.remove_instance(stopping.member().caller_address);
        stopping.drain().await;
    }
    results.running.store(false, Ordering::Relaxed);
    let _ = load_task.await;
    let cut_by_stop = count_cut_requests(&results) - cut_before;

    let failing = environment.target_index(&live_service, 0);
    let false_ejections = count_false_ejections(&environment, failing);
    let (commands, run_twice, false_not_run) = count_commands(&environment, &results);
    let (added_p50_us, added_p99_us) = added_time_us(&results);
    let report = Report {
        deployment: deployment_name(args.deployment).to_owned(),
        seed: args.seed,
        seconds,
        requests: count_requests(&results),
        added_p50_us,
        added_p99_us,
        detection_ms: detection.map(|time| time.as_millis() as u64),
        note_ms,
        late_work_of_leaving: late_requests,
        false_ejections,
        commands,
        commands_run_twice: run_twice,
        untrue_not_run: false_not_run,
        mixed_up: results.invalid_responses.load(Ordering::Relaxed),
        cut_by_stop,
        violations: Invariant::ALL.into_iter().map(invariant::violations).sum(),
    };
    render_report(&report, args.json)
}

fn render_report(report: &Report, json: bool) -> Result<String> {
    let text = if json {
        serde_json::to_string_pretty(report).unwrap_or_default() + "\n"
    } else {
        report.to_table()
    };
    let violated = report.violated_guarantees();
    if violated.is_empty() {
        return Ok(text);
    }
    print!("{text}");
    Err(CommandError::Trial(format!(
        "guarantees violated: {}",
        violated.join("; ")
    )))
}

fn choose_destinations(environment: &Environment) -> Result<LoadDestinations> {
    let first = |class: Class| -> Result<Endpoint> {
        let endpoints = environment.endpoints(class);
        let endpoint = endpoints.into_iter().next();
        endpoint.ok_or_else(|| {
            CommandError::Trial(format!(
                "the note has no service of class {}",
                class.as_str()
            ))
        })
    };
    let live = first(Class::Live)?;
    let direct = environment.target_index(&live.service, 2);
    Ok(LoadDestinations {
        instances: Mutex::new(
            environment
                .apps
                .iter()
                .map(|app| app.member().caller_address)
                .collect(),
        ),
        direct_address: environment.backends[direct].address(),
        command: first(Class::Command)?,
        export: first(Class::Export)?,
        export_bytes: super::environment::EXPORT_BYTES,
        live,
    })
}

/// Makes a target fail most of its requests and waits for `limit`; returns the time until
/// it was out of rotation at all instances, or `None` if that did not happen.
async fn fail_target(
    environment: &Environment,
    service: &str,
    limit: Duration,
) -> Option<Duration> {
    let failing = environment.target_index(service, 0);
    let name = environment.note.targets.add[failing].name.clone();
    environment.backends[failing].update_script(|script| script.failing_share = 0.8);
    let started = Instant::now();
    let mut detection = None;
    while started.elapsed() < limit {
        if detection.is_none() && environment.is_out_of_rotation(service, &name) {
            detection = Some(started.elapsed());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    detection
}

async fn mark_target_leaving(environment: &Environment, leaving: usize) -> Result<()> {
    let mut target = environment.note.targets.add[leaving].clone();
    target.leaving = true;
    let note = Note {
        title: "A target leaves".into(),
        submission: "trial-2".into(),
        targets: Delta {
            change: vec![target],
            ..Delta::default()
        },
        ..Note::default()
    };
    let submitted = environment.store.submit(&note).await?;
    environment.wait_for_note(submitted.number).await?;
    Ok(())
}

fn count_requests_received(environment: &Environment, target: usize) -> u64 {
    environment.backends[target]
        .counts()
        .requests
        .load(Ordering::Relaxed)
}

fn count_cut_requests(results: &Results) -> u64 {
    let outcomes = results.outcomes.lock();
    outcomes
        .iter()
        .filter(|((_, outcome), _)| outcome == "cut")
        .map(|(_, count)| count)
        .sum()
}

/// Counts the healthy targets that an instance has ejected at the end of the trial.
fn count_false_ejections(environment: &Environment, failing: usize) -> u64 {
    let failing = &environment.note.targets.add[failing].name;
    let healthy = environment
        .note
        .targets
        .add
        .iter()
        .filter(|target| target.name != *failing);
    let ejected = healthy.filter(|target| environment.is_ejected(&target.service, &target.name));
    ejected.count() as u64
}

/// Returns the number of commands, of those that ran more than once, and of those that
/// ran although the last outcome that the caller received was `not-run`.
fn count_commands(environment: &Environment, results: &Arc<Results>) -> (u64, u64, u64) {
    let mut runs = std::collections::HashMap::new();
    for backend in &environment.backends {
        for (id, count) in backend.counts().commands.lock().iter() {
            *runs.entry(id.clone()).or_insert(0u32) += count;
        }
    }
    let run_twice = runs.values().filter(|count| **count > 1).count() as u64;
    let commands = results.commands.lock();
    let false_not_run = commands
        .iter()
        .filter(|(id, outcome)| outcome == "not-run" && runs.contains_key(id))
        .count() as u64;
    (commands.len() as u64, run_twice, false_not_run)
}

/// Returns the time that an instance adds at the median and at the 99th percentile: the
/// difference of these quantiles between probes through an instance and direct probes.
fn added_time_us(results: &Results) -> (i64, i64) {
    let proxied = results.proxied_us.lock();
    let direct = results.direct_us.lock();
    let at = |quantile: f64| {
        proxied.value_at_quantile(quantile) as i64 - direct.value_at_quantile(quantile) as i64
    };
    (at(0.5), at(0.99))
}

fn count_requests(results: &Results) -> Vec<RequestCount> {
    let outcomes = results.outcomes.lock();
    let rows = outcomes
        .iter()
        .map(|((service, outcome), count)| RequestCount {
            service: service.to_string(),
            outcome: outcome.clone(),
            count: *count,
        });
    rows.collect()
}

fn deployment_name(deployment: Deployment) -> &'static str {
    match deployment {
        Deployment::Rodopi => "rodopi",
        Deployment::Kinderhut => "kinderhut",
    }
}
