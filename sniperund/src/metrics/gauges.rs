//! What an instance holds and believes at the moment of asking.
//!
//! Read when the metrics are asked for, so that nothing is kept up to date for
//! nobody. The only label is the service, whose number the configuration bounds.

use std::fmt::Display;
use std::fmt::Write;
use std::sync::atomic::Ordering;

use policy::routing::RoutingTable;
use policy::routing::ServiceTable;

/// Doubt from which a target is shown as doubted: more likely failing than not.
const DOUBTED: f64 = 0.5;
const STATUS: &str = "/proc/self/status";
const FILES: &str = "/proc/self/fd";

/// Gauges as text, in the order in which they are added.
#[derive(Debug, Default)]
pub struct Gauges {
    text: String,
}

impl Gauges {
    /// Memory and open files of this process, where the system tells them.
    pub fn add_process(&mut self) {
        match std::fs::read_to_string(STATUS) {
            Ok(status) => {
                self.add_memory("process_resident_bytes", &status, "VmRSS:");
                self.add_memory("process_resident_peak_bytes", &status, "VmHWM:");
            }
            Err(error) => log::warn!("event=process-unread path={STATUS} reason=\"{error}\""),
        }
        match std::fs::read_dir(FILES) {
            Ok(files) => self.add("process_open_files", &[(None, files.count())]),
            Err(error) => log::warn!("event=process-unread path={FILES} reason=\"{error}\""),
        }
    }

    /// What is believed of the targets of each service, and how they are loaded.
    pub fn add_services(&mut self, now_us: u64, table: &RoutingTable) {
        let suspect = |service: &ServiceTable| {
            let doubts = service.candidates.iter();
            let doubts = doubts.map(|candidate| candidate.load.failure_probability(now_us));
            doubts
                .filter(|failure_probability| *failure_probability >= DOUBTED)
                .count()
        };
        self.add_of_services("targets", table, |service| service.candidates.len());
        self.add_of_services("targets_doubted", table, suspect);
        self.add_of_services("in_flight", table, |service| {
            let candidates = service.candidates.iter();
            candidates.map(|one| one.load.in_flight()).sum::<u32>()
        });
        self.add_of_services("needed_slots", table, |service| {
            service.load.needed_slots.load(Ordering::Relaxed)
        });
        self.add_of_services("crowded", table, |service| {
            u8::from(service.load.overload.is_overloaded())
        });
        self.add_of_services("retries_left", table, |service| service.load.retries.left());
        self.add_of_services("strained", table, |service| {
            u8::from(service.load.degraded.load(Ordering::Relaxed))
        });
    }

    /// The text of all that were added.
    pub fn into_text(self) -> String {
        self.text
    }

    fn add_memory(&mut self, name: &str, status: &str, field: &str) {
        let line = status.lines().find_map(|line| line.strip_prefix(field));
        let kib = line.and_then(|rest| rest.split_whitespace().next());
        if let Some(kib) = kib.and_then(|text| text.parse::<u64>().ok()) {
            self.add(name, &[(None, kib * 1024)]);
        }
    }

    fn add_of_services<T: Display>(
        &mut self,
        name: &str,
        table: &RoutingTable,
        value: impl Fn(&ServiceTable) -> T,
    ) {
        let services = table.services.iter();
        let mut values: Vec<(Option<&str>, T)> = services
            .map(|(service, table)| (Some(&**service), value(table)))
            .collect();
        values.sort_by(|a, b| a.0.cmp(&b.0));
        self.add(&format!("service_{name}"), &values);
    }

    fn add<T: Display>(&mut self, name: &str, values: &[(Option<&str>, T)]) {
        // Writing to a string does not fail.
        let _ = writeln!(self.text, "# TYPE sniperun_{name} gauge");
        for (service, value) in values {
            let _ = match service {
                Some(service) => {
                    writeln!(
                        self.text,
                        "sniperun_{name}{{service=\"{service}\"}} {value}"
                    )
                }
                None => writeln!(self.text, "sniperun_{name} {value}"),
            };
        }
    }
}
