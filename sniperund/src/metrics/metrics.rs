//! Counters and histograms.
//!
//! Histograms come last in the text, after the gauges and counters: on-call engineers may keep
//! only its first kilobytes.
//!
//! Label values come from the configuration and the table of result codes, never from callers, so
//! their number is bounded.

use std::fmt::Write;
use std::sync::Arc;

use peers::Counters;
use policy::instance::PermitAnswer;
use policy::invariant;
use policy::invariant::Invariant;
use policy::limits::BodyMemory;
use policy::limits::DEFAULT_BODY_MEMORY_BYTES;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

/// Labels of a finished request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Name of the service; empty if no route matches.
    pub service: String,
    /// Request class.
    pub class: String,
    /// Number of the result code.
    pub code: u16,
    /// Whether the request took effect: not run, ran or unknown.
    pub outcome: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
    class: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EjectionLabels {
    service: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PermitLabels {
    answer: &'static str,
}

type Histograms = Family<ServiceLabels, Histogram, fn() -> Histogram>;

/// Metrics of an instance.
pub struct Metrics {
    counters: Registry,
    histograms: Registry,
    permits: Family<PermitLabels, Counter>,
    requests: Family<RequestLabels, Counter>,
    answer_seconds: Histograms,
    added_seconds: Histograms,
    ejections: Family<EjectionLabels, Counter>,
    /// Number of the release note in force.
    pub note_in_force: Gauge,
    /// Calls to the platform.
    pub platform_calls: Counter,
    /// Calls to the platform that failed.
    pub platform_failures: Counter,
    /// Crossings of one half, in either direction, by targets' failure probabilities.
    pub suspicion_changes: Counter,
    /// Processes of targets that ended under a request.
    pub target_crashes: Counter,
    /// Processes of targets that have said that they leave.
    pub stated_departures: Counter,
    /// Requests refused as there was no memory for their bodies.
    pub body_memory_refusals: Counter,
    /// Memory that the bodies of requests and responses take.
    pub body_memory: Arc<BodyMemory>,
    /// Requests handed to other instances.
    pub handed_over: Counter,
    /// Counters of messages between instances.
    pub peers: Arc<Counters>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut counters = Registry::with_prefix("sniperun");
        let mut histograms = Registry::with_prefix("sniperun");
        let permits = Family::<PermitLabels, Counter>::default();
        let requests = Family::<RequestLabels, Counter>::default();
        let answer_seconds: Histograms = Family::new_with_constructor(answer_histogram);
        let added_seconds: Histograms = Family::new_with_constructor(added_histogram);
        let ejections = Family::<EjectionLabels, Counter>::default();
        let note_in_force = Gauge::default();
        let platform_calls = Counter::default();
        counters.register("requests", "Requests by their end", requests.clone());
        counters.register(
            "permits",
            "Permit requests to owners of targets, by the answer",
            permits.clone(),
        );
        histograms.register(
            "answer_seconds",
            "Time from request to the head of the answer",
            answer_seconds.clone(),
        );
        histograms.register(
            "added_seconds",
            "Part of that time that the instance added",
            added_seconds.clone(),
        );
        counters.register(
            "ejections",
            "Ejections decided here as home",
            ejections.clone(),
        );
        counters.register(
            "note_in_force",
            "Number of the note in force",
            note_in_force.clone(),
        );
        counters.register(
            "platform_calls",
            "Calls to the platform",
            platform_calls.clone(),
        );
        let platform_failures = Counter::default();
        counters.register(
            "platform_failures",
            "Calls to the platform that failed",
            platform_failures.clone(),
        );
        let suspicion_changes = Counter::default();
        counters.register(
            "target_doubts",
            "Targets taken for failing, and for good again",
            suspicion_changes.clone(),
        );
        let target_crashes = Counter::default();
        counters.register(
            "target_crashes",
            "Processes of targets that ended under a request of this instance",
            target_crashes.clone(),
        );
        let stated_departures = Counter::default();
        counters.register(
            "stated_departures",
            "Processes of targets that have said that they leave",
            stated_departures.clone(),
        );
        let handed_over = Counter::default();
        counters.register(
            "handed_over",
            "Requests handed to other instances, as no target was reached",
            handed_over.clone(),
        );
        let body_memory_refusals = Counter::default();
        counters.register(
            "body_memory_refusals",
            "Requests refused as there was no memory for their bodies",
            body_memory_refusals.clone(),
        );
        Self {
            body_memory_refusals,
            body_memory: Arc::new(BodyMemory::new(DEFAULT_BODY_MEMORY_BYTES)),
            handed_over,
            target_crashes,
            stated_departures,
            platform_failures,
            suspicion_changes,
            counters,
            histograms,
            permits,
            requests,
            answer_seconds,
            added_seconds,
            ejections,
            note_in_force,
            platform_calls,
            peers: Arc::new(Counters::default()),
        }
    }
}

impl Metrics {
    /// Sets the memory that the bodies of requests and responses take.
    pub fn with_body_memory(self, body_memory: Arc<BodyMemory>) -> Self {
        Self {
            body_memory,
            ..self
        }
    }

    /// Counts a finished request.
    pub fn count_request(&self, labels: &RequestLabels) {
        self.requests.get_or_create(labels).inc();
    }

    /// Counts the answer to a permit request.
    pub fn count_permit_answer(&self, answer: PermitAnswer) {
        let answer = match answer {
            PermitAnswer::Permitted { .. } => "permitted",
            PermitAnswer::Denied { .. } => "denied",
            PermitAnswer::Unknown => "unknown",
        };
        self.permits.get_or_create(&PermitLabels { answer }).inc();
    }

    /// Records the time from the request to the head of its response, and the part of it that the
    /// instance added, in microseconds.
    pub fn observe_response(&self, service: &str, class: &str, answer_us: u64, added_us: u64) {
        let labels = ServiceLabels {
            service: service.to_owned(),
            class: class.to_owned(),
        };
        let seconds = |time_us: u64| time_us as f64 / 1e6;
        self.answer_seconds
            .get_or_create(&labels)
            .observe(seconds(answer_us));
        self.added_seconds
            .get_or_create(&labels)
            .observe(seconds(added_us));
    }

    /// Counts an ejection that this instance decided as owner of the service.
    pub fn count_ejection(&self, service: &str) {
        let labels = EjectionLabels {
            service: service.to_owned(),
        };
        self.ejections.get_or_create(&labels).inc();
    }

    /// Returns all metrics in text format, `gauges` first.
    pub fn text(&self, gauges: &str) -> String {
        let mut text = gauges.to_owned();
        let gauges = [
            ("body_memory_held_bytes", self.body_memory.held_bytes()),
            ("body_memory_limit_bytes", self.body_memory.limit_bytes()),
        ];
        for (name, value) in gauges {
            let _ = writeln!(text, "# TYPE sniperun_{name} gauge");
            let _ = writeln!(text, "sniperun_{name} {value}");
        }
        add_encoded(&mut text, &self.counters);
        self.add_counters(&mut text);
        add_encoded(&mut text, &self.histograms);
        text.push_str("# EOF\n");
        text
    }

    fn add_counters(&self, text: &mut String) {
        let load = |counter: &std::sync::atomic::AtomicU64| {
            counter.load(std::sync::atomic::Ordering::Relaxed)
        };
        let peers = &self.peers;
        let counters = [
            ("peer_messages_sent", load(&peers.sent)),
            ("peer_bytes_sent", load(&peers.sent_bytes)),
            ("peer_messages_received", load(&peers.received)),
            ("peer_bytes_received", load(&peers.received_bytes)),
            ("peer_messages_dropped", load(&peers.dropped)),
            ("peer_messages_refused", load(&peers.refused)),
            ("log_lines_dropped", crate::logs::dropped()),
        ];
        for (name, value) in counters {
            let _ = writeln!(text, "# TYPE sniperun_{name} counter");
            let _ = writeln!(text, "sniperun_{name}_total {value}");
        }
        let _ = writeln!(text, "# TYPE sniperun_violations counter");
        for invariant in Invariant::ALL {
            let name = invariant.as_str();
            let value = invariant::violations(invariant);
            let _ = writeln!(
                text,
                "sniperun_violations_total{{invariant=\"{name}\"}} {value}"
            );
        }
    }
}

/// Adds the metrics of a registry without the end marker.
fn add_encoded(text: &mut String, registry: &Registry) {
    // Encoding to a string does not fail.
    let _ = encode(text, registry);
    let end = text.trim_end().trim_end_matches("# EOF").len();
    text.truncate(end);
}

const FIRST_BUCKET_S: f64 = 0.000_1;
const BUCKET_FACTOR: f64 = 2.0;
const BUCKETS: u16 = 18;

fn answer_histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        FIRST_BUCKET_S * 10.0,
        BUCKET_FACTOR,
        BUCKETS,
    ))
}

fn added_histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        FIRST_BUCKET_S / 4.0,
        BUCKET_FACTOR,
        BUCKETS,
    ))
}
