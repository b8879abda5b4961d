//! What callers get while a service lacks capacity, by kind of request and by customer, against an
//! oracle: each kind and each customer bursts in turn, and targets refuse half of everything.

mod oracle;
mod simulation;
#[path = "../support/mod.rs"]
mod support;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use simulation::Call;
use simulation::MS_US;
use simulation::Results;
use simulation::SECOND_US;
use simulation::Simulation;
use simulation::Trace;

const KINDS: usize = 4;
const OBJECTIVES_MS: [u64; KINDS] = [1_000, 1_200, 1_300, 1_500];
/// Shares of the customers in the usual load.
const CUSTOMERS: [f64; 10] = [0.28, 0.2, 0.14, 0.1, 0.08, 0.07, 0.05, 0.04, 0.02, 0.02];
/// Usual load per second; the targets serve 300.
const USUAL_PER_S: f64 = 240.0;
const DURATION_US: u64 = 14 * SECOND_US;
const BURST_US: (u64, u64) = (4 * SECOND_US, 10 * SECOND_US);
const KIND_BURST: f64 = 2.4;
const CUSTOMER_BURST: f64 = 7.5;
/// A less urgent kind may be served by this much more than a more urgent one.
const ORDER_TOLERANCE: f64 = 0.05;
/// Least share of what all get that a kind or a customer gets.
const MIN_SHARE: f64 = 0.25;

/// Who sends more than usual.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Burst {
    None,
    Kind(usize),
    Customer(usize),
}

fn trace(seed: u64, burst: Burst, usual_per_s: f64, refused_share: f64) -> Trace {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut calls = Vec::new();
    let (from_us, until_us) = BURST_US;
    for (customer, share) in CUSTOMERS.iter().enumerate() {
        for (kind, objective_ms) in OBJECTIVES_MS.into_iter().enumerate() {
            let usual = usual_per_s * share / KINDS as f64;
            let factor = match burst {
                Burst::Kind(bursting) if bursting == kind => KIND_BURST,
                Burst::Customer(bursting) if bursting == customer => CUSTOMER_BURST,
                _ => 1.0,
            };
            let mut now_us = 0;
            loop {
                let is_burst = (from_us..until_us).contains(&now_us);
                let rate_per_s = if is_burst { usual * factor } else { usual };
                let pause_s = -(1.0 - rng.random::<f64>()).ln() / rate_per_s;
                now_us += (pause_s * 1e6) as u64;
                if now_us >= DURATION_US {
                    break;
                }
                // Between 120 and 480 ms.
                let work_ms = 120.0 + 360.0 * rng.random::<f64>();
                calls.push(Call {
                    kind,
                    customer,
                    began_us: now_us,
                    objective_us: objective_ms * MS_US,
                    work_us: (work_ms * 1e3) as u64,
                });
            }
        }
    }
    calls.sort_by_key(|call| call.began_us);
    Trace {
        seed,
        calls,
        refused_share,
        refusing_us: BURST_US,
    }
}

/// Share of the selected calls of the burst that were served in time.
fn share(trace: &Trace, in_time: &[bool], is_selected: impl Fn(&Call) -> bool) -> f64 {
    let (from_us, until_us) = BURST_US;
    let calls = trace.calls.iter().zip(in_time);
    let selected =
        calls.filter(|(call, _)| (from_us..until_us).contains(&call.began_us) && is_selected(call));
    let (served, all) = selected.fold((0, 0), |(served, all), (_, is_served)| {
        (served + usize::from(*is_served), all + 1)
    });
    f64::from(served as u32) / f64::from(all as u32)
}

/// Plays a trace, checks the bounds between kinds and customers, and returns what callers got and
/// the share of what the oracle serves.
fn play(name: &str, trace: &Trace) -> (Results, f64) {
    let results = Simulation::run(trace);
    let of = |is_selected: &dyn Fn(&Call) -> bool| share(trace, &results.in_time, is_selected);
    let whole = of(&|_| true);
    let answered = share(trace, &results.answered, |_| true);
    let kinds: Vec<f64> = (0..KINDS)
        .map(|kind| of(&|call| call.kind == kind))
        .collect();
    let customers: Vec<f64> = (0..CUSTOMERS.len())
        .map(|customer| of(&|call| call.customer == customer))
        .collect();
    let oracle = share(trace, &oracle::serve(trace), |_| true);
    let least = customers.iter().copied().fold(1.0, f64::min);
    println!(
        "{name}: whole {whole:.3} answered {answered:.3} oracle {oracle:.3} kinds {kinds:.3?} least customer {least:.3} retries {} begun {} of {} codes {:?}",
        results.retries,
        results.begun,
        trace.calls.len(),
        results.last_codes
    );
    for (kind, served) in kinds.iter().enumerate() {
        assert!(
            *served >= MIN_SHARE * whole,
            "{name}: kind {kind}: {kinds:?}"
        );
        let more_urgent = kinds[..kind].iter().copied().fold(1.0, f64::min);
        assert!(
            *served <= more_urgent + ORDER_TOLERANCE,
            "{name}: kind {kind}: {kinds:?}"
        );
    }
    assert!(least >= MIN_SHARE * whole, "{name}: {customers:?}");
    (results, whole / oracle)
}

/// Seeds of the scenarios: `PRIORITY_DAYS` from `PRIORITY_FROM` on.
fn seeds() -> std::ops::Range<u64> {
    let number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    let from = number("PRIORITY_FROM").unwrap_or(0);
    from..from + number("PRIORITY_DAYS").unwrap_or(2)
}

#[test]
fn each_kind_bursts_in_turn() {
    for seed in seeds() {
        for kind in 0..KINDS {
            let trace = trace(seed, Burst::Kind(kind), USUAL_PER_S, 0.0);
            let (_, of_oracle) = play(&format!("kind {kind} seed {seed}"), &trace);
            assert!(of_oracle >= 0.8, "kind {kind} seed {seed}: {of_oracle}");
        }
    }
}

/// No quota limits the customers here, so that the largest one alone asks for twice of what the
/// targets serve; the oracle then drops requests that callers repeat in vain.
#[test]
fn each_customer_bursts_in_turn() {
    for seed in seeds() {
        for customer in 0..CUSTOMERS.len() {
            let trace = trace(seed, Burst::Customer(customer), USUAL_PER_S, 0.0);
            let (_, of_oracle) = play(&format!("customer {customer} seed {seed}"), &trace);
            assert!(
                of_oracle >= 0.4,
                "customer {customer} seed {seed}: {of_oracle}"
            );
        }
    }
}

/// Guards against a retry budget that is used up by requests whose callers can come back, and
/// against a load that counts each of their requests.
#[test]
fn targets_refuse_half_of_everything() {
    for seed in seeds() {
        for (usual_per_s, refused_share) in [(120.0, 0.5), (200.0, 0.5), (200.0, 0.6)] {
            let trace = trace(seed, Burst::None, usual_per_s, refused_share);
            let name = format!("refusals {usual_per_s} {refused_share} seed {seed}");
            let (results, of_oracle) = play(&name, &trace);
            assert!(of_oracle >= 0.97, "{name}: {of_oracle}");
            let bound = 0.2 * results.begun as f64 + 2.0 * simulation::RETRY_RESERVE;
            assert!(
                results.retries as f64 <= bound,
                "{name}: {}",
                results.retries
            );
        }
    }
}
