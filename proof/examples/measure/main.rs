//! Measures the health and load decisions in simulation and writes
//! `docs/MEASUREMENTS.md`.
//!
//! Each module measures one part of the page and returns it as a Markdown table.
//!
//! Run: `cargo run --release -p proof --example measure -- --write`

mod balancing;
mod control;
mod detection;
mod false_ejections;
mod load;
mod storm;
mod table;
mod wald;

use argh::FromArgs;

/// Measure the health and load decisions.
#[derive(FromArgs)]
struct Args {
    /// seeds per table row of detection and storm (default 24)
    #[argh(option, default = "24")]
    seeds: u64,
    /// part to run: detection, storm, false, wald, load, control, balancing, balancing-large (default
    /// all)
    #[argh(option)]
    only: Option<String>,
    /// write docs/MEASUREMENTS.md
    #[argh(switch)]
    write: bool,
}

const PAGE_PATH: &str = "docs/MEASUREMENTS.md";
/// Heading at which the manually written rest of the page begins; `--write` preserves it.
const MANUAL_SECTION: &str = "## On the users' platform";
const INTRODUCTION: &str = "# Measurements

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
    let is_selected = |part: &str| args.only.as_deref().is_none_or(|only| only == part);
    let mut page = INTRODUCTION.replace("SEEDS", &args.seeds.to_string());
    if is_selected("detection") {
        page += &detection::measure(args.seeds);
    }
    if is_selected("storm") {
        page += &storm::measure(args.seeds);
    }
    if is_selected("false") {
        page += &false_ejections::measure();
    }
    if is_selected("wald") {
        page += &wald::measure();
    }
    if is_selected("load") {
        page += &load::measure();
    }
    if is_selected("control") {
        page += &control::measure();
    }
    if is_selected("balancing") {
        page += &balancing::measure();
    }
    if is_selected("balancing-large") {
        page += &balancing::measure_large();
    }
    if args.write {
        let previous_page =
            std::fs::read_to_string(PAGE_PATH).expect("cannot read docs/MEASUREMENTS.md");
        if let Some(at) = previous_page.find(MANUAL_SECTION) {
            page.push('\n');
            page.push_str(&previous_page[at..]);
        }
        std::fs::write(PAGE_PATH, page).expect("cannot write docs/MEASUREMENTS.md");
    } else {
        print!("{page}");
    }
}
