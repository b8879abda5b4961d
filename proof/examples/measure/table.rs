//! Tables and running seeds on all processors.

use std::fmt::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Runs `run` for seeds 0 to `seeds` on all processors; results in the order of seeds.
pub(super) fn each_seed<T: Send>(seeds: u64, run: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let next = AtomicU64::new(0);
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let mut results: Vec<(u64, T)> = std::thread::scope(|scope| {
        let work = || {
            let mut results = Vec::new();
            loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds {
                    return results;
                }
                results.push((seed, run(seed)));
            }
        };
        let handles: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
        handles
            .into_iter()
            .flat_map(|handle| handle.join().expect("a run ends"))
            .collect()
    });
    results.sort_by_key(|(seed, _)| *seed);
    results.into_iter().map(|(_, result)| result).collect()
}

/// A table in Markdown.
pub(super) struct Table {
    text: String,
}

impl Table {
    /// A table with a title and heads.
    pub(super) fn new(title: &str, heads: &[&str]) -> Self {
        let mut text = format!("\n## {title}\n\n| {} |\n", heads.join(" | "));
        let _ = writeln!(text, "|{}", " --- |".repeat(heads.len()));
        Self { text }
    }

    /// Adds a row, and shows it at once.
    pub(super) fn row(&mut self, cells: &[String]) {
        eprintln!("{}", cells.join("  "));
        let _ = writeln!(self.text, "| {} |", cells.join(" | "));
    }

    /// The table's text.
    pub(super) fn text(self) -> String {
        self.text
    }
}

/// The middle and the 99th of 100 of values that may be missing, as seconds.
pub(super) fn quantiles(mut times_us: Vec<Option<u64>>) -> (String, String) {
    times_us.sort_by_key(|time| time.unwrap_or(u64::MAX));
    let show = |quantile: f64| {
        let rank = ((quantile * times_us.len() as f64).ceil() as usize).clamp(1, times_us.len());
        match times_us[rank - 1] {
            Some(time_us) => format!("{:.2}", time_us as f64 / 1e6),
            None => "never".to_owned(),
        }
    };
    (show(0.5), show(0.99))
}
