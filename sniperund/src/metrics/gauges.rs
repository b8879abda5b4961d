//! Gauges of the current state of an instance.
//!
//! They are computed at each scrape, so that they cost nothing in between. The only label is the service,
//! whose number the configuration bounds.

use std::fmt::Display;
use std::fmt::Write;
use std::sync::atomic::Ordering;

use policy::limits::QuotaGate;
use policy::quarantine::QuarantineView;
use policy::routing::RoutingTable;
use policy::routing::ServiceTable;
use policy::routing::Subset;

/// Failure probability from which a target is counted as suspect: it is more likely to be failing
/// than healthy.
const SUSPECT_PROBABILITY: f64 = 0.5;
const PROC_STATUS: &str = "/proc/self/status";
const PROC_FD: &str = "/proc/self/fd";

/// Gauges in text format, in the order in which they are added.
#[derive(Debug, Default)]
pub struct Gauges {
    text: String,
}

impl Gauges {
    /// Adds the memory use and the open files of this process; logs a warning if the system does
    /// not provide them.
    pub fn add_process(&mut self) {
        match std::fs::read_to_string(PROC_STATUS) {
            Ok(status) => {
                self.add_memory("process_resident_bytes", &status, "VmRSS:");
                self.add_memory("process_resident_peak_bytes", &status, "VmHWM:");
            }
            Err(error) => {
                log::warn!("event=process-unread path={PROC_STATUS} reason=\"{error}\"")
            }
        }
        match std::fs::read_dir(PROC_FD) {
            Ok(files) => self.add("process_open_files", &[(None, files.count())]),
            Err(error) => log::warn!("event=process-unread path={PROC_FD} reason=\"{error}\""),
        }
    }

    /// Adds the number of requests that are quarantined.
    pub fn add_quarantine(&mut self, now_us: u64, quarantine: &QuarantineView) {
        let quarantined = quarantine.quarantined(now_us);
        self.add("requests_quarantined", &[(None, quarantined)]);
    }

    /// Adds the requests of customers with quotas by decision, and the customers whose requests need
    /// tokens.
    pub fn add_quotas(&mut self, gate: &QuotaGate) {
        let (admitted, refused) = gate.counts();
        self.add_counter("quota_admitted", admitted);
        self.add_counter("quota_refused", refused);
        self.add("quota_restricted", &[(None, gate.restricted())]);
    }

    /// Adds the number, health and load of the targets of each service.
    pub fn add_services(&mut self, now_us: u64, table: &RoutingTable) {
        let suspects = |service: &ServiceTable| {
            let probabilities = service.candidates.iter();
            let probabilities =
                probabilities.map(|candidate| candidate.load.failure_probability(now_us));
            probabilities
                .filter(|failure_probability| *failure_probability >= SUSPECT_PROBABILITY)
                .count()
        };
        self.add_per_service("targets", table, |service| service.candidates.len());
        self.add_per_service("targets_doubted", table, suspects);
        self.add_per_service("targets_leaving", table, |service| {
            let candidates = service.candidates.iter();
            candidates
                .filter(|candidate| candidate.load.is_leaving())
                .count()
        });
        self.add_per_service("targets_limited", table, |service| {
            let loads = service.candidates.iter().map(|candidate| &candidate.load);
            loads
                .filter(|load| load.rate_limit_milli().is_some())
                .count()
        });
        self.add_per_service("in_flight", table, |service| {
            let candidates = service.candidates.iter();
            candidates
                .map(|candidate| candidate.load.in_flight())
                .sum::<u32>()
        });
        self.add_per_service("needed_slots", table, |service| {
            service.load.needed_slots.load(Ordering::Relaxed)
        });
        self.add_per_service("crowded", table, |service| {
            u8::from(service.load.overload.is_overloaded())
        });
        self.add_per_service("retries_left", table, |service| service.load.retries.left());
        self.add_per_service("strained", table, |service| {
            u8::from(service.load.degraded.load(Ordering::Relaxed))
        });
        self.add_subsets(table);
    }

    /// Adds the size of the subset of each service's targets, and the numbers of requests that were
    /// sent to targets in it and to others. Nothing is added without a subset.
    fn add_subsets(&mut self, table: &RoutingTable) {
        if table
            .services
            .values()
            .all(|service| service.subset.is_none())
        {
            return;
        }
        self.add_per_service("subset_targets", table, |service| {
            let subset = service.subset.as_ref();
            subset.map_or(service.candidates.len(), Subset::target_count)
        });
        self.add_per_service("sent_within_subset", table, |service| {
            service.load.sent_within_subset.load(Ordering::Relaxed)
        });
        self.add_per_service("sent_outside_subset", table, |service| {
            service.load.sent_outside_subset.load(Ordering::Relaxed)
        });
    }

    /// Returns the text of all gauges added.
    pub fn into_text(self) -> String {
        self.text
    }

    fn add_counter(&mut self, name: &str, value: u64) {
        // Writing to a string does not fail.
        let _ = writeln!(self.text, "# TYPE sniperun_{name} counter");
        let _ = writeln!(self.text, "sniperun_{name}_total {value}");
    }

    fn add_memory(&mut self, name: &str, status: &str, field: &str) {
        let line = status.lines().find_map(|line| line.strip_prefix(field));
        let kib = line.and_then(|rest| rest.split_whitespace().next());
        if let Some(kib) = kib.and_then(|text| text.parse::<u64>().ok()) {
            self.add(name, &[(None, kib * 1024)]);
        }
    }

    fn add_per_service<T: Display>(
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
