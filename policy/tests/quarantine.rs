//! Which requests are quarantined, for how long, and what lifts it.

use policy::quarantine::CRASHES_UNTIL_QUARANTINE;
use policy::quarantine::Crash;
use policy::quarantine::Fingerprint;
use policy::quarantine::Quarantine;
use policy::quarantine::QuarantineView;
use policy::quarantine::RequestContent;
use policy::routing::TargetProcess;

const SECOND_US: u64 = 1_000_000;
/// Longer than a decision waits for reports.
const SETTLED_US: u64 = SECOND_US;
const HOUR_US: u64 = 3_600 * SECOND_US;

fn content(path: &str) -> RequestContent<'_> {
    RequestContent {
        customer: None,
        method: "GET",
        host: "a.example",
        path,
        body_length: Some(0),
        body: b"",
    }
}

fn fingerprint(path: &str) -> Fingerprint {
    content(path).fingerprint()
}

fn crash(path: &str, incarnation: u64) -> Crash {
    Crash {
        fingerprint: fingerprint(path),
        process: TargetProcess {
            target: "t1".into(),
            incarnation,
        },
    }
}

/// A quarantine in which `/deadly` was at `crashes` crashes, decided at [`SETTLED_US`].
fn with_crashes(crashes: u64) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for incarnation in 0..crashes {
        quarantine.record(0, crash("/deadly", incarnation), true);
    }
    quarantine.decide(SETTLED_US);
    quarantine
}

fn is_quarantined(quarantine: &Quarantine, now_us: u64, path: &str) -> bool {
    let report = quarantine.quarantined(now_us, &fingerprint(path));
    report.is_some()
}

#[test]
fn a_request_is_quarantined_from_the_third_crash() {
    let needed = CRASHES_UNTIL_QUARANTINE as u64;
    assert!(!is_quarantined(
        &with_crashes(needed - 1),
        SETTLED_US,
        "/deadly"
    ));
    assert!(is_quarantined(&with_crashes(needed), SETTLED_US, "/deadly"));
}

#[test]
fn the_end_of_one_process_counts_once() {
    let mut quarantine = Quarantine::default();
    for _ in 0..5 {
        quarantine.record(0, crash("/deadly", 7), true);
    }
    assert!(quarantine.decide(SETTLED_US).is_empty());
}

#[test]
fn a_response_clears_the_crashes_before_it() {
    let mut quarantine = with_crashes(2);
    quarantine.clear(SETTLED_US, &fingerprint("/deadly"));
    quarantine.record(SETTLED_US, crash("/deadly", 9), true);
    assert!(quarantine.decide(2 * SETTLED_US).is_empty());
}

#[test]
fn older_reports_of_others_do_not_bring_a_cleared_request_back() {
    let other = with_crashes(3);
    let mut quarantine = with_crashes(3);
    quarantine.clear(SETTLED_US, &fingerprint("/deadly"));
    for report in other.reports(SETTLED_US) {
        assert!(!quarantine.merge(SETTLED_US, report));
    }
    assert!(!is_quarantined(&quarantine, SETTLED_US, "/deadly"));
}

#[test]
fn an_instance_without_cases_learns_the_quarantine_of_others() {
    let other = with_crashes(3);
    let mut started = Quarantine::default();
    for report in other.reports(SETTLED_US) {
        assert!(started.merge(SETTLED_US, report));
    }
    assert!(is_quarantined(&started, 60 * SECOND_US, "/deadly"));
}

#[test]
fn a_crash_after_the_quarantine_starts_a_longer_one() {
    let mut quarantine = with_crashes(3);
    let first = quarantine.quarantined(SETTLED_US, &fingerprint("/deadly"));
    let first_ms = first.and_then(|report| report.left_ms);
    let end_us = SETTLED_US + first_ms.expect("not quarantined") * 1_000;
    assert!(!is_quarantined(&quarantine, end_us, "/deadly"));
    quarantine.record(end_us, crash("/deadly", 20), true);
    quarantine.decide(end_us + SETTLED_US);
    let second = quarantine.quarantined(end_us + SETTLED_US, &fingerprint("/deadly"));
    let second_ms = second.and_then(|report| report.left_ms);
    assert_eq!(second_ms, first_ms.map(|first_ms| 2 * first_ms));
}

#[test]
fn a_quarantine_that_has_ended_is_not_brought_back_by_others() {
    let mut quarantine = with_crashes(3);
    let mut started = Quarantine::default();
    let now_us = 601 * SECOND_US;
    for report in quarantine.reports(now_us) {
        started.merge(now_us, report);
    }
    assert!(started.decide(now_us + SETTLED_US).is_empty());
    assert!(quarantine.decide(now_us + SETTLED_US).is_empty());
}

/// A quarantine whose trial of `/deadly` was permitted, and the time of the permit.
fn with_trial(is_owner: bool) -> (Quarantine, u64) {
    let mut quarantine = with_crashes(4);
    let trial_us = SETTLED_US + 3 * SECOND_US;
    quarantine.permit_trials(trial_us, |_| is_owner);
    (quarantine, trial_us)
}

/// The same after its trial has crashed a target.
fn with_crashed_trial() -> (Quarantine, u64) {
    let (mut quarantine, trial_us) = with_trial(true);
    quarantine.record(trial_us, crash("/deadly", 30), true);
    let now_us = trial_us + SETTLED_US;
    quarantine.permit_trials(now_us, |_| true);
    (quarantine, now_us)
}

fn has_trial(quarantine: &Quarantine, now_us: u64) -> bool {
    let view = QuarantineView::default();
    view.publish(quarantine.views());
    view.take_trial(now_us, &fingerprint("/deadly"))
}

#[test]
fn the_permit_for_a_trial_lapses_while_the_owner_is_suspended() {
    let (quarantine, trial_us) = with_trial(true);
    assert!(!has_trial(&quarantine, trial_us + 60 * SECOND_US));
}

#[test]
fn only_the_owner_tries_a_quarantined_request_and_once() {
    let (quarantine, trial_us) = with_trial(true);
    assert!(has_trial(&quarantine, trial_us));
    assert!(!has_trial(&quarantine, trial_us));
    let (quarantine, trial_us) = with_trial(false);
    assert!(!has_trial(&quarantine, trial_us));
}

#[test]
fn a_crash_in_the_trial_confirms_the_quarantine() {
    for is_owner in [true, false] {
        let (mut quarantine, trial_us) = with_trial(is_owner);
        quarantine.record(trial_us, crash("/deadly", 30), is_owner);
        let now_us = trial_us + SETTLED_US;
        quarantine.permit_trials(now_us, |_| true);
        for report in quarantine.reports(now_us) {
            assert!(report.is_confirmed);
        }
        let later_us = now_us + 60 * SECOND_US;
        quarantine.permit_trials(later_us, |_| true);
        assert!(!has_trial(&quarantine, later_us));
    }
}

#[test]
fn a_crash_at_which_another_suspect_was_repeats_the_trial_once() {
    let (mut quarantine, trial_us) = with_trial(true);
    for incarnation in [30, 31] {
        quarantine.record(trial_us, crash("/suspect", incarnation), true);
    }
    quarantine.record(trial_us, crash("/deadly", 30), true);
    quarantine.permit_trials(trial_us + SETTLED_US, |_| true);
    let again_us = trial_us + 4 * SECOND_US;
    quarantine.permit_trials(again_us, |_| true);
    assert!(has_trial(&quarantine, again_us));
    quarantine.record(again_us, crash("/deadly", 31), true);
    quarantine.permit_trials(again_us + SETTLED_US, |_| true);
    let later_us = again_us + 60 * SECOND_US;
    quarantine.permit_trials(later_us, |_| true);
    assert!(!has_trial(&quarantine, later_us));
}

#[test]
fn crashes_of_a_confirmed_quarantine_do_not_count_for_requests_beside_it() {
    let (mut quarantine, now_us) = with_crashed_trial();
    for incarnation in 0..3 {
        quarantine.record(now_us, crash("/beside", incarnation), true);
    }
    assert!(quarantine.decide(now_us + SETTLED_US).is_empty());
}

#[test]
fn ever_new_requests_use_a_bounded_number_of_cases() {
    let mut quarantine = Quarantine::default();
    for number in 0..10_000 {
        quarantine.record(number, crash(&format!("/{number}"), number), true);
    }
    assert!(quarantine.reports(SECOND_US).len() <= 2_048);
    assert!(quarantine.tick(HOUR_US));
    assert!(quarantine.reports(HOUR_US).is_empty());
}

#[test]
fn each_part_of_the_content_identifies_a_request() {
    let contents = [
        content("/a"),
        content("/a?b=1"),
        RequestContent {
            customer: Some("c"),
            ..content("/a")
        },
        RequestContent {
            method: "POST",
            ..content("/a")
        },
        RequestContent {
            host: "b.example",
            ..content("/a")
        },
        RequestContent {
            body_length: Some(1),
            ..content("/a")
        },
        RequestContent {
            body: b"x",
            ..content("/a")
        },
        RequestContent {
            host: "a.exampl",
            path: "e/a",
            ..content("/a")
        },
    ];
    let mut fingerprints = contents.map(|content| content.fingerprint());
    fingerprints.sort();
    assert!(fingerprints.windows(2).all(|pair| pair[0] != pair[1]));
}
