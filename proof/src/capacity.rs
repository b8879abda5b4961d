//! Capacity model: cost of a node at the planned size, computed from measured slopes.
//!
//! `docs/CAPACITY.md` contains the output of [`render`] for the slopes in
//! `docs/capacity-slopes.json`; a test compares the two.

use std::fmt::Write;

use serde::Deserialize;
use serde::Serialize;

/// The planned size and the resource limits.
pub mod planned {
    /// Instances that accept requests.
    pub const NODES: f64 = 4_000.0;
    /// Targets.
    pub const TARGETS: f64 = 42_000.0;
    /// Services.
    pub const SERVICES: f64 = 980.0;
    /// Routes.
    pub const ROUTES: f64 = 11_000.0;
    /// Customers.
    pub const CUSTOMERS: f64 = 130_000.0;
    /// Requests per second.
    pub const REQUESTS_PER_S: f64 = 960_000.0;
    /// Configuration changes per day.
    pub const CHANGES_PER_DAY: f64 = 4_200.0;
    /// Instances restarted or replaced per day.
    pub const RESTARTS_PER_DAY: f64 = 18_000.0;
    /// Data centres.
    pub const DATA_CENTRES: f64 = 9.0;
    /// Limit on the share of a core for control.
    pub const CORE_SHARE: f64 = 0.037;
    /// Limit on the memory for control, in bytes.
    pub const MEMORY_BYTES: f64 = 128e6;
    /// Limit on the bytes per second that a node sends for control.
    pub const BYTES_PER_S: f64 = 3_000.0;
    /// Reads per second that the platform can serve.
    pub const PLATFORM_READS_PER_S: f64 = 2_000.0;
    /// Writes per second assumed for the platform, whose limit is several hundred.
    pub const PLATFORM_WRITES_PER_S: f64 = 300.0;
    /// Share of targets that are ejected at any time.
    pub const EJECTED_SHARE: f64 = 0.001;
}

const SECONDS_PER_DAY: f64 = 86_400.0;
const OWNERS_PER_SERVICE: f64 = 3.0;
const DECISION_REFRESH_S: f64 = 50.0;
const REPORT_BUDGET_BYTES_PER_S: f64 = 1_000.0;
const SUSPICION_INTERVAL_PER_MEMBER_S: f64 = 0.4;
const LIST_PERIOD_S: f64 = 52.5;
const WATCHERS_PER_DATA_CENTRE: f64 = 2.0;
const WATCH_TIMEOUT_S: f64 = 20.0;
const TICKS_PER_S: f64 = 20.0;
const NOTES_PER_SNAPSHOT: f64 = 256.0;
const OBJECTS_PER_PART: f64 = 3_000.0;
const WRITES_PER_CLAIM: f64 = 2.0;

/// Measured cost per object, message or operation.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slopes {
    /// Memory of a route in the configuration, in bytes.
    pub route_bytes: f64,
    /// Memory of a customer, in bytes.
    pub customer_bytes: f64,
    /// Memory of a target in the configuration, in bytes.
    pub target_bytes: f64,
    /// Memory of a target in the routing tables and counters of the request path, in bytes.
    pub routed_target_bytes: f64,
    /// Memory of a service's observations at an instance that sends to it, in bytes.
    pub observed_service_bytes: f64,
    /// Memory of a member in the membership view, including the owners of services, in bytes.
    pub member_bytes: f64,
    /// Time to look up a route among 1,100, in nanoseconds.
    pub route_lookup_small_ns: f64,
    /// Time to look up a route among 11,000, in nanoseconds.
    pub route_lookup_ns: f64,
    /// Time to look up a customer among 130,000, in nanoseconds.
    pub customer_lookup_ns: f64,
    /// Time to apply a note that changes one target to the full configuration, in nanoseconds.
    pub apply_ns: f64,
    /// Time for an instance to parse a note, apply it and rebuild the tables, in nanoseconds.
    pub take_note_ns: f64,
    /// Time to choose among 43 targets and complete an exchange, in nanoseconds.
    pub exchange_ns: f64,
    /// Allocations to choose among 43 targets and complete an exchange.
    pub exchange_allocations: f64,
    /// Time to record the end of an attempt, in nanoseconds.
    pub observe_ns: f64,
    /// Allocations to record the end of an attempt.
    pub observe_allocations: f64,
    /// Time for an owner to process a report on one target of 43, in nanoseconds.
    pub report_ns: f64,
    /// Time of a tick with 4,000 members, in nanoseconds.
    pub tick_ns: f64,
    /// Time to apply a decision on one target and rebuild its service's table of 43, in nanoseconds.
    pub verdict_ns: f64,
    /// Time to process a member joining or leaving, including the owners of 980 services, in
    /// nanoseconds.
    pub member_change_ns: f64,
    /// Bytes of a ping without member updates.
    pub ping_bytes: f64,
    /// Bytes of one member update.
    pub news_bytes: f64,
    /// Bytes of a report with one outcome.
    pub report_bytes: f64,
    /// Bytes of a message with one decision.
    pub verdict_bytes: f64,
    /// Bytes of each additional decision in such a message.
    pub more_verdict_bytes: f64,
    /// Bytes of a message with a note that changes one target.
    pub note_bytes: f64,
    /// Bytes that a call between instances adds to its message.
    pub frame_bytes: f64,
    /// Bytes of the full configuration as snapshot parts.
    pub snapshot_bytes: f64,
}

/// One line of a table on the page.
#[derive(Clone, Debug)]
pub struct Row {
    /// Resource or activity, with the role of the instances concerned in parentheses.
    pub item: &'static str,
    /// Mechanism that causes or bounds the cost.
    pub mechanism: &'static str,
    /// Formula of the figure, for display.
    pub formula: String,
    /// Computed figure.
    pub value: f64,
    /// Unit of the figure.
    pub unit: &'static str,
}

fn row(
    item: &'static str,
    mechanism: &'static str,
    formula: impl Into<String>,
    value: f64,
    unit: &'static str,
) -> Row {
    Row {
        item,
        mechanism,
        formula: formula.into(),
        value,
        unit,
    }
}

/// Returns the memory of one node, in MB.
pub fn memory(s: &Slopes) -> Vec<Row> {
    vec![
        row(
            "routes",
            "persistent map",
            "11,000 x route",
            planned::ROUTES * s.route_bytes / 1e6,
            "MB",
        ),
        row(
            "customers",
            "persistent map",
            "130,000 x customer",
            planned::CUSTOMERS * s.customer_bytes / 1e6,
            "MB",
        ),
        row(
            "targets",
            "persistent map",
            "42,000 x target",
            planned::TARGETS * s.target_bytes / 1e6,
            "MB",
        ),
        row(
            "tables and counters (entry)",
            "tables by service, shared counters",
            "42,000 x routed target",
            planned::TARGETS * s.routed_target_bytes / 1e6,
            "MB",
        ),
        row(
            "counts of own requests (entry)",
            "observer and local evidence",
            "980 x observed service",
            planned::SERVICES * s.observed_service_bytes / 1e6,
            "MB",
        ),
        row(
            "members (peer)",
            "view by heartbeats, owners by rendezvous",
            "4,000 x member",
            planned::NODES * s.member_bytes / 1e6,
            "MB",
        ),
        row(
            "kept notes (watcher, peer)",
            "bounded by bytes",
            "bound",
            4.0,
            "MB",
        ),
        row(
            "tickets (ticket holder)",
            "bounded table",
            "100,000 x 64 B, bound",
            6.4,
            "MB",
        ),
    ]
}

/// Reports per second that a node sends or, as an owner, receives.
fn reports_per_s(s: &Slopes) -> f64 {
    let unlimited = planned::REQUESTS_PER_S / planned::NODES * OWNERS_PER_SERVICE;
    unlimited.min(REPORT_BUDGET_BYTES_PER_S / s.report_bytes)
}

fn restarts_per_s() -> f64 {
    planned::RESTARTS_PER_DAY / SECONDS_PER_DAY
}

fn decisions_per_s() -> f64 {
    planned::TARGETS * planned::EJECTED_SHARE * OWNERS_PER_SERVICE / DECISION_REFRESH_S
}

fn suspicions_per_s() -> f64 {
    let owners = (planned::SERVICES * OWNERS_PER_SERVICE).min(planned::NODES);
    2.0 * owners / (planned::NODES * SUSPICION_INTERVAL_PER_MEMBER_S)
}

/// Returns the bytes per second that one node sends for control. It receives as many on average.
pub fn bytes(s: &Slopes) -> Vec<Row> {
    let changes = 2.0 * restarts_per_s();
    let member_updates = (planned::NODES.log2() + 3.0) * changes * s.news_bytes;
    let joining = restarts_per_s() * planned::DATA_CENTRES * s.news_bytes;
    vec![
        row(
            "heartbeats (peer)",
            "one random ping a second, answered",
            "2 x ping",
            2.0 * s.ping_bytes,
            "B/s",
        ),
        row(
            "membership updates (peer)",
            "a few with each message",
            "2 x restarts/s x (log2 n + 3) x member",
            member_updates,
            "B/s",
        ),
        row(
            "joining (peer)",
            "one peer of each data centre gives its list",
            "restarts/s x 9 x 4,000 members / 4,000 nodes",
            joining,
            "B/s",
        ),
        row(
            "reports (entry)",
            "owners by rendezvous; normal outcomes sampled to a budget",
            "min(240 x 3 x report, budget)",
            reports_per_s(s) * s.report_bytes,
            "B/s",
        ),
        row(
            "health decisions (owner, entry)",
            "tree over all instances, repeated each 10 s + 10 ms a member",
            "42 targets out x 3 owners / 50 s x health decision",
            decisions_per_s() * s.verdict_bytes,
            "B/s",
        ),
        row(
            "suspicions (owner, entry)",
            "paced by the number of members",
            "2 x 2,940 owners / (4,000 x 0.4 s) x health decision",
            suspicions_per_s() * s.verdict_bytes,
            "B/s",
        ),
        row(
            "notes (watcher, peer)",
            "tree over all instances",
            "4,200 a day x note",
            planned::CHANGES_PER_DAY / SECONDS_PER_DAY * s.note_bytes,
            "B/s",
        ),
        row(
            "frames of calls (peer)",
            "tarpc over TCP",
            "messages/s x frame, without answers and TCP's own headers",
            messages_per_s(s) * s.frame_bytes,
            "B/s",
        ),
    ]
}

fn messages_per_s(s: &Slopes) -> f64 {
    2.0 + reports_per_s(s)
        + decisions_per_s()
        + suspicions_per_s()
        + planned::CHANGES_PER_DAY / SECONDS_PER_DAY
}

/// Returns the processor time of one node for control, in millionths of a core.
pub fn processor(s: &Slopes) -> Vec<Row> {
    let requests = planned::REQUESTS_PER_S / planned::NODES;
    let millionths = |per_s: f64, ns: f64| per_s * ns / 1e3;
    vec![
        row(
            "ends of attempts (entry)",
            "observer and local evidence",
            "240/s x observe",
            millionths(requests, s.observe_ns),
            "ppm of a core",
        ),
        row(
            "reports (owner)",
            "sequential tests by service",
            "reports/s x report",
            millionths(reports_per_s(s), s.report_ns),
            "ppm of a core",
        ),
        row(
            "ticks (peer, watcher)",
            "one loop",
            "20/s x tick at 4,000 members",
            millionths(TICKS_PER_S, s.tick_ns),
            "ppm of a core",
        ),
        row(
            "health decisions and suspicions (entry)",
            "table of one service rebuilt",
            "health decisions/s x health decision",
            millionths(decisions_per_s() + suspicions_per_s(), s.verdict_ns),
            "ppm of a core",
        ),
        row(
            "members that come and go (peer)",
            "owners kept up to date one by one",
            "2 x restarts/s x change",
            millionths(2.0 * restarts_per_s(), s.member_change_ns),
            "ppm of a core",
        ),
        row(
            "notes (entry)",
            "delta on persistent maps",
            "4,200 a day x take note",
            millionths(planned::CHANGES_PER_DAY / SECONDS_PER_DAY, s.take_note_ns),
            "ppm of a core",
        ),
    ]
}

/// Returns the calls per second that the platform receives from all nodes.
pub fn platform(s: &Slopes) -> Vec<Row> {
    let objects = planned::CUSTOMERS + planned::TARGETS + planned::ROUTES;
    let parts = (objects / OBJECTS_PER_PART).ceil();
    let changes = planned::CHANGES_PER_DAY / SECONDS_PER_DAY;
    let watchers = WATCHERS_PER_DATA_CENTRE * planned::DATA_CENTRES;
    let _ = s;
    vec![
        row(
            "watches (watcher)",
            "two watchers a data centre",
            "18 / 20 s + 18 x changes/s",
            watchers / WATCH_TIMEOUT_S + watchers * changes,
            "reads/s",
        ),
        row(
            "lists of instances (peer)",
            "each instance, jittered",
            "4,000 / 52.5 s",
            planned::NODES / LIST_PERIOD_S,
            "reads/s",
        ),
        row(
            "new instances (entry)",
            "snapshot in parts",
            format!("restarts/s x ({parts:.0} parts + 3)"),
            restarts_per_s() * (parts + 3.0),
            "reads/s",
        ),
        row(
            "notes (operators)",
            "create if absent",
            "4,200 a day",
            changes,
            "writes/s",
        ),
        row(
            "snapshots (snapshot writer)",
            "one writer by rendezvous and lease",
            format!("changes / 256 x ({parts:.0} parts + 2)"),
            changes / NOTES_PER_SNAPSHOT * (parts + 2.0),
            "writes/s",
        ),
    ]
}

/// Returns the sum of the rows with this unit.
pub fn sum(rows: &[Row], unit: &str) -> f64 {
    rows.iter()
        .filter(|row| row.unit == unit)
        .map(|row| row.value)
        .sum()
}

/// Renders the computed part of the page.
pub fn render(s: &Slopes) -> String {
    let mut text = String::new();
    render_section(
        &mut text,
        "Memory of one node",
        &memory(s),
        "MB",
        planned::MEMORY_BYTES / 1e6,
    );
    render_section(
        &mut text,
        "Bytes a second that one node sends",
        &bytes(s),
        "B/s",
        planned::BYTES_PER_S,
    );
    render_section(
        &mut text,
        "Processor time of one node for control",
        &processor(s),
        "ppm of a core",
        planned::CORE_SHARE * 1e6,
    );
    let calls = platform(s);
    render_section(
        &mut text,
        "Reads of the platform by all nodes",
        &with_unit(&calls, "reads/s"),
        "reads/s",
        planned::PLATFORM_READS_PER_S,
    );
    render_section(
        &mut text,
        "Writes of the platform by all nodes",
        &with_unit(&calls, "writes/s"),
        "writes/s",
        planned::PLATFORM_WRITES_PER_S,
    );
    render_incidents(&mut text, s);
    text
}

fn with_unit(rows: &[Row], unit: &str) -> Vec<Row> {
    rows.iter()
        .filter(|row| row.unit == unit)
        .cloned()
        .collect()
}

fn render_section(text: &mut String, title: &str, rows: &[Row], unit: &'static str, limit: f64) {
    let _ = writeln!(text, "### {title}\n");
    let _ = writeln!(
        text,
        "| what (role) | mechanism | formula | {unit} |\n| --- | --- | --- | --- |"
    );
    for row in rows {
        let _ = writeln!(
            text,
            "| {} | {} | {} | {:.2} |",
            row.item, row.mechanism, row.formula, row.value
        );
    }
    let total = sum(rows, unit);
    let margin = limit / total;
    let result = if total <= limit { "holds" } else { "MISSED" };
    let _ = writeln!(
        text,
        "| **sum** | | limit {limit:.0}, margin {margin:.1} times: {result} | **{total:.2}** |\n"
    );
}

/// Renders the load of unusual events such as the loss of a data centre.
fn render_incidents(text: &mut String, s: &Slopes) {
    let objects = planned::CUSTOMERS + planned::TARGETS + planned::ROUTES;
    let parts = (objects / OBJECTS_PER_PART).ceil() + 3.0;
    let all_start_s = planned::NODES * parts / planned::PLATFORM_READS_PER_S;
    let members_bytes = planned::NODES * s.news_bytes * planned::DATA_CENTRES;
    let rack_changes = 40.0;
    let data_centre_changes = planned::NODES / planned::DATA_CENTRES;
    let member_change_s = |changes: f64| changes * s.member_change_ns / 1e9;
    let claims = planned::PLATFORM_WRITES_PER_S / WRITES_PER_CLAIM;
    let keyed = planned::REQUESTS_PER_S * 0.01;
    let _ = writeln!(
        text,
        "### Bad days\n\n| what happens | figure | how it comes about |\n| --- | --- | --- |"
    );
    let mut line = |item: &str, figure: String, explanation: &str| {
        let _ = writeln!(text, "| {item} | {figure} | {explanation} |");
    };
    line(
        "a rack of 40 instances goes",
        format!(
            "{:.3} s of processor time at each node",
            member_change_s(rack_changes)
        ),
        "40 x member change; their callers' requests end, their tickets are lost",
    );
    line(
        "a data centre goes",
        format!(
            "{:.3} s of processor time at each node",
            member_change_s(data_centre_changes)
        ),
        "444 x member change; owners move to the other data centres, which keep two of three",
    );
    line(
        "a region is cut off for an hour",
        "no figure: each side goes on by itself".to_owned(),
        "owners and watchers exist on each side; a side without the platform keeps the note that it has",
    );
    line(
        "the platform is away for hours",
        "0 notes; keys refused as not run".to_owned(),
        "notes in force stay; new instances start from peers; commands use tickets",
    );
    line(
        "all instances start at once",
        format!(
            "{all_start_s:.0} s of the platform's reads: MISSED against a start within a minute by {:.1} times",
            all_start_s / 60.0
        ),
        "4,000 x parts of the snapshot; peers that are ready could give it instead, which is not built",
    );
    line(
        "one instance starts",
        format!(
            "{:.1} MB of snapshot, {:.1} MB of members",
            s.snapshot_bytes / 1e6,
            members_bytes / 1e6
        ),
        "parts from the platform; members from one peer of each data centre",
    );
    line(
        "keys are claimed",
        format!("{claims:.0} commands a second, then refused as not run with when to come back"),
        "300 writes/s / 2 writes a command",
    );
    line(
        "1% of the peak are commands with keys",
        format!(
            "MISSED by {:.0} times; tickets carry them without the platform",
            keyed / claims
        ),
        "9,600/s against what the platform's writes allow",
    );
}
