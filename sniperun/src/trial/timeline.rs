//! The course of a trial.

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

use super::load;
use super::load::Aims;
use super::load::Results;
use super::report::Report;
use super::report::Requests;
use super::scene::Offer;
use super::scene::Scene;
use crate::cli::Deployment;
use crate::cli::TryArgs;
use crate::commands::CommandError;
use crate::commands::Result;

const MIN_SECONDS: u64 = 6;
const LOOK_PERIOD: Duration = Duration::from_millis(5);
const LEAVING_GRACE: Duration = Duration::from_secs(2);

/// Runs a trial and returns its report as text.
///
/// # Errors
///
/// Returns [`CommandError::Trial`] if a promise was broken.
pub async fn run(args: &TryArgs) -> Result<String> {
    let seconds = args.seconds.max(MIN_SECONDS);
    let part = |share: f64| Duration::from_secs_f64(seconds as f64 * share);
    let began = Instant::now();
    let mut scene = Scene::start(args.deployment).await?;
    let note_ms = began.elapsed().as_millis() as u64;
    let aims = aims(&scene)?;
    let live = aims.live.service.clone();
    let results = Results::new();
    let aims = Arc::new(aims);
    let loading = tokio::spawn(load::run(aims.clone(), results.clone(), args.seed));

    tokio::time::sleep(part(0.25)).await;
    let detection = fail_one(&scene, &live, part(0.25)).await;
    let leaving = scene.target_of(&live, 1);
    submit_leaving(&scene, leaving).await?;
    tokio::time::sleep(LEAVING_GRACE).await;
    let before_late = requests_of(&scene, leaving);
    scene.platform.memory.set_fault(PlatformFault {
        away: true,
        ..PlatformFault::default()
    });
    tokio::time::sleep(part(0.2)).await;
    scene.platform.memory.set_fault(PlatformFault::default());
    let left = part(1.0).saturating_sub(began.elapsed());
    tokio::time::sleep(left).await;
    let late_work = requests_of(&scene, leaving) - before_late;

    let cuts_before = cuts(&results);
    if let Some(stopping) = scene.apps.pop() {
        aims.take_out(stopping.member().caller_address);
        stopping.drain().await;
    }
    results.running.store(false, Ordering::Relaxed);
    let _ = loading.await;
    let cut_by_stop = cuts(&results) - cuts_before;

    let failing = scene.target_of(&live, 0);
    let false_ejections = false_ejections(&scene, failing);
    let (commands, twice, untrue) = commands(&scene, &results);
    let (added_p50_us, added_p99_us) = added(&results);
    let report = Report {
        deployment: name_of(args.deployment).to_owned(),
        seed: args.seed,
        seconds,
        requests: requests(&results),
        added_p50_us,
        added_p99_us,
        detection_ms: detection.map(|time| time.as_millis() as u64),
        note_ms,
        late_work_of_leaving: late_work,
        false_ejections,
        commands,
        commands_run_twice: twice,
        untrue_not_run: untrue,
        mixed_up: results.mixed_up.load(Ordering::Relaxed),
        cut_by_stop,
        violations: Invariant::ALL.into_iter().map(invariant::violations).sum(),
    };
    finish(&report, args.json)
}

fn finish(report: &Report, json: bool) -> Result<String> {
    let text = if json {
        serde_json::to_string_pretty(report).unwrap_or_default() + "\n"
    } else {
        report.table()
    };
    let broken = report.broken();
    if broken.is_empty() {
        return Ok(text);
    }
    print!("{text}");
    Err(CommandError::Trial(format!(
        "promises broken: {}",
        broken.join("; ")
    )))
}

fn aims(scene: &Scene) -> Result<Aims> {
    let first = |class: Class| -> Result<Offer> {
        let offers = scene.offers(class);
        let offer = offers.into_iter().next();
        offer.ok_or_else(|| {
            CommandError::Trial(format!(
                "the note has no service of class {}",
                class.as_str()
            ))
        })
    };
    let live = first(Class::Live)?;
    let quick = scene.target_of(&live.service, 2);
    Ok(Aims {
        instances: Mutex::new(
            scene
                .apps
                .iter()
                .map(|app| app.member().caller_address)
                .collect(),
        ),
        quick_target: scene.backends[quick].address(),
        command: first(Class::Command)?,
        export: first(Class::Export)?,
        export_bytes: super::scene::EXPORT_BYTES,
        live,
    })
}

/// Lets a target fail most of its work; returns the time until no instance uses it.
async fn fail_one(scene: &Scene, service: &str, limit: Duration) -> Option<Duration> {
    let failing = scene.target_of(service, 0);
    let name = scene.note.targets.add[failing].name.clone();
    scene.backends[failing].update_script(|script| script.failing_share = 0.8);
    let began = Instant::now();
    let mut detection = None;
    while began.elapsed() < limit {
        if detection.is_none() && scene.is_avoided(service, &name) {
            detection = Some(began.elapsed());
        }
        tokio::time::sleep(LOOK_PERIOD).await;
    }
    detection
}

async fn submit_leaving(scene: &Scene, leaving: usize) -> Result<()> {
    let mut target = scene.note.targets.add[leaving].clone();
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
    let submitted = scene.store.submit(&note).await?;
    scene.wait_for_note(submitted.number).await?;
    Ok(())
}

fn requests_of(scene: &Scene, target: usize) -> u64 {
    scene.backends[target]
        .counts()
        .requests
        .load(Ordering::Relaxed)
}

fn cuts(results: &Results) -> u64 {
    let told = results.told.lock();
    told.iter()
        .filter(|((_, outcome), _)| outcome == "cut")
        .map(|(_, count)| count)
        .sum()
}

/// Healthy targets that some instance holds ejected at the end.
fn false_ejections(scene: &Scene, failing: usize) -> u64 {
    let failing = &scene.note.targets.add[failing].name;
    let healthy = scene
        .note
        .targets
        .add
        .iter()
        .filter(|target| target.name != *failing);
    let out = healthy.filter(|target| scene.is_ejected(&target.service, &target.name));
    out.count() as u64
}

fn commands(scene: &Scene, results: &Arc<Results>) -> (u64, u64, u64) {
    let mut runs = std::collections::HashMap::new();
    for backend in &scene.backends {
        for (id, count) in backend.counts().commands.lock().iter() {
            *runs.entry(id.clone()).or_insert(0u32) += count;
        }
    }
    let twice = runs.values().filter(|count| **count > 1).count() as u64;
    let commands = results.commands.lock();
    let untrue = commands
        .iter()
        .filter(|(id, told)| told == "not-run" && runs.contains_key(id))
        .count() as u64;
    (commands.len() as u64, twice, untrue)
}

fn added(results: &Results) -> (i64, i64) {
    let through = results.through_us.lock();
    let direct = results.direct_us.lock();
    let at = |quantile: f64| {
        through.value_at_quantile(quantile) as i64 - direct.value_at_quantile(quantile) as i64
    };
    (at(0.5), at(0.99))
}

fn requests(results: &Results) -> Vec<Requests> {
    let told = results.told.lock();
    let rows = told.iter().map(|((service, outcome), count)| Requests {
        service: service.to_string(),
        outcome: outcome.clone(),
        count: *count,
    });
    rows.collect()
}

fn name_of(deployment: Deployment) -> &'static str {
    match deployment {
        Deployment::Rodopi => "rodopi",
        Deployment::Kinderhut => "kinderhut",
    }
}
