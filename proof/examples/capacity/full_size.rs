//! Generates a configuration and members of the deployment size that the software is
//! designed for.

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
pub(super) const INSTANCES: usize = 4_000;
const DATA_CENTRES: usize = 9;
const OBJECTS_PER_NOTE: usize = 3_000;

pub(super) fn data_centre(index: usize) -> Arc<str> {
    format!("dc-{}", index % DATA_CENTRES).into()
}

pub(super) fn service_name(index: usize) -> Arc<str> {
    format!("service-{index:03}").into()
}

pub(super) fn services_note() -> Note {
    let service = |index: usize| Service {
        name: service_name(index),
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
        services: delta_adding((0..SERVICES).map(service)),
        ..Note::default()
    }
}

pub(super) fn target(index: usize) -> Target {
    Target {
        name: format!("target-{index:05}").into(),
        service: service_name(index % SERVICES),
        data_centre: data_centre(index / SERVICES),
        address: SocketAddr::from((
            [10, (index / 65_536) as u8, (index / 256) as u8, index as u8],
            80,
        )),
        slots: 6,
        connections: 300,
        refusal_is_not_run: false,
        leaving: false,
        incarnation: 0,
    }
}

pub(super) fn target_notes() -> Vec<Note> {
    let note = |targets| Note {
        targets,
        ..Note::default()
    };
    deltas(TARGETS, target).map(note).collect()
}

pub(super) fn route_notes(count: usize) -> Vec<Note> {
    let route = |index: usize| Route {
        name: format!("route-{index:05}").into(),
        host: Some(format!("host-{}.example", index % 500).into()),
        path: format!("/area-{}/part-{index}", index % 50).into(),
        service: service_name(index % SERVICES),
        shares: Vec::new(),
        terms: Default::default(),
    };
    let note = |routes| Note {
        routes,
        ..Note::default()
    };
    deltas(count, route).map(note).collect()
}

pub(super) fn customer_notes() -> Vec<Note> {
    let customer = |index: usize| {
        let name = format!("customer-{index:06}");
        Customer::new(name.into(), 256)
    };
    let note = |customers| Note {
        customers,
        ..Note::default()
    };
    deltas(CUSTOMERS, customer).map(note).collect()
}

pub(super) fn member(index: usize) -> Member {
    Member {
        id: format!("instance-{index:04}").into(),
        data_centre: data_centre(index),
        caller_address: SocketAddr::from(([10, 9, (index / 256) as u8, index as u8], 8080)),
        peer_address: SocketAddr::from(([10, 9, (index / 256) as u8, index as u8], 8081)),
        incarnation: 1_764_800_000_000,
        status: Status::Alive,
    }
}

/// Applies notes to a configuration in order.
pub(super) fn apply_all(mut configuration: Configuration, notes: &[Note]) -> Configuration {
    for note in notes {
        configuration = note.apply(&configuration).expect("the note is valid");
    }
    configuration
}

fn deltas<T>(
    count: usize,
    new_object: impl Fn(usize) -> T + Copy,
) -> impl Iterator<Item = Delta<T>> {
    (0..count)
        .step_by(OBJECTS_PER_NOTE)
        .map(move |from| delta_adding((from..(from + OBJECTS_PER_NOTE).min(count)).map(new_object)))
}

fn delta_adding<T>(objects: impl Iterator<Item = T>) -> Delta<T> {
    Delta {
        add: objects.collect(),
        ..Delta::default()
    }
}
