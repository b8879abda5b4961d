//! Runs every fault at every step of a command and of a note and prints the
//! results as a Markdown table, one cell per fault and step.
//!
//! Failed runs are listed below the table; they and violated invariants make the
//! program exit with a failure.
//!
//! Run: `cargo run --release -p proof --example matrix -- --seeds 3`

use argh::FromArgs;
use policy::invariant;
use policy::invariant::Invariant;
use proof::InjectionPoint;
use proof::chaos::Fault;
use proof::matrix;

/// Run each fault at each step of a command and of a note.
#[derive(FromArgs)]
struct Args {
    /// seeds per cell (default 3)
    #[argh(option, default = "3")]
    seeds: u64,
}

fn main() -> std::process::ExitCode {
    let args: Args = argh::from_env();
    let mut failures = Vec::new();
    let headings: Vec<String> = InjectionPoint::ALL
        .iter()
        .map(ToString::to_string)
        .collect();
    println!("| fault | {} |", headings.join(" | "));
    println!("|{}", " --- |".repeat(headings.len() + 1));
    for fault in Fault::ALL {
        let cells = run_fault(fault, args.seeds, &mut failures);
        println!("| {fault} | {} |", cells.join(" | "));
    }
    let violations: u64 = Invariant::ALL.into_iter().map(invariant::violations).sum();
    println!(
        "\n{} seeds a cell; violations inside the program: {violations}",
        args.seeds
    );
    for line in &failures {
        println!("{line}");
    }
    if failures.is_empty() && violations == 0 {
        std::process::ExitCode::SUCCESS
    } else {
        std::process::ExitCode::FAILURE
    }
}

/// Runs one fault at all steps, one thread per step; returns the table cells and
/// appends a line for each failed run to `failures`.
fn run_fault(fault: Fault, seeds: u64, failures: &mut Vec<String>) -> Vec<String> {
    let results: Vec<Vec<Result<(), String>>> = std::thread::scope(|scope| {
        let start = |point| {
            scope.spawn(move || {
                (0..seeds)
                    .map(|seed| matrix::run(fault, point, seed))
                    .collect()
            })
        };
        let handles: Vec<_> = InjectionPoint::ALL.into_iter().map(start).collect();
        handles
            .into_iter()
            .map(|handle| handle.join().expect("a simulation thread panicked"))
            .collect()
    });
    let mut cells = Vec::new();
    for (point, results) in InjectionPoint::ALL.iter().zip(results) {
        let failed = results.iter().filter(|result| result.is_err()).count();
        cells.push(if failed == 0 {
            "holds".to_owned()
        } else {
            format!("{failed} red")
        });
        for (seed, result) in results.into_iter().enumerate() {
            if let Err(reason) = result {
                failures.push(format!("{fault} at {point}, seed {seed}: {reason}"));
            }
        }
    }
    cells
}
