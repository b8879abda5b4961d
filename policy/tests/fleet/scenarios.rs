//! Random scenarios, simulated on several threads.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

const THREADS: usize = 4;

/// Simulates one scenario a seed; returns the results of those that have one. The environment
/// variables `PREFIX_FROM` and `PREFIX_DAYS` set another first seed than 0 and another number.
pub(crate) fn simulate_scenarios<T: Send>(
    prefix: &str,
    default_count: u64,
    simulate: impl Fn(u64) -> Option<T> + Sync,
) -> Vec<(u64, T)> {
    let first = env_number(&format!("{prefix}_FROM"), 0);
    let count = env_number(&format!("{prefix}_DAYS"), default_count);
    let next = AtomicU64::new(first);
    let simulate_next = || {
        let mut results = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= first + count {
                return results;
            }
            results.extend(simulate(seed).map(|result| (seed, result)));
        }
    };
    let mut results: Vec<(u64, T)> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(simulate_next)).collect();
        let ended = threads.into_iter().map(|thread| thread.join());
        ended
            .flat_map(|results| results.expect("a simulation thread panicked"))
            .collect()
    });
    results.sort_by_key(|(seed, _)| *seed);
    results
}

fn env_number(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}
