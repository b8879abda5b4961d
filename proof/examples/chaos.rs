//! Runs random plans of faults for many seeds.
//!
//! Run each night: `cargo run --release -p proof --example chaos -- --seeds 10000`

use std::process::ExitCode;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use argh::FromArgs;
use policy::invariant;
use policy::invariant::Invariant;
use proof::chaos;

/// Run random plans of faults.
#[derive(FromArgs)]
struct Args {
    /// number of seeds (default 1000)
    #[argh(option, default = "1000")]
    seeds: u64,
    /// first seed (default 0); the same seed gives the same run
    #[argh(option, default = "0")]
    first: u64,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let next = AtomicU64::new(args.first);
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let broken: Vec<String> = std::thread::scope(|scope| {
        let work = || {
            let mut broken = Vec::new();
            loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= args.first + args.seeds {
                    return broken;
                }
                let plan = chaos::random_plan(seed);
                if let Err(reason) = chaos::run(seed, &plan) {
                    broken.push(format!("seed {seed}: {reason}; plan {plan:?}"));
                }
            }
        };
        let handles: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
        handles
            .into_iter()
            .flat_map(|handle| handle.join().expect("a run ends"))
            .collect()
    });
    let violations: u64 = Invariant::ALL.into_iter().map(invariant::violations).sum();
    for line in &broken {
        println!("{line}");
    }
    println!(
        "{} seeds, {} red, {violations} violations inside the program",
        args.seeds,
        broken.len()
    );
    if broken.is_empty() && violations == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
