//! `docs/CAPACITY.md` agrees with the measured slopes, and control stays within its limits.

use proof::capacity;
use proof::capacity::Slopes;
use proof::capacity::planned;

const SLOPES: &str = include_str!("../../docs/capacity-slopes.json");
const PAGE: &str = include_str!("../../docs/CAPACITY.md");

fn slopes() -> Slopes {
    serde_json::from_str(SLOPES).expect("docs/capacity-slopes.json has the fields of `Slopes`")
}

#[test]
fn the_page_matches_the_slopes() {
    assert!(
        PAGE.contains(&capacity::render(&slopes())),
        "docs/CAPACITY.md is out of date; run the capacity example with --write"
    );
}

#[test]
fn control_stays_within_the_limits_of_a_node() {
    let slopes = slopes();
    assert!(capacity::sum(&capacity::memory(&slopes), "MB") * 1e6 <= planned::MEMORY_BYTES);
    assert!(
        capacity::sum(&capacity::processor(&slopes), "ppm of a core") <= planned::CORE_SHARE * 1e6
    );
    assert!(capacity::sum(&capacity::bytes(&slopes), "B/s") <= planned::BYTES_PER_S);
}

#[test]
fn route_lookup_time_grows_little_with_the_number_of_routes() {
    let slopes = slopes();
    assert!(slopes.route_lookup_ns <= 2.0 * slopes.route_lookup_small_ns);
}
