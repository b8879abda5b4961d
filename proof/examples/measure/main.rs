//! Measures the decisions and writes `docs/MEASUREMENTS.md`.
//!
//! Run: `cargo run --release -p proof --example measure -- --write`

mod control;
mod detection;
mod false_ejections;
mod load;
mod storm;
mod table;
mod wald;

use argh::FromArgs;

/// Measure the decisions.
#[derive(FromArgs)]
struct Args {
    /// seeds of each cell (default 24)
    #[argh(option, default = "24")]
    seeds: u64,
    /// part to run: detection, storm, false, wald, load, control (default all)
    #[argh(option)]
    only: Option<String>,
    /// write docs/MEASUREMENTS.md
    #[argh(switch)]
    write: bool,
}

const PAGE: &str = "docs/MEASUREMENTS.md";
/// Where the part of the page that no program writes begins.
const BY_HAND: &str = "## On the users' platform";
const HEAD: &str = "# Measurements

Written by `cargo run --release -p proof --example measure -- --write`, which
drives the decisions of 36 instances with their own clock, links and targets:
seeds 0 to SEEDS - 1 in each cell, 60 s watched after 20 s of warm-up unless a
table says otherwise. Latencies of targets are exponential with a mean of 25 ms
(exports 400 ms). Times of the whole path through real processes are at the end
of `docs/CAPACITY.md`.

Modes: `RoundRobin` is the first baseline (each instance alone, five failures in
a row eject), `Alone` the decisions without shared evidence, `Shared` the
decisions as they are.
";

fn main() {
    let args: Args = argh::from_env();
    let wanted = |part: &str| args.only.as_deref().is_none_or(|only| only == part);
    let mut text = HEAD.replace("SEEDS", &args.seeds.to_string());
    if wanted("detection") {
        text += &detection::measure(args.seeds);
    }
    if wanted("storm") {
        text += &storm::measure(args.seeds);
    }
    if wanted("false") {
        text += &false_ejections::measure();
    }
    if wanted("wald") {
        text += &wald::measure();
    }
    if wanted("load") {
        text += &load::measure();
    }
    if wanted("control") {
        text += &control::measure();
    }
    if args.write {
        let written = std::fs::read_to_string(PAGE).expect("the page can be read");
        if let Some(at) = written.find(BY_HAND) {
            text.push('\n');
            text.push_str(&written[at..]);
        }
        std::fs::write(PAGE, text).expect("docs can be written");
    } else {
        print!("{text}");
    }
}
