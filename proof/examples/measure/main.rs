//! Measures the decisions and writes `docs/MEASUREMENTS.md`.
//!
//! Run: `cargo run --release -p proof --example measure -- --write`

mod detection;
mod table;

use argh::FromArgs;

/// Measure the decisions.
#[derive(FromArgs)]
struct Args {
    /// seeds of each cell (default 24)
    #[argh(option, default = "24")]
    seeds: u64,
    /// part to run: detection, storm, wald, load, control (default all)
    #[argh(option)]
    only: Option<String>,
    /// write docs/MEASUREMENTS.md
    #[argh(switch)]
    write: bool,
}

fn main() {
    let args: Args = argh::from_env();
    let wanted = |part: &str| args.only.as_deref().is_none_or(|only| only == part);
    let mut text = String::new();
    if wanted("detection") {
        text += &detection::measure(args.seeds);
    }
    print!("{text}");
    if args.write {
        std::fs::write("docs/MEASUREMENTS.md", text).expect("docs can be written");
    }
}
