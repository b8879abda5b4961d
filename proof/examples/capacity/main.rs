//! Measures the cost per object, message and operation (the slopes) and writes them,
//! together with the part of `docs/CAPACITY.md` that is computed from them.
//!
//! Run: `cargo run --release -p proof --example capacity -- --write`
//!
//! With `--keys`, it measures customers with keys instead.

mod allocations;
mod customer_keys;
mod full_size;
mod slopes;

use argh::FromArgs;
use proof::capacity;

/// Measure the costs per object and operation behind docs/CAPACITY.md.
#[derive(FromArgs)]
struct Args {
    /// write docs/capacity-slopes.json and docs/CAPACITY.md
    #[argh(switch)]
    write: bool,
    /// measure only customers with keys, and write nothing
    #[argh(switch)]
    keys: bool,
}

const BEGIN_MARKER: &str = "<!-- worked out: begin -->";
const END_MARKER: &str = "<!-- worked out: end -->";

fn main() {
    let args: Args = argh::from_env();
    if args.keys {
        print!("{}", customer_keys::measure());
        return;
    }
    let slopes = slopes::measure();
    let json = serde_json::to_string_pretty(&slopes).expect("cannot serialize the slopes") + "\n";
    print!("{json}\n{}", capacity::render(&slopes));
    if !args.write {
        return;
    }
    std::fs::write("docs/capacity-slopes.json", json)
        .expect("cannot write docs/capacity-slopes.json");
    let page = std::fs::read_to_string("docs/CAPACITY.md").expect("cannot read docs/CAPACITY.md");
    let (head, rest) = page
        .split_once(BEGIN_MARKER)
        .expect("docs/CAPACITY.md has no begin marker");
    let (_, tail) = rest
        .split_once(END_MARKER)
        .expect("docs/CAPACITY.md has no end marker");
    let page = format!(
        "{head}{BEGIN_MARKER}\n\n{}\n{END_MARKER}{tail}",
        capacity::render(&slopes)
    );
    std::fs::write("docs/CAPACITY.md", page).expect("cannot write docs/CAPACITY.md");
}
