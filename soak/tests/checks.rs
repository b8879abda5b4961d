//! Tests that the check of each invariant fails on a record that violates only that invariant.

use std::sync::Arc;

use soak::Arrival;
use soak::Change;
use soak::Component;
use soak::FOREIGN_TARGET;
use soak::FaultPeriod;
use soak::Record;
use soak::Request;
use soak::RequestEnd;
use soak::RequestKind;
use soak::checks::check;

const TARGETS: [&str; 4] = ["t0", "t1", "t2", "t3"];

fn answered(status: u16, target: Option<&str>) -> RequestEnd {
    RequestEnd::Answered {
        status,
        target: target.map(Arc::from),
        proven: target.is_some(),
        is_leaving: false,
    }
}

fn request(id: &str, kind: RequestKind, sent_ms: u64, end: RequestEnd) -> Request {
    Request {
        id: id.into(),
        kind,
        customer: Some("kilo".into()),
        instance: 0,
        sent_ms,
        ended_ms: sent_ms + 20,
        end,
    }
}

fn arrival(id: &str, at_ms: u64, target: &str, service: &str) -> Arrival {
    Arrival {
        at_ms,
        id: id.into(),
        target: target.into(),
        service: service.into(),
        customer: Some("kilo".into()),
    }
}

/// Creates a record of ten seconds in which four targets of one service serve all requests.
fn valid_record() -> Record {
    let mut record = Record {
        targets: TARGETS.map(|target| (target.into(), "reads".into())).into(),
        end_ms: 10_000,
        ..Record::default()
    };
    for number in 0..400_u64 {
        let target = TARGETS[number as usize % 4];
        serve(
            &mut record,
            &format!("r{number}"),
            RequestKind::Read,
            number * 25,
            target,
        );
    }
    record
}

fn serve(record: &mut Record, id: &str, kind: RequestKind, sent_ms: u64, target: &str) {
    let end = answered(200, Some(target));
    record.requests.push(request(id, kind, sent_ms, end));
    record
        .arrivals
        .push(arrival(id, sent_ms + 1, target, "reads"));
    record.ran.push((id.into(), target.into()));
}

/// Adds a request on the moving route that arrived at a service.
fn serve_moving_route(record: &mut Record, id: &str, sent_ms: u64, service: &str) {
    let end = answered(200, Some("t0"));
    record
        .requests
        .push(request(id, RequestKind::MovingRoute, sent_ms, end));
    record
        .arrivals
        .push(arrival(id, sent_ms + 1, "t0", service));
}

/// Returns the names of the invariants that a record violates.
fn violated_invariants(record: &Record) -> Vec<&'static str> {
    let mut names: Vec<_> = check(record)
        .iter()
        .map(|violation| violation.invariant)
        .collect();
    names.dedup();
    names
}

#[test]
fn a_valid_record_violates_no_invariant() {
    assert_eq!(violated_invariants(&valid_record()), Vec::<&str>::new());
}

#[test]
fn a_command_that_ran_twice() {
    let mut record = valid_record();
    serve(&mut record, "c", RequestKind::Command, 9_000, "t0");
    record.ran.push(("c".into(), "t1".into()));
    assert_eq!(violated_invariants(&record), ["runs once"]);
}

#[test]
fn an_order_that_ran_twice() {
    let mut record = valid_record();
    // Another instance that can tell the first one of the configuration.
    serve(&mut record, "o2", RequestKind::Read, 100, "t0");
    record.requests.last_mut().expect("one was added").instance = 1;
    serve(&mut record, "o", RequestKind::Order, 5_500, "t0");
    record.ran.push(("o".into(), "t1".into()));
    let moved = |at_ms: u64, service: &str| {
        let service = service.into();
        (at_ms, Change::RouteMoved { service })
    };
    // Idempotent in all configurations, or in one that may not be in force any more.
    record.changes = vec![moved(0, "reads")];
    assert_eq!(violated_invariants(&record), Vec::<&str>::new());
    record.changes.push(moved(3_600, "gates"));
    assert_eq!(violated_invariants(&record), Vec::<&str>::new());
    record.changes[1] = moved(3_400, "gates");
    assert_eq!(violated_invariants(&record), ["orders run once"]);
    record.changes.push(moved(5_510, "reads"));
    assert_eq!(violated_invariants(&record), Vec::<&str>::new());
}

#[test]
fn a_refused_command_that_ran() {
    let mut record = valid_record();
    record.requests.push(request(
        "c",
        RequestKind::Command,
        9_000,
        answered(503, None),
    ));
    record.ran.push(("c".into(), "t1".into()));
    assert_eq!(violated_invariants(&record), ["refusals are true"]);
}

#[test]
fn a_success_that_is_not_proven() {
    let mut record = valid_record();
    record
        .requests
        .push(request("c", RequestKind::Read, 9_000, answered(200, None)));
    assert_eq!(violated_invariants(&record), ["answers are own"]);
}

#[test]
fn reads_that_ran_at_three_targets() {
    let mut record = valid_record();
    for id in ["r0", "r1", "r2", "r3"] {
        record
            .ran
            .extend(TARGETS.map(|target| (id.into(), target.into())));
    }
    assert_eq!(violated_invariants(&record), ["attempts are bound"]);
}

#[test]
fn an_answer_after_the_routes_time_limit() {
    let mut record = valid_record();
    record.requests[10].ended_ms = record.requests[10].sent_ms + 3_600;
    assert_eq!(violated_invariants(&record), ["answers come in time"]);
}

#[test]
fn a_late_answer_of_a_faulty_instance_is_allowed() {
    let mut record = valid_record();
    record.requests[10].ended_ms = record.requests[10].sent_ms + 3_600;
    record.fault_periods.push(FaultPeriod {
        from_ms: 300,
        to_ms: 2_000,
        component: Component::Instance(0),
    });
    assert_eq!(violated_invariants(&record), Vec::<&str>::new());
}

#[test]
fn a_request_to_a_target_that_drained() {
    let mut record = valid_record();
    let target = "t0".into();
    record.changes.push((6_000, Change::Draining { target }));
    assert_eq!(
        violated_invariants(&record),
        ["draining targets get nothing"]
    );
}

#[test]
fn a_request_that_was_read_and_cut() {
    let mut record = valid_record();
    record.requests[300].end = RequestEnd::Cut;
    assert_eq!(violated_invariants(&record), ["nothing is cut"]);
}

#[test]
fn a_request_that_crossed_a_close_is_allowed() {
    let mut record = valid_record();
    record
        .requests
        .push(request("c", RequestKind::Read, 9_000, RequestEnd::Cut));
    assert_eq!(violated_invariants(&record), Vec::<&str>::new());
}

#[test]
fn a_request_to_the_old_service() {
    let mut record = valid_record();
    let service = "gates".into();
    record.changes.push((5_000, Change::RouteMoved { service }));
    serve(&mut record, "m", RequestKind::MovingRoute, 7_100, "t0");
    assert_eq!(
        violated_invariants(&record),
        ["configurations are in force"]
    );
}

#[test]
fn an_instance_that_goes_back_to_the_old_service() {
    let mut record = valid_record();
    record.changes.push((
        5_000,
        Change::RouteMoved {
            service: "gates".into(),
        },
    ));
    serve_moving_route(&mut record, "new", 5_500, "gates");
    serve_moving_route(&mut record, "old", 6_000, "reads");
    assert_eq!(
        violated_invariants(&record),
        ["configurations never revert"]
    );
}

#[test]
fn a_restarted_instance_may_begin_with_the_old_service() {
    let mut record = valid_record();
    record.changes.push((
        5_000,
        Change::RouteMoved {
            service: "gates".into(),
        },
    ));
    record
        .changes
        .push((5_700, Change::Started { instance: 0 }));
    serve_moving_route(&mut record, "new", 5_500, "gates");
    serve_moving_route(&mut record, "old", 6_000, "reads");
    assert_eq!(violated_invariants(&record), Vec::<&str>::new());
}

#[test]
fn retries_beyond_the_budget() {
    let mut record = valid_record();
    for number in 0..150_u64 {
        let id = format!("r{number}");
        record.arrivals.push(arrival(&id, 5_000, "t1", "reads"));
    }
    assert_eq!(violated_invariants(&record), ["retries are bound"]);
}

#[test]
fn fault_free_targets_without_requests_while_some_requests_fail() {
    let mut record = valid_record();
    let is_idle = |id: &str, at_ms: u64| id != "t0" && (4_000..6_500).contains(&at_ms);
    record
        .arrivals
        .retain(|arrival| !is_idle(&arrival.target, arrival.at_ms));
    // The check counts all requests of the service, so those of the idle targets are moved to
    // the busy one.
    for request in &mut record.requests {
        if (4_000..6_500).contains(&request.sent_ms) {
            record
                .arrivals
                .push(arrival(&request.id, request.sent_ms + 1, "t0", "reads"));
            if request.sent_ms % 200 == 0 {
                request.end = answered(502, None);
            }
        }
    }
    assert_eq!(violated_invariants(&record), ["the floor holds"]);
}

#[test]
fn requests_that_fail_after_the_last_fault() {
    let mut record = valid_record();
    record.fault_periods.push(FaultPeriod {
        from_ms: 1_000,
        to_ms: 2_000,
        component: Component::Store,
    });
    for request in record
        .requests
        .iter_mut()
        .filter(|request| request.sent_ms >= 9_500)
    {
        request.end = answered(502, None);
    }
    assert_eq!(violated_invariants(&record), ["service returns"]);
}

#[test]
fn an_instance_that_exited_unexpectedly() {
    let mut record = valid_record();
    record.unexpected_exits.push((5_000, 0));
    assert_eq!(violated_invariants(&record), ["instances stay"]);
}

#[test]
fn an_instance_that_is_not_ready_at_the_end() {
    let mut record = valid_record();
    record.unready_instances.push(2);
    assert_eq!(violated_invariants(&record), ["instances return"]);
}

#[test]
fn a_request_at_the_address_of_an_entry_of_another_writer() {
    let mut record = valid_record();
    record.arrivals[100].target = FOREIGN_TARGET.into();
    record.ran.remove(100);
    assert_eq!(
        violated_invariants(&record),
        ["foreign entries get nothing"]
    );
}

/// A record in which the target `t0` has said at 6 s that it leaves, and gets a request at 9 s.
fn record_with_stated_departure() -> Record {
    let mut record = valid_record();
    let is_late = |request: &Request| request.sent_ms > 6_000;
    let late: Vec<Arc<str>> = record
        .requests
        .iter()
        .filter(|request| is_late(request))
        .map(|request| request.id.clone())
        .collect();
    record
        .arrivals
        .retain(|arrival| &*arrival.target != "t0" || !late.contains(&arrival.id));
    let says_it_leaves = RequestEnd::Answered {
        status: 200,
        target: Some("t0".into()),
        proven: true,
        is_leaving: true,
    };
    record
        .requests
        .push(request("d", RequestKind::Read, 6_000, says_it_leaves));
    record.arrivals.push(arrival("d", 6_001, "t0", "reads"));
    serve(&mut record, "e", RequestKind::Read, 9_000, "t0");
    record
}

#[test]
fn a_request_at_a_target_that_has_said_that_it_leaves() {
    let record = record_with_stated_departure();
    let names = violated_invariants(&record);
    assert!(
        names.contains(&"targets that say they leave get nothing"),
        "{names:?}"
    );
}

#[test]
fn a_restart_or_a_freeze_excuses_requests_at_a_target_that_has_said_that_it_leaves() {
    for change in [
        Change::Started { instance: 0 },
        Change::Resumed { instance: 0 },
    ] {
        let mut record = record_with_stated_departure();
        record.changes.push((8_000, change));
        let names = violated_invariants(&record);
        assert!(
            !names.contains(&"targets that say they leave get nothing"),
            "{names:?}"
        );
    }
}

#[test]
fn a_target_that_sees_another_customer_or_the_request_of_nobody() {
    for customer in [None, Some("lima".into())] {
        let mut record = valid_record();
        record.requests[7].customer = customer;
        assert_eq!(violated_invariants(&record), ["targets see the customer"]);
    }
    let mut record = valid_record();
    record.arrivals[7].customer = None;
    assert_eq!(violated_invariants(&record), ["targets see the customer"]);
}

#[test]
fn a_key_that_is_used_after_its_withdrawal() {
    let violated = |sent_ms: u64, is_frozen: bool| {
        let mut record = valid_record();
        for (at_ms, service) in [(0, "reads"), (1_000, "gates"), (8_000, "reads")] {
            let service = service.into();
            record.changes.push((at_ms, Change::RouteMoved { service }));
        }
        let end = answered(200, Some("t0"));
        let guest = request("g", RequestKind::Guest, sent_ms, end);
        record.guests.push(guest);
        record
            .arrivals
            .push(arrival("g", sent_ms + 1, "t0", "reads"));
        if is_frozen {
            record.fault_periods.push(FaultPeriod {
                from_ms: 900,
                to_ms: 6_000,
                component: Component::Instance(0),
            });
        }
        violated_invariants(&record)
    };
    assert_eq!(violated(7_000, false), ["withdrawn keys are refused"]);
    for (sent_ms, is_frozen) in [(500, false), (1_100, false), (7_000, true), (9_000, false)] {
        assert_eq!(violated(sent_ms, is_frozen), Vec::<&str>::new());
    }
}

#[test]
fn a_known_key_that_is_refused() {
    let mut record = valid_record();
    let refused = answered(401, None);
    record
        .requests
        .push(request("a", RequestKind::Read, 100, refused));
    let names = violated_invariants(&record);
    assert!(names.contains(&"known keys are accepted"), "{names:?}");
}
