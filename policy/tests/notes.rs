//! Tests of the note log, tickets, readiness, the broadcast tree and void notes in the
//! routing table.

use std::net::SocketAddr;
use std::sync::Arc;

use model::Note;
use model::configuration::Class;
use model::configuration::Repeat;
use model::configuration::Service;
use model::configuration::Target;
use policy::Input;
use policy::Instance;
use policy::command::ClaimState;
use policy::command::Ticket;
use policy::command::TicketAnswer;
use policy::command::TicketTable;
use policy::instance::Envelope;
use policy::instance::Message;
use policy::instance::PlatformAnswer;
use policy::membership::Member;
use policy::membership::Status;
use policy::notes::NoteLog;
use policy::notes::NumberedNote;
use policy::notes::OfferResult;
use policy::notes::partition_receivers;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn note(number: u64) -> NumberedNote {
    let note = Note {
        title: "test".into(),
        submission: format!("s-{number}").into(),
        ..Note::default()
    };
    NumberedNote {
        number,
        text: serde_json::to_string(&note).expect("a note is JSON").into(),
    }
}

fn member(id: &str, data_centre: &str) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Member {
        id: id.into(),
        data_centre: data_centre.into(),
        caller_address: address,
        peer_address: address,
        incarnation: 1,
        status: Status::Alive,
    }
}

fn instance() -> Instance {
    Instance::new(policy::Settings::new(member("own", "north"), 1))
}

fn ack_from(from: &str, number: u64) -> Input {
    Input::Received(Envelope {
        from: from.into(),
        incarnation: 1,
        note: number,
        targets_changed: 0,
        view_age_ms: None,
        member_updates: Vec::new(),
        message: Message::Ack { sequence: 0 },
    })
}

#[test]
fn a_note_is_applied_only_directly_after_the_one_in_force() {
    let mut log = NoteLog::default();
    assert_eq!(log.offer(&note(1)), OfferResult::Applied);
    assert_eq!(log.offer(&note(3)), OfferResult::Gap);
    assert_eq!(log.number(), 1);
    assert_eq!(log.offer(&note(2)), OfferResult::Applied);
    assert_eq!(log.offer(&note(1)), OfferResult::Old);
    assert_eq!(log.number(), 2);
}

#[test]
fn an_invalid_note_is_void_but_uses_its_number() {
    let mut log = NoteLog::default();
    let broken = NumberedNote {
        number: 1,
        text: "{".into(),
    };
    assert!(matches!(log.offer(&broken), OfferResult::Void(_)));
    assert_eq!(log.number(), 1);
}

#[test]
fn an_older_snapshot_is_not_restored() {
    let mut log = NoteLog::default();
    log.offer(&note(1));
    log.offer(&note(2));
    let configuration =
        model::Configuration::from_parts(1, &[]).expect("an empty configuration is valid");
    assert!(!log.restore(configuration));
    assert_eq!(log.number(), 2);
}

#[test]
fn an_instance_is_not_ready_before_the_platforms_last_note() {
    let mut instance = instance();
    instance.handle(
        1,
        Input::Platform(PlatformAnswer::Notes(vec![note(1), note(2)])),
    );
    assert!(!instance.is_ready());
    instance.handle(2, Input::Platform(PlatformAnswer::Notes(Vec::new())));
    assert!(instance.is_ready());
    assert_eq!(instance.configuration().number, 2);
}

#[test]
fn without_the_platform_readiness_needs_a_message_from_every_data_centre() {
    let mut instance = instance();
    let others = vec![member("a", "north"), member("b", "south")];
    instance.handle(1, Input::Platform(PlatformAnswer::Instances(others)));
    instance.handle(2, Input::Platform(PlatformAnswer::NotesUnavailable));
    let first = Input::Received(Envelope {
        from: "a".into(),
        incarnation: 1,
        note: 1,
        targets_changed: 0,
        view_age_ms: None,
        member_updates: Vec::new(),
        message: Message::Notes(vec![note(1)]),
    });
    instance.handle(3, first);
    assert!(!instance.is_ready(), "no message from the south yet");
    instance.handle(4, ack_from("b", 2));
    assert!(!instance.is_ready(), "the south has a later note");
    let second = Input::Received(Envelope {
        from: "b".into(),
        incarnation: 1,
        note: 2,
        targets_changed: 0,
        view_age_ms: None,
        member_updates: Vec::new(),
        message: Message::Notes(vec![note(2)]),
    });
    instance.handle(5, second);
    assert!(instance.is_ready());
}

#[test]
fn a_ticket_runs_once_and_only_where_it_was_issued() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut table = TicketTable::new("own".into(), 7, 2);
    let ticket = table.issue(0, &mut rng).expect("the table has room");
    assert_eq!(table.begin(1, &ticket), TicketAnswer::Begin);
    assert_eq!(
        table.begin(2, &ticket),
        TicketAnswer::Held(ClaimState::Begun)
    );
    table.finish(&ticket, ClaimState::NotRun);
    assert_eq!(table.begin(3, &ticket), TicketAnswer::Begin);
    table.finish(&ticket, ClaimState::Unknown);
    assert_eq!(
        table.begin(4, &ticket),
        TicketAnswer::Held(ClaimState::Unknown)
    );
    let mut restarted = TicketTable::new("own".into(), 8, 2);
    assert_eq!(restarted.begin(5, &ticket), TicketAnswer::NotFound);
    let guessed = Ticket { nonce: 0, ..ticket };
    assert_eq!(table.begin(6, &guessed), TicketAnswer::NotFound);
    assert!(table.issue(7, &mut rng).is_some());
    assert!(table.issue(8, &mut rng).is_none(), "the table is bounded");
}

#[test]
fn a_ticket_parses_from_its_own_text_and_malformed_texts_are_rejected() {
    let ticket = Ticket {
        instance: "a".into(),
        started_ms: 1,
        number: 2,
        nonce: 3,
    };
    assert_eq!(ticket.to_string().parse(), Ok(ticket));
    for text in ["", "a", "a~1~2", "a~1~2~3~4", "a~x~2~3"] {
        assert!(text.parse::<Ticket>().is_err(), "{text}");
    }
}

#[test]
fn a_broadcast_reaches_each_instance_once() {
    let ids: Vec<Arc<str>> = (0..1_000).map(|at| format!("i-{at:04}").into()).collect();
    let mut reached = Vec::new();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut pending = partition_receivers(&ids, &mut rng);
    let mut max_hops = 0;
    let mut pending_hops: Vec<usize> = vec![1; pending.len()];
    while let (Some((id, range)), Some(hops)) = (pending.pop(), pending_hops.pop()) {
        max_hops = max_hops.max(hops);
        if let Some(range) = range {
            let children = partition_receivers(&range.select_ids(&ids), &mut rng);
            pending_hops.extend(children.iter().map(|_| hops + 1));
            pending.extend(children);
        }
        reached.push(id);
    }
    reached.sort();
    assert_eq!(reached, ids);
    assert!(max_hops <= 4, "{max_hops} hops");
}

#[test]
fn a_void_note_is_in_force_on_the_request_path_and_changes_no_target() {
    let mut instance = instance();
    let mut first = Note {
        title: "first".into(),
        submission: "s-1".into(),
        ..Note::default()
    };
    first.services.add.push(service());
    first.targets.add.push(target());
    let mut void = Note {
        title: "void".into(),
        submission: "s-2".into(),
        ..Note::default()
    };
    void.targets.withdraw = vec!["gates-1".into(), "not-there".into()];
    let text = |note: &Note| serde_json::to_string(note).expect("a note is JSON").into();
    let notes = vec![
        NumberedNote {
            number: 1,
            text: text(&first),
        },
        NumberedNote {
            number: 2,
            text: text(&void),
        },
        NumberedNote {
            number: 3,
            text: "{".into(),
        },
    ];
    instance.handle(
        1,
        Input::Platform(PlatformAnswer::Notes(notes[..1].to_vec())),
    );
    let before = instance.shared().table().services["gates"].candidates[0]
        .load
        .clone();
    instance.handle(2, Input::Platform(PlatformAnswer::Notes(notes)));
    let table = instance.shared().table();
    assert_eq!(table.configuration.number, 3);
    let after = &table.services["gates"].candidates[0].load;
    assert!(
        Arc::ptr_eq(&before, after),
        "the target's counters are replaced"
    );
    assert!(!after.is_closed(2));
}

fn service() -> Service {
    Service {
        name: "gates".into(),
        class: Class::Command,
        repeat: Repeat::Never,
        time_limit_ms: 5_000,
        floor_share: 0.5,
        false_ejection_rate: 1e-6,
        missed_detection_rate: 1e-3,
        retry_share: 0.1,
        queue: 10,
        probe_path: "/health".into(),
    }
}

fn target() -> Target {
    Target {
        name: "gates-1".into(),
        service: "gates".into(),
        data_centre: "north".into(),
        address: ([127, 0, 0, 1], 80).into(),
        slots: 6,
        connections: 10,
        refusal_is_not_run: false,
        leaving: false,
        incarnation: 0,
    }
}
