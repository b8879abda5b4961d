//! Requests that reach targets which have said in their responses that they leave.

use crate::fleet::SECOND_US;
use crate::overload::env_number;
use crate::overload_simulation::LeavingArrival;
use crate::overload_simulation::OverloadSimulation;
use crate::overload_simulation::Scenario;

/// Random scenarios simulated in CI; `DEPARTURE_DAYS` sets another number, `DEPARTURE_FROM` the
/// first seed.
const DEFAULT_SCENARIOS: u64 = 60;
/// The users' `drain`: time for which an instance may still send requests to a target that has
/// told it that it leaves.
const DRAIN_US: u64 = 2 * SECOND_US;

/// Requests that callers sent later than the bound allows.
fn late_arrivals(seed: u64) -> Vec<LeavingArrival> {
    let scenario = Scenario::random_with_departures(seed);
    let result = OverloadSimulation::new(seed, scenario).run();
    let arrivals = result.leaving_arrivals.into_iter();
    arrivals
        .filter(|arrival| !arrival.is_excused && arrival.sent_us > arrival.told_us + DRAIN_US)
        .collect()
}

fn describe((seed, late): &(u64, Vec<LeavingArrival>)) -> String {
    let first = late[0];
    format!(
        "seed {seed}: {} late, the first at {} us from instance {} at target {}, {} us after it was told",
        late.len(),
        first.at_us,
        first.node,
        first.target,
        first.at_us - first.told_us
    )
}

#[test]
fn targets_that_say_they_leave_get_no_late_requests() {
    let (first, count) = (
        env_number("DEPARTURE_FROM", 0),
        env_number("DEPARTURE_DAYS", DEFAULT_SCENARIOS),
    );
    let next = std::sync::atomic::AtomicU64::new(first);
    let simulate_scenarios = || {
        let mut broken = Vec::new();
        loop {
            let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            if seed >= first + count {
                return broken;
            }
            let late = late_arrivals(seed);
            if !late.is_empty() {
                broken.push((seed, late));
            }
        }
    };
    let mut broken: Vec<(u64, Vec<LeavingArrival>)> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4).map(|_| scope.spawn(simulate_scenarios)).collect();
        let ended = threads.into_iter().map(|thread| thread.join());
        ended
            .flat_map(|broken| broken.expect("a simulation thread panicked"))
            .collect()
    });
    broken.sort_by_key(|(seed, _)| *seed);
    let late: usize = broken.iter().map(|(_, late)| late.len()).sum();
    println!(
        "scenarios with late requests: {} of {count}, {late} requests",
        broken.len()
    );
    let first: Vec<String> = broken.iter().take(8).map(describe).collect();
    assert!(broken.is_empty(), "{}", first.join("; "));
}
