//! A configuration of the aimed size.

use std::net::SocketAddr;
use std::sync::Arc;

use model::Configuration;
use model::Note;
use model::configuration::Class;
use model::configuration::Customer;
use model::configuration::Repeat;
use model::configuration::Route;
use model::configuration::Service;
use model::configuration::Target;
use model::note::Delta;
use policy::membership::Member;
use policy::membership::Status;

pub(super) const SERVICES: usize = 980;
pub(super) const TARGETS: usize = 42_000;
pub(super) const ROUTES: usize = 11_000;
pub(super) const CUSTOMERS: usize = 130_000;
pub(super) const NODES: usize = 4_000;
const DATA_CENTRES: usize = 9;
const CHUNK: usize = 3_000;

pub(super) fn data_centre(at: usize) -> Arc<str> {
    format!("dc-{}", at % DATA_CENTRES).into()
}

pub(super) fn service_name(at: usize) -> Arc<str> {
    format!("service-{at:03}").into()
}

pub(super) fn services() -> Note {
    let service = |at: usize| Service {
        name: service_name(at),
        class: Class::Live,
        repeat: Repeat::Idempotent,
        time_limit_ms: 5_000,
        floor_share: 0.5,
        false_ejection_rate: 1e-6,
        missed_detection_rate: 1e-3,
        retry_share: 0.1,
        queue: 200,
        probe_path: "/health".into(),
    };
    Note {
        services: added((0..SERVICES).map(service)),
        ..Note::default()
    }
}

pub(super) fn target(at: usize) -> Target {
    Target {
        name: format!("target-{at:05}").into(),
        service: service_name(at % SERVICES),
        data_centre: data_centre(at / SERVICES),
        address: SocketAddr::from(([10, (at / 65_536) as u8, (at / 256) as u8, at as u8], 80)),
        slots: 6,
        connections: 300,
        refusal_is_not_run: false,
        leaving: false,
        incarnation: 0,
    }
}

pub(super) fn targets() -> Vec<Note> {
    let note = |targets| Note {
        targets,
        ..Note::default()
    };
    chunks(TARGETS, target).map(note).collect()
}

pub(super) fn routes(count: usize) -> Vec<Note> {
    let route = |at: usize| Route {
        name: format!("route-{at:05}").into(),
        host: Some(format!("host-{}.example", at % 500).into()),
        path: format!("/area-{}/part-{at}", at % 50).into(),
        service: service_name(at % SERVICES),
        shares: Vec::new(),
        terms: Default::default(),
    };
    let note = |routes| Note {
        routes,
        ..Note::default()
    };
    chunks(count, route).map(note).collect()
}

pub(super) fn customers() -> Vec<Note> {
    let customer = |at: usize| Customer {
        name: format!("customer-{at:06}").into(),
        in_flight: 256,
    };
    let note = |customers| Note {
        customers,
        ..Note::default()
    };
    chunks(CUSTOMERS, customer).map(note).collect()
}

pub(super) fn member(at: usize) -> Member {
    Member {
        id: format!("instance-{at:04}").into(),
        data_centre: data_centre(at),
        caller_address: SocketAddr::from(([10, 9, (at / 256) as u8, at as u8], 8080)),
        peer_address: SocketAddr::from(([10, 9, (at / 256) as u8, at as u8], 8081)),
        incarnation: 1_764_800_000_000,
        status: Status::Alive,
    }
}

/// Applies notes in order.
pub(super) fn apply_all(mut configuration: Configuration, notes: &[Note]) -> Configuration {
    for note in notes {
        configuration = note.apply(&configuration).expect("the note fits");
    }
    configuration
}

fn chunks<T>(count: usize, make: impl Fn(usize) -> T + Copy) -> impl Iterator<Item = Delta<T>> {
    (0..count)
        .step_by(CHUNK)
        .map(move |from| added((from..(from + CHUNK).min(count)).map(make)))
}

fn added<T>(objects: impl Iterator<Item = T>) -> Delta<T> {
    Delta {
        add: objects.collect(),
        ..Delta::default()
    }
}
