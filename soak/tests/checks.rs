//! Each promise's check, shown able to fail on a record that breaks only it.

use std::sync::Arc;

use soak::Arrival;
use soak::Change;
use soak::End;
use soak::Kind;
use soak::Place;
use soak::Record;
use soak::Request;
use soak::Trouble;
use soak::checks::check;

const TARGETS: [&str; 4] = ["t0", "t1", "t2", "t3"];

fn answered(status: u16, target: Option<&str>) -> End {
    End::Answered {
        status,
        target: target.map(Arc::from),
        proven: target.is_some(),
    }
}

fn request(id: &str, kind: Kind, sent_ms: u64, end: End) -> Request {
    Request {
        id: id.into(),
        kind,
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
    }
}

/// Ten seconds in which four targets of one service serve all.
fn whole() -> Record {
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
            Kind::Read,
            number * 25,
            target,
        );
    }
    record
}

fn serve(record: &mut Record, id: &str, kind: Kind, sent_ms: u64, target: &str) {
    let end = answered(200, Some(target));
    record.requests.push(request(id, kind, sent_ms, end));
    record
        .arrivals
        .push(arrival(id, sent_ms + 1, target, "reads"));
    record.ran.push((id.into(), target.into()));
}

/// A request on the route that moves, as a service got it.
fn show(record: &mut Record, id: &str, sent_ms: u64, service: &str) {
    let end = answered(200, Some("t0"));
    record.requests.push(request(id, Kind::Moved, sent_ms, end));
    record
        .arrivals
        .push(arrival(id, sent_ms + 1, "t0", service));
}

/// The names of the promises that a record breaks.
fn promises(record: &Record) -> Vec<&'static str> {
    let mut names: Vec<_> = check(record).iter().map(|broken| broken.promise).collect();
    names.dedup();
    names
}

#[test]
fn a_whole_record_breaks_nothing() {
    assert_eq!(promises(&whole()), Vec::<&str>::new());
}

#[test]
fn a_command_that_ran_twice() {
    let mut record = whole();
    serve(&mut record, "c", Kind::Command, 9_000, "t0");
    record.ran.push(("c".into(), "t1".into()));
    assert_eq!(promises(&record), ["runs once"]);
}

#[test]
fn a_refused_command_that_ran() {
    let mut record = whole();
    record
        .requests
        .push(request("c", Kind::Command, 9_000, answered(503, None)));
    record.ran.push(("c".into(), "t1".into()));
    assert_eq!(promises(&record), ["refusals are true"]);
}

#[test]
fn a_success_of_another_request() {
    let mut record = whole();
    record
        .requests
        .push(request("c", Kind::Read, 9_000, answered(200, None)));
    assert_eq!(promises(&record), ["answers are own"]);
}

#[test]
fn reads_that_ran_at_three_targets() {
    let mut record = whole();
    for id in ["r0", "r1", "r2", "r3"] {
        record
            .ran
            .extend(TARGETS.map(|target| (id.into(), target.into())));
    }
    assert_eq!(promises(&record), ["attempts are bound"]);
}

#[test]
fn an_answer_after_the_routes_time_limit() {
    let mut record = whole();
    record.requests[10].ended_ms = record.requests[10].sent_ms + 3_600;
    assert_eq!(promises(&record), ["answers come in time"]);
}

#[test]
fn a_late_answer_of_an_instance_in_trouble_is_allowed() {
    let mut record = whole();
    record.requests[10].ended_ms = record.requests[10].sent_ms + 3_600;
    record.troubles.push(Trouble {
        from_ms: 300,
        to_ms: 2_000,
        place: Place::Instance(0),
    });
    assert_eq!(promises(&record), Vec::<&str>::new());
}

#[test]
fn a_request_to_a_target_that_drained() {
    let mut record = whole();
    let target = "t0".into();
    record.changes.push((6_000, Change::Draining { target }));
    assert_eq!(promises(&record), ["draining targets get nothing"]);
}

#[test]
fn a_request_that_was_read_and_cut() {
    let mut record = whole();
    record.requests[300].end = End::Cut;
    assert_eq!(promises(&record), ["nothing is cut"]);
}

#[test]
fn a_request_that_crossed_a_close_is_allowed() {
    let mut record = whole();
    record
        .requests
        .push(request("c", Kind::Read, 9_000, End::Cut));
    assert_eq!(promises(&record), Vec::<&str>::new());
}

#[test]
fn a_request_to_the_old_service() {
    let mut record = whole();
    let service = "gates".into();
    record.changes.push((5_000, Change::Moved { service }));
    serve(&mut record, "m", Kind::Moved, 7_100, "t0");
    assert_eq!(promises(&record), ["configurations are in force"]);
}

#[test]
fn an_instance_that_goes_back_to_the_old_service() {
    let mut record = whole();
    record.changes.push((
        5_000,
        Change::Moved {
            service: "gates".into(),
        },
    ));
    show(&mut record, "new", 5_500, "gates");
    show(&mut record, "old", 6_000, "reads");
    assert_eq!(promises(&record), ["configurations never revert"]);
}

#[test]
fn a_restarted_instance_may_begin_with_the_old_service() {
    let mut record = whole();
    record.changes.push((
        5_000,
        Change::Moved {
            service: "gates".into(),
        },
    ));
    record
        .changes
        .push((5_700, Change::Started { instance: 0 }));
    show(&mut record, "new", 5_500, "gates");
    show(&mut record, "old", 6_000, "reads");
    assert_eq!(promises(&record), Vec::<&str>::new());
}

#[test]
fn retries_beyond_the_budget() {
    let mut record = whole();
    for number in 0..150_u64 {
        let id = format!("r{number}");
        record.arrivals.push(arrival(&id, 5_000, "t1", "reads"));
    }
    assert_eq!(promises(&record), ["retries are bound"]);
}

#[test]
fn sound_targets_without_work_while_some_requests_fail() {
    let mut record = whole();
    let is_idle = |id: &str, at_ms: u64| id != "t0" && (4_000..6_500).contains(&at_ms);
    record
        .arrivals
        .retain(|arrival| !is_idle(&arrival.target, arrival.at_ms));
    // All of the service's requests count, so the others went to the busy target.
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
    assert_eq!(promises(&record), ["the floor holds"]);
}

#[test]
fn requests_that_fail_after_the_last_fault() {
    let mut record = whole();
    record.troubles.push(Trouble {
        from_ms: 1_000,
        to_ms: 2_000,
        place: Place::Store,
    });
    for request in record
        .requests
        .iter_mut()
        .filter(|request| request.sent_ms >= 9_500)
    {
        request.end = answered(502, None);
    }
    assert_eq!(promises(&record), ["service returns"]);
}

#[test]
fn an_instance_that_ended() {
    let mut record = whole();
    record.ended_by_themselves.push((5_000, 0));
    assert_eq!(promises(&record), ["instances stay"]);
}
