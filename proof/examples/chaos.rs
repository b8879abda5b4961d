//! Runs randomly generated fault plans, one per seed, on all processors.
//!
//! Prints the seed and plan of each failed run; failed runs and violated
//! invariants make the program exit with a failure.
//!
//! Run nightly: `cargo run --release -p proof --example chaos -- --seeds 10000`

use std::process::ExitCode;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use argh::FromArgs;
use policy::invariant;
use policy::invariant::Invariant;
use proof::chaos;

/// Run random fault plans.
#[derive(FromArgs)]
struct Args {
    /// number of seeds (default 1000)
    #[argh(option, default = "1000")]
    seeds: u64,
    /// first seed (default 0); a seed always gives the same run
    #[argh(option, default = "0")]
    first: u64,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let next_seed = AtomicU64::new(args.first);
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let failures: Vec<String> = std::thread::scope(|scope| {
        let worker = || {
            let mut failures = Vec::new();
            loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed >= args.first + args.seeds {
                    return failures;
                }
                let plan = chaos::random_plan(seed);
                if let Err(reason) = chaos::run(seed, &plan) {
                    failures.push(format!("seed {seed}: {reason}; plan {plan:?}"));
                }
            }
        };
        let handles: Vec<_> = (0..threads).map(|_| scope.spawn(worker)).collect();
        handles
            .into_iter()
            .flat_map(|handle| handle.join().expect("a simulation thread panicked"))
            .collect()
    });
    let violations: u64 = Invariant::ALL.into_iter().map(invariant::violations).sum();
    for line in &failures {
        println!("{line}");
    }
    println!(
        "{} seeds: {} runs failed, {violations} invariant violations",
        args.seeds,
        failures.len()
    );
    if failures.is_empty() && violations == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
