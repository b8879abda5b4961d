//! The users' deployments at their present sizes.

use std::net::SocketAddr;
use std::sync::Arc;

use model::Note;
use model::configuration::Class;
use model::configuration::Link;
use model::configuration::Repeat;
use model::configuration::Route;
use model::configuration::Service;
use model::configuration::Target;
use model::note::Delta;

use super::MILLI_US;

/// Load of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Name of the service.
    pub service: Arc<str>,
    /// Total requests per second.
    pub per_s: f64,
    /// Mean processing time of a request, in microseconds.
    pub work_us: u64,
    /// Share of requests that fail at a healthy target.
    pub baseline_error_rate: f64,
}

/// Data centres, instances, services and loads.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Names of the data centres.
    pub data_centres: Vec<Arc<str>>,
    /// One-way latency between data centres, in microseconds.
    pub one_way_us: u64,
    /// Number of instances that accept requests.
    pub instances: usize,
    /// The note that describes all services.
    pub note: Note,
    /// Loads of the services.
    pub loads: Vec<Load>,
}

const INSTANCES: usize = 36;
const WORK_US: u64 = 25 * MILLI_US;
const EXPORT_WORK_US: u64 = 400 * MILLI_US;
const SLOTS: u32 = 6;
const CONNECTIONS: u32 = 300;

struct ServiceRow {
    name: &'static str,
    class: Class,
    repeat: Repeat,
    targets: usize,
    per_s: f64,
    work_us: u64,
    floor_share: f64,
}

impl Deployment {
    /// Returns the Rodopi deployment, for which a short detection time matters most.
    pub fn rodopi() -> Self {
        let rows = [
            row(
                "dashboards",
                Class::Live,
                Repeat::Idempotent,
                7,
                840.0,
                WORK_US,
                0.5,
            ),
            row(
                "gates",
                Class::Command,
                Repeat::Never,
                15,
                20.0,
                WORK_US,
                0.6,
            ),
            row(
                "exports",
                Class::Export,
                Repeat::Idempotent,
                6,
                20.0,
                EXPORT_WORK_US,
                0.5,
            ),
        ];
        Self::build(
            &["smolyan", "devin", "chepelare"],
            3 * MILLI_US,
            &rows,
            1e-5,
            1e-3,
        )
    }

    /// Returns the Kinderhut deployment, for which few false ejections matter most.
    pub fn kinderhut() -> Self {
        let rows = [
            row(
                "search",
                Class::Live,
                Repeat::Idempotent,
                10,
                600.0,
                WORK_US,
                0.6,
            ),
            row(
                "booking",
                Class::Command,
                Repeat::Never,
                15,
                10.0,
                WORK_US,
                0.7,
            ),
            row(
                "archives",
                Class::Export,
                Repeat::Idempotent,
                8,
                20.0,
                EXPORT_WORK_US,
                0.5,
            ),
        ];
        let data_centres = ["zurich", "winterthur", "baden", "schaffhausen"];
        Self::build(&data_centres, 5 * MILLI_US, &rows, 1e-7, 1e-2)
    }

    /// Removes all services but one.
    pub fn only(mut self, service: &str) -> Self {
        self.note
            .services
            .add
            .retain(|other| &*other.name == service);
        self.note
            .targets
            .add
            .retain(|target| &*target.service == service);
        self.note
            .routes
            .add
            .retain(|route| &*route.service == service);
        self.loads.retain(|load| &*load.service == service);
        self
    }

    /// Sets the requests per second of a service.
    pub fn load(mut self, service: &str, per_s: f64) -> Self {
        for load in &mut self.loads {
            if &*load.service == service {
                load.per_s = per_s;
            }
        }
        self
    }

    /// Sets the number of instances.
    pub fn instances(mut self, instances: usize) -> Self {
        self.instances = instances;
        self
    }

    /// Sets the baseline error rate of all services.
    pub fn baseline_error_rate(mut self, share: f64) -> Self {
        for load in &mut self.loads {
            load.baseline_error_rate = share;
        }
        self
    }

    fn build(
        data_centres: &[&str],
        one_way_us: u64,
        rows: &[ServiceRow],
        false_ejections: f64,
        missed_detections: f64,
    ) -> Self {
        let data_centres: Vec<Arc<str>> = data_centres.iter().map(|name| (*name).into()).collect();
        let mut note = Note {
            title: "all services".into(),
            submission: "first".into(),
            links: links(&data_centres, one_way_us),
            ..Note::default()
        };
        for (index, row) in rows.iter().enumerate() {
            note.services
                .add
                .push(service(row, false_ejections, missed_detections));
            note.routes.add.push(Route {
                name: row.name.into(),
                host: None,
                path: format!("/{}", row.name).into(),
                service: row.name.into(),
                shares: Vec::new(),
                terms: Default::default(),
            });
            for number in 0..row.targets {
                note.targets.add.push(Target {
                    name: format!("{}-{number:02}", row.name).into(),
                    service: row.name.into(),
                    data_centre: data_centres[number % data_centres.len()].clone(),
                    address: SocketAddr::from(([127, 0, index as u8 + 1, number as u8], 80)),
                    slots: SLOTS,
                    connections: CONNECTIONS,
                    refusal_is_not_run: true,
                    leaving: false,
                    incarnation: 0,
                });
            }
        }
        let load = |row: &ServiceRow| Load {
            service: row.name.into(),
            per_s: row.per_s,
            work_us: row.work_us,
            baseline_error_rate: 0.0,
        };
        Self {
            data_centres,
            one_way_us,
            instances: INSTANCES,
            note,
            loads: rows.iter().map(load).collect(),
        }
    }
}

fn row(
    name: &'static str,
    class: Class,
    repeat: Repeat,
    targets: usize,
    per_s: f64,
    work_us: u64,
    floor: f64,
) -> ServiceRow {
    ServiceRow {
        name,
        class,
        repeat,
        targets,
        per_s,
        work_us,
        floor_share: floor,
    }
}

fn service(row: &ServiceRow, false_ejection_rate: f64, missed_detection_rate: f64) -> Service {
    Service {
        name: row.name.into(),
        class: row.class,
        repeat: row.repeat,
        time_limit_ms: if row.class == Class::Export {
            60_000
        } else {
            5_000
        },
        floor_share: row.floor_share,
        false_ejection_rate,
        missed_detection_rate,
        retry_share: 0.2,
        queue: 200,
        probe_path: "/health".into(),
    }
}

fn links(data_centres: &[Arc<str>], one_way_us: u64) -> Vec<Link> {
    let mut links = Vec::new();
    for (at, from) in data_centres.iter().enumerate() {
        for to in &data_centres[at + 1..] {
            links.push(Link {
                from: from.clone(),
                to: to.clone(),
                one_way_us,
            });
        }
    }
    links
}

/// Returns a delta that changes and withdraws targets without adding any.
pub(super) fn change_targets(targets: Vec<Target>, withdraw: Vec<Arc<str>>) -> Delta<Target> {
    Delta {
        add: Vec::new(),
        change: targets,
        withdraw,
    }
}
