//! Upper bounds on the sizes of messages, which the documented capacity estimates assume.

use model::configuration::Repeat;
use model::configuration::Route;
use model::configuration::RouteTerms;
use model::configuration::Target;
use peers::MAX_MESSAGE_BYTES;
use peers::encode;
use policy::evidence::Signal;
use policy::feed::Release;
use policy::feed::ReleasePart;
use policy::instance::Alert;
use policy::instance::Envelope;
use policy::instance::LoadReport;
use policy::instance::Message;
use policy::limits::PermitParams;
use policy::notes::IdRange;

fn bytes(message: Message) -> usize {
    let envelope = Envelope {
        from: "edge-smolyan-12".into(),
        incarnation: 1_700_000_000_123,
        note: 4_200_000,
        targets_changed: 4_200_000,
        view_age_ms: Some(800),
        member_updates: Vec::new(),
        message,
    };
    encode(&envelope).expect("the message fits").len()
}

#[test]
fn an_alert_has_a_bounded_size() {
    let alert = Alert {
        target: "i-7f3a91c2d0".into(),
        incarnation: 1_700_000_000_123,
        signal: Signal::Reset,
    };
    let id_range = IdRange {
        after: "edge-devin-1".into(),
        to: "edge-devin-9".into(),
    };
    let size = bytes(Message::Alerts {
        alerts: vec![alert],
        id_range: Some(id_range),
    });
    // An instance may send 3,000 bytes per second, which must be enough for 30 alerts per second.
    assert!(size <= 100, "{size} bytes");
}

#[test]
fn a_part_of_a_release_has_a_bounded_size() {
    let route = |number: usize| Route {
        name: format!("r-levels-{number}").into(),
        host: Some("lepu270.example".into()),
        path: format!("/levels/rhodope-{number}/").into(),
        service: "huvo11a".into(),
        shares: Vec::new(),
        terms: RouteTerms {
            repeat: Some(Repeat::Idempotent),
            time_limit_ms: Some(6_000),
            objective_ms: Some(2_000),
            max_attempts: Some(3),
            priority: Some(1),
            ..RouteTerms::default()
        },
    };
    let release = Release {
        number: 9,
        routes: (0..2_000).map(route).collect(),
        ..Release::default()
    };
    let part = ReleasePart::of_release(&release, 3).expect("the release has ten parts");
    let size = bytes(Message::ReleasePart(Box::new(part)));
    // A message may delay alerts by 20 ms on links of 10 Mbit/s.
    assert!(size <= 25_000, "{size} bytes");
}

#[test]
fn a_load_report_has_a_bounded_size() {
    let loads_bytes = |count: usize| {
        let load = LoadReport {
            service: "huvo11a".into(),
            slots_milli: 1_250,
            recent_rate_milli: 2_700,
            rate_milli: 2_700,
        };
        bytes(Message::Loads(vec![load; count]))
    };
    let bytes_each = (loads_bytes(13) - loads_bytes(3)) / 10;
    assert!(bytes_each <= 16, "{bytes_each} bytes per service");
    assert!(loads_bytes(3) <= 100, "{} bytes", loads_bytes(3));
}

#[test]
fn permit_messages_have_a_bounded_size() {
    let target = "i-7f3a91c2d0";
    let params = PermitParams {
        left_ms: 7_900,
        work_ms: 480,
        slots: 6,
        untracked: 1,
        rate_limit_milli: Some(2_700),
    };
    let number = 1_000_000;
    let sizes = [
        bytes(Message::RequestPermit {
            target: target.into(),
            number,
            params,
        }),
        bytes(Message::RequestRankedPermit {
            target: target.into(),
            number,
            params,
            priority: 3,
            // Longer names of customers add their length.
            customer: "customer-76".into(),
        }),
        bytes(Message::PermitAnswer {
            number,
            is_permitted: true,
            in_flight: 7,
            wait_ms: 1_500,
        }),
        bytes(Message::ReleasePermit {
            target: target.into(),
            number,
        }),
    ];
    println!("{sizes:?} bytes");
    // The documented capacity estimates assume 80 bytes for each message.
    assert!(sizes.iter().all(|size| *size <= 80), "{sizes:?} bytes");
}

#[test]
fn ten_times_the_targets_of_a_grown_deployment_fit_one_message() {
    let target = |number: u32| Target {
        name: format!("i-7f3a9{number:05}").into(),
        service: "huvo11a".into(),
        data_centre: "chepelare".into(),
        address: ([10, 1, 64, 57], 8060).into(),
        slots: 6,
        connections: 330,
        refusal_is_not_run: true,
        leaving: false,
        incarnation: 1_700_000_000_123,
    };
    let target_list_bytes = |count: u32| {
        bytes(Message::Targets {
            revision: 4_200_000,
            targets: (0..count).map(target).collect(),
        })
    };
    let bytes_each = (target_list_bytes(1_000) - target_list_bytes(0)) / 1_000;
    println!("{bytes_each} bytes per target");
    // A grown deployment has fewer than 500 targets; ten times as many must fit.
    assert!(
        bytes_each * 5_000 <= MAX_MESSAGE_BYTES,
        "{bytes_each} bytes per target"
    );
}
