//! Markdown tables, quantiles, and parallel runs over seeds.

use std::fmt::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Calls `run` with the seeds 0 to `seeds` - 1 on all processors; returns the results
/// in seed order.
pub(super) fn map_seeds<T: Send>(seeds: u64, run: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let next_seed = AtomicU64::new(0);
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let mut results: Vec<(u64, T)> = std::thread::scope(|scope| {
        let worker = || {
            let mut results = Vec::new();
            loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds {
                    return results;
                }
                results.push((seed, run(seed)));
            }
        };
        let handles: Vec<_> = (0..threads).map(|_| scope.spawn(worker)).collect();
        handles
            .into_iter()
            .flat_map(|handle| handle.join().expect("a simulation thread panicked"))
            .collect()
    });
    results.sort_by_key(|(seed, _)| *seed);
    results.into_iter().map(|(_, result)| result).collect()
}

/// A Markdown section with one table.
pub(super) struct Table {
    text: String,
}

impl Table {
    /// Creates an empty table below a section heading.
    pub(super) fn new(title: &str, headings: &[&str]) -> Self {
        let mut text = format!("\n## {title}\n\n| {} |\n", headings.join(" | "));
        let _ = writeln!(text, "|{}", " --- |".repeat(headings.len()));
        Self { text }
    }

    /// Adds a row and prints it to standard error as progress output.
    pub(super) fn add_row(&mut self, cells: &[String]) {
        eprintln!("{}", cells.join("  "));
        let _ = writeln!(self.text, "| {} |", cells.join(" | "));
    }

    /// Returns the section as Markdown.
    pub(super) fn into_markdown(self) -> String {
        self.text
    }
}

/// Formats the median and the 99th percentile in seconds.
///
/// `None` stands for an event that did not occur; it ranks last and is shown as `never`.
pub(super) fn format_p50_p99(mut times_us: Vec<Option<u64>>) -> (String, String) {
    times_us.sort_by_key(|time| time.unwrap_or(u64::MAX));
    let format_quantile = |quantile: f64| {
        let rank = ((quantile * times_us.len() as f64).ceil() as usize).clamp(1, times_us.len());
        match times_us[rank - 1] {
            Some(time_us) => format!("{:.2}", time_us as f64 / 1e6),
            None => "never".to_owned(),
        }
    };
    (format_quantile(0.5), format_quantile(0.99))
}
