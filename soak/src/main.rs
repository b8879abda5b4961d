//! Command line of the soak test.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use futures::StreamExt;
use soak::Size;

/// Seeds that failed in the past, each with its cause.
const REGRESSIONS: &str = include_str!("../regressions.txt");
const EXIT_VIOLATED: u8 = 1;
const EXIT_FAILED: u8 = 2;

/// Runs real instances under random faults and checks what callers and targets observe.
///
/// Example: cargo run --release -p soak -- --seed 1 --seeds 50
#[derive(FromArgs)]
struct Args {
    /// first seed to run (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// number of consecutive seeds to run (default 1)
    #[argh(option, default = "1")]
    seeds: u64,
    /// run random seeds for this many minutes instead
    #[argh(option)]
    minutes: Option<u64>,
    /// run the seeds that failed in the past instead
    #[argh(switch)]
    regress: bool,
    /// concurrent runs (default 1)
    #[argh(option, default = "1")]
    jobs: usize,
    /// instances (default 4, at most 200)
    #[argh(option, default = "4")]
    instances: usize,
    /// targets of each of the two services (default 5)
    #[argh(option, default = "5")]
    targets: usize,
    /// callers (default 16)
    #[argh(option, default = "16")]
    callers: u64,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    if !(1..=200).contains(&args.instances) || args.targets == 0 {
        eprintln!("soak: expected 1 to 200 instances and at least 1 target");
        return ExitCode::from(EXIT_FAILED);
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error.to_string()),
    };
    runtime.block_on(run_seeds(&args))
}

fn fail(reason: &str) -> ExitCode {
    eprintln!("soak: {reason}");
    ExitCode::from(EXIT_FAILED)
}

/// Runs all requested seeds and prints a summary.
async fn run_seeds(args: &Args) -> ExitCode {
    let programs = match programs() {
        Ok(programs) => programs,
        Err(error) => return fail(&error.to_string()),
    };
    let until = args
        .minutes
        .map(|minutes| Instant::now() + Duration::from_secs(60 * minutes));
    let seeds = seeds(args).take_while(|_| until.is_none_or(|until| Instant::now() < until));
    let runs = futures::stream::iter(seeds).map(|seed| run_seed(seed, args, &programs));
    let mut runs = runs.buffer_unordered(args.jobs);
    let (mut passed, mut violated, mut failed) = (0, 0, 0);
    while let Some(run) = runs.next().await {
        match run {
            Ok(true) => passed += 1,
            Ok(false) => violated += 1,
            Err(error) => {
                eprintln!("soak: {error}");
                failed += 1;
            }
        }
    }
    println!("{passed} whole, {violated} broken, {failed} not played");
    match (violated, failed) {
        (0, 0) => ExitCode::SUCCESS,
        (0, _) => ExitCode::from(EXIT_FAILED),
        _ => ExitCode::from(EXIT_VIOLATED),
    }
}

fn seeds(args: &Args) -> Box<dyn Iterator<Item = u64>> {
    if args.regress {
        let lines = REGRESSIONS.lines().filter(|line| !line.starts_with('#'));
        return Box::new(lines.filter_map(|line| line.split('|').next()?.trim().parse().ok()));
    }
    if args.minutes.is_some() {
        return Box::new(std::iter::repeat_with(|| u64::from(rand::random::<u32>())));
    }
    Box::new(args.seed..args.seed + args.seeds)
}

/// Runs one seed and returns whether all invariants held. Logs are deleted only if they did.
async fn run_seed(seed: u64, args: &Args, programs: &Programs) -> std::io::Result<bool> {
    let folder = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let size = Size {
        instances: args.instances,
        targets_per_service: args.targets,
        callers: args.callers,
    };
    let outcome = soak::run(seed, size, &programs.instance, &folder).await?;
    println!("{outcome}");
    if outcome.has_passed() {
        std::fs::remove_dir_all(&folder)?;
    } else {
        println!(
            "{}logs: {}",
            outcome.explain_violations(&programs.operator_cli),
            folder.display()
        );
    }
    Ok(outcome.has_passed())
}

/// Paths of the binaries in the directory of this executable.
struct Programs {
    instance: PathBuf,
    operator_cli: PathBuf,
}

fn programs() -> std::io::Result<Programs> {
    let own = std::env::current_exe()?;
    let directory = own.parent().unwrap_or(Path::new("."));
    let programs = Programs {
        instance: directory.join("sniperund"),
        operator_cli: directory.join("sniperun"),
    };
    for program in [&programs.instance, &programs.operator_cli] {
        if !program.exists() {
            let reason = format!(
                "{} is not built: cargo build --workspace",
                program.display()
            );
            return Err(std::io::Error::new(std::io::ErrorKind::NotFound, reason));
        }
    }
    Ok(programs)
}
