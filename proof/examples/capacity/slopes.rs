//! Measures the slopes: memory, time, allocations and message sizes per object or
//! operation, with the full-size configuration.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use model::Configuration;
use model::Note;
use model::note::Delta;
use policy::Input;
use policy::Instance;
use policy::evidence::HealthDecision;
use policy::evidence::HealthState;
use policy::evidence::Report;
use policy::evidence::Tally;
use policy::evidence::TargetReport;
use policy::exchange::AttemptEnd;
use policy::exchange::Event;
use policy::exchange::Exchange;
use policy::exchange::Observation;
use policy::exchange::Request;
use policy::instance::Envelope;
use policy::instance::Message;
use policy::instance::PlatformAnswer;
use policy::membership::Status;
use policy::notes::NumberedNote;
use policy::quarantine::Fingerprint;
use proof::capacity::Slopes;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::allocations;
use super::full_size;

/// Calls per round of a cheap operation.
const FAST_CALLS: u64 = 20_000;
/// Calls per round of an expensive operation.
const SLOW_CALLS: u64 = 200;
const SMALL_ROUTE_COUNT: usize = 1_100;

/// Returns the time in nanoseconds and the allocations per call, from the round with the
/// median time of five.
pub(super) fn measure_time(calls_per_round: u64, mut call: impl FnMut(u64)) -> (f64, f64) {
    let mut rounds: Vec<(f64, f64)> = (0..5)
        .map(|round| {
            let allocations = allocations::allocation_count();
            let started = Instant::now();
            for number in 0..calls_per_round {
                call(round * calls_per_round + number);
            }
            let ns = started.elapsed().as_nanos() as f64 / calls_per_round as f64;
            (
                ns,
                (allocations::allocation_count() - allocations) as f64 / calls_per_round as f64,
            )
        })
        .collect();
    rounds.sort_by(|a, b| a.0.total_cmp(&b.0));
    rounds[2]
}

/// Returns the value that `build` makes and the bytes that this leaves allocated.
pub(super) fn measure_memory<T>(build: impl FnOnce() -> T) -> (T, f64) {
    let before = allocations::bytes_in_use();
    let value = build();
    let bytes = allocations::bytes_in_use() - before;
    (value, bytes)
}

fn instance_from_snapshot(configuration_parts: &[Note], number: u64) -> Instance {
    let mut instance = Instance::new(policy::Settings::new(full_size::member(0), 1));
    let parts = configuration_parts
        .iter()
        .map(|part| serde_json::to_string(part).expect("note serializes").into());
    let parts: Vec<Arc<str>> = parts.collect();
    instance.handle(
        1,
        Input::Platform(PlatformAnswer::Snapshot { number, parts }),
    );
    instance.handle(2, Input::Platform(PlatformAnswer::Notes(Vec::new())));
    instance
}

fn message_bytes(message: Message, member_updates: usize) -> f64 {
    let envelope = Envelope {
        from: full_size::member(1).id,
        incarnation: 1_764_800_000_000,
        note: 100_000,
        targets_changed: 0,
        view_age_ms: None,
        member_updates: (0..member_updates).map(full_size::member).collect(),
        message,
    };
    peers::encode(&envelope).map_or(0, |bytes| bytes.len()) as f64
}

fn report(service: usize, abnormal: u32) -> Report {
    Report {
        service: full_size::service_name(service),
        sampling_shift: 4,
        has_latency_estimate: true,
        samples_us: vec![25_000],
        targets: vec![TargetReport {
            target: full_size::target(service).name,
            tally: Tally {
                normal: 1 - abnormal,
                abnormal,
            },
        }],
    }
}

fn decision(service: usize, health: HealthState) -> HealthDecision {
    HealthDecision {
        service: full_size::service_name(service),
        target: full_size::target(service).name,
        health,
        from: Vec::new(),
    }
}

fn from_peer(index: usize, message: Message) -> Input {
    let member = full_size::member(index);
    Input::Received(Envelope {
        from: member.id,
        incarnation: member.incarnation,
        note: 0,
        targets_changed: 0,
        view_age_ms: None,
        member_updates: Vec::new(),
        message,
    })
}

fn leaving_note(index: usize, leaving: bool) -> Note {
    let mut target = full_size::target(index);
    target.leaving = leaving;
    Note {
        title: "a target leaves".into(),
        submission: "0123456789abcdef".into(),
        targets: Delta {
            change: vec![target],
            ..Delta::default()
        },
        ..Note::default()
    }
}

pub(super) fn measure() -> Slopes {
    let services = full_size::apply_all(Configuration::default(), &[full_size::services_note()]);
    let targets = full_size::target_notes();
    let (with_targets, target_bytes) =
        measure_memory(|| full_size::apply_all(services.clone(), &targets));
    let few_routes = full_size::apply_all(
        with_targets.clone(),
        &full_size::route_notes(SMALL_ROUTE_COUNT),
    );
    let routes = full_size::route_notes(full_size::ROUTES);
    let (with_routes, route_bytes) =
        measure_memory(|| full_size::apply_all(with_targets.clone(), &routes));
    let customers = full_size::customer_notes();
    let (configuration, customer_bytes) =
        measure_memory(|| full_size::apply_all(with_routes.clone(), &customers));
    drop((targets, routes, customers));

    let lookup = |configuration: &Configuration, number: u64| {
        let index = number as usize % SMALL_ROUTE_COUNT;
        let host = format!("host-{}.example", index % 500);
        let path = format!("/area-{}/part-{index}/more/of/it", index % 50);
        black_box(configuration.route(&host, &path)).is_some()
    };
    let (route_lookup_small_ns, _) =
        measure_time(FAST_CALLS, |number| assert!(lookup(&few_routes, number)));
    let (route_lookup_ns, _) =
        measure_time(FAST_CALLS, |number| assert!(lookup(&configuration, number)));
    let (customer_lookup_ns, _) = measure_time(FAST_CALLS, |number| {
        let name = format!("customer-{:06}", number % full_size::CUSTOMERS as u64);
        black_box(configuration.customers.get(name.as_str()));
    });
    let (apply_ns, _) = measure_time(SLOW_CALLS, |number| {
        let note = leaving_note(number as usize, true);
        black_box(note.apply(&configuration).expect("the note is valid"));
    });

    let parts = configuration.to_parts();
    let texts = parts
        .iter()
        .filter_map(|part| serde_json::to_string(part).ok());
    let snapshot_bytes = texts.map(|text| text.len()).sum::<usize>() as f64;
    let configuration_bytes = target_bytes + route_bytes + customer_bytes;
    let (mut instance, instance_bytes) = measure_memory(|| instance_from_snapshot(&parts, 100_000));
    drop(parts);
    let routed_bytes = (instance_bytes - configuration_bytes).max(0.0);

    let mut number = 100_000;
    let (take_note_ns, _) = measure_time(SLOW_CALLS, |index| {
        number += 1;
        let note = leaving_note(index as usize % 1_000, index % 2 == 0);
        let text: Arc<str> = serde_json::to_string(&note)
            .expect("note serializes")
            .into();
        let note = NumberedNote { number, text };
        instance.handle(3, Input::Platform(PlatformAnswer::Notes(vec![note])));
    });

    let ((), observed_bytes) = measure_memory(|| observe_all_services(&mut instance));
    let (observe_ns, observe_allocations) = measure_time(FAST_CALLS, |number| {
        observe(
            &mut instance,
            number as usize % full_size::SERVICES,
            number * 1_000,
        );
    });
    let (exchange_ns, exchange_allocations) =
        measure_time(FAST_CALLS, |number| run_exchange(&instance, number));

    let (_, members_bytes) = measure_memory(|| {
        let members = (0..full_size::INSTANCES).map(full_size::member).collect();
        instance.handle(10, Input::Platform(PlatformAnswer::Instances(members)));
        // Reporting on each service looks up its owners, so their rankings are included.
        observe_all_services(&mut instance);
        instance.handle(1_000_000, Input::Tick)
    });
    let (member_change_ns, _) = measure_time(SLOW_CALLS, |number| {
        let index = 1 + number as usize % (full_size::INSTANCES - 1);
        let mut member = full_size::member(index);
        member.incarnation += 1 + number;
        member.status = if number % 2 == 0 {
            Status::Left
        } else {
            Status::Alive
        };
        instance.handle(20, Input::Platform(PlatformAnswer::Instances(vec![member])));
    });
    let (tick_ns, _) = measure_time(SLOW_CALLS, |number| {
        instance.handle(2_000_000 + number * 50_000, Input::Tick);
    });
    let (report_ns, _) = measure_time(FAST_CALLS, |number| {
        let report = report(
            number as usize % full_size::SERVICES,
            u32::from(number % 50 == 0),
        );
        instance.handle(
            60_000_000 + number * 100,
            from_peer(2, Message::Reports(vec![report])),
        );
    });
    let (verdict_ns, _) = measure_time(2_000, |number| {
        let health = if number % 2 == 0 {
            HealthState::Ejected
        } else {
            HealthState::Healthy
        };
        let decisions = vec![decision(
            (number / 2) as usize % full_size::SERVICES,
            health,
        )];
        let owner = full_size::member(2).id;
        let message = Message::HealthDecisions {
            owner,
            decisions,
            id_range: None,
        };
        instance.handle(70_000_000 + number, from_peer(2, message));
    });

    let decisions_bytes = |count: usize| {
        let decisions = (0..count)
            .map(|index| decision(index, HealthState::Ejected))
            .collect();
        let message = Message::HealthDecisions {
            owner: full_size::member(2).id,
            decisions,
            id_range: None,
        };
        message_bytes(message, 0)
    };
    let note_text: Arc<str> = serde_json::to_string(&leaving_note(1, true))
        .expect("note serializes")
        .into();
    let note = NumberedNote {
        number: 100_001,
        text: note_text,
    };
    let ping = Message::Ping {
        sequence: 1_000_000,
    };
    Slopes {
        route_bytes: route_bytes / full_size::ROUTES as f64,
        customer_bytes: customer_bytes / full_size::CUSTOMERS as f64,
        target_bytes: target_bytes / full_size::TARGETS as f64,
        routed_target_bytes: routed_bytes / full_size::TARGETS as f64,
        observed_service_bytes: observed_bytes / full_size::SERVICES as f64,
        member_bytes: members_bytes / full_size::INSTANCES as f64,
        route_lookup_small_ns,
        route_lookup_ns,
        customer_lookup_ns,
        apply_ns,
        take_note_ns,
        exchange_ns,
        exchange_allocations,
        observe_ns,
        observe_allocations,
        report_ns,
        tick_ns,
        verdict_ns,
        member_change_ns,
        ping_bytes: message_bytes(ping.clone(), 0),
        news_bytes: message_bytes(ping.clone(), 1) - message_bytes(ping, 0),
        report_bytes: message_bytes(Message::Reports(vec![report(1, 0)]), 0),
        verdict_bytes: decisions_bytes(1),
        more_verdict_bytes: decisions_bytes(2) - decisions_bytes(1),
        note_bytes: message_bytes(
            Message::NewNote {
                note,
                id_range: None,
            },
            0,
        ),
        frame_bytes: measure_frame_bytes(),
        snapshot_bytes,
    }
}

/// Returns the bytes that a call between instances sends besides its payload, as received
/// by a listener that does not reply.
fn measure_frame_bytes() -> f64 {
    let envelope = Envelope {
        from: full_size::member(1).id,
        incarnation: 1_764_800_000_000,
        note: 100_000,
        targets_changed: 0,
        view_age_ms: None,
        member_updates: Vec::new(),
        message: Message::Ping {
            sequence: 1_000_000,
        },
    };
    let payload = peers::encode(&envelope).map_or(0, |bytes| bytes.len());
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    let received = runtime.block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a local port is available");
        let address = listener.local_addr().expect("the listener is bound");
        peers::Sender::new(Arc::default()).send(address, &envelope);
        let (mut stream, _) = listener.accept().await.expect("the sender connects");
        let mut buffer = vec![0; 4_096];
        tokio::io::AsyncReadExt::read(&mut stream, &mut buffer)
            .await
            .expect("the call is received")
    });
    received.saturating_sub(payload) as f64
}

fn observe_all_services(instance: &mut Instance) {
    for service in 0..full_size::SERVICES {
        for _ in 0..4 {
            observe(instance, service, 5);
        }
    }
}

fn observe(instance: &mut Instance, service: usize, now_us: u64) {
    let observation = Observation {
        service: full_size::service_name(service),
        target: full_size::target(service).name,
        end: AttemptEnd::Answered {
            good: true,
            latency_us: 25_000,
        },
        overdue_reports: 0,
        has_full_time: true,
    };
    instance.handle(now_us, Input::Observed(observation));
}

fn run_exchange(instance: &Instance, number: u64) {
    let table = instance.shared().table();
    let service = table.services.get(&*full_size::service_name(
        number as usize % full_size::SERVICES,
    ));
    let service = service.expect("the service is configured").clone();
    let mut rng = ChaCha8Rng::seed_from_u64(number);
    let now_us = 100_000_000 + number;
    let request = Request {
        caller_deadline_us: now_us + 1_000_000,
        deadline_us: now_us + 1_000_000,
        fingerprint: Fingerprint::default(),
        may_hand_over: false,
        is_handed_over: false,
        claims_key: false,
        replayable: true,
        repeatable: service.is_repeatable(),
        max_attempts: policy::exchange::MAX_ATTEMPTS,
        priority: None,
        objective_us: None,
        began_us: 0,
    };
    let mut exchange = Exchange::new(request, service);
    black_box(exchange.on(now_us, Event::Begin, &mut rng));
    let head = Event::Head {
        attempt: 0,
        status: 200,
    };
    black_box(exchange.on(now_us, head, &mut rng));
    black_box(exchange.on(now_us, Event::Ended, &mut rng));
}
