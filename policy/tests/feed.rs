//! From a registry's releases and entries to the world.

use std::sync::Arc;

use model::Note;
use model::World;
use model::world::Class;
use model::world::Repeat;
use model::world::Route;
use model::world::RouteTerms;
use model::world::Service;
use model::world::Target;
use policy::feed::ChangeSource;
use policy::feed::EntryChanges;
use policy::feed::Next;
use policy::feed::Offered;
use policy::feed::Outcome;
use policy::feed::Pace;
use policy::feed::RegistryView;
use policy::feed::Release;
use policy::feed::TargetEntry;
use policy::notes::NoteLog;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SECOND_US: u64 = 1_000_000;

fn service(name: &str) -> Service {
    Service {
        name: name.into(),
        class: Class::Live,
        repeat: Repeat::Never,
        time_limit_ms: 8_000,
        floor_share: 0.7,
        false_ejection_rate: 1e-6,
        missed_detection_rate: 1e-6,
        retry_share: 0.2,
        queue: 32,
        probe_path: "/health".into(),
    }
}

fn route(name: &str, path: &str, service: &str) -> Route {
    Route {
        name: name.into(),
        host: Some("a.example".into()),
        path: path.into(),
        service: service.into(),
        shares: Vec::new(),
        terms: RouteTerms::default(),
    }
}

fn target(name: &str) -> Target {
    Target {
        name: name.into(),
        service: "reads".into(),
        data_centre: "devin".into(),
        address: ([127, 0, 0, 1], 80).into(),
        slots: 6,
        connections: 330,
        refusal_is_not_run: false,
        leaving: false,
        incarnation: 1,
    }
}

fn release(number: u64, routes: &[(&str, &str, &str)]) -> Release {
    Release {
        number,
        services: vec![service("reads"), service("gates")],
        routes: routes
            .iter()
            .map(|(name, path, service)| route(name, path, service))
            .collect(),
        idle_limit_ms: None,
    }
}

/// All changes of entries after one revision up to another.
fn changes(after: u64, revision: u64, entries: Vec<TargetEntry>) -> EntryChanges {
    EntryChanges {
        after,
        revision,
        complete_to: revision,
        entries,
        stay_ms: 0,
    }
}

/// A feed and the world that follows it.
struct Follower {
    feed: RegistryView,
    log: NoteLog,
}

impl Follower {
    fn new(targets: &[&str]) -> Self {
        let mut follower = Self {
            feed: RegistryView::default(),
            log: NoteLog::default(),
        };
        let targets = targets.iter().map(|name| target(name)).collect();
        follower.feed.answered(0);
        follower.feed.listed(0, 10, targets, ChangeSource::Registry);
        follower.feed.released(release(3, &[("r", "/a/", "reads")]));
        follower.follow();
        follower
    }

    fn follow(&mut self) {
        if let Some((number, change)) = self.feed.change(self.log.world()) {
            self.log.adjust(number, &change).expect("the change fits");
        }
    }

    fn removed(&mut self, now_us: u64, names: &[&str]) {
        let after = self.feed.targets_known_to();
        let removed = |name: &&str| TargetEntry::Removed(Arc::from(*name));
        let entries = names.iter().map(removed).collect();
        self.feed.changed(
            now_us,
            changes(after, after + 1, entries),
            ChangeSource::Registry,
        );
        self.tick(now_us);
    }

    fn tick(&mut self, now_us: u64) {
        self.feed.tick(now_us);
        self.follow();
    }

    fn targets(&self) -> usize {
        self.log.world().targets_of("reads").count()
    }

    fn world(&self) -> &World {
        self.log.world()
    }
}

#[test]
fn a_release_takes_effect_as_a_change_and_never_goes_back() {
    let mut follower = Follower::new(&["t-1"]);
    assert_eq!(follower.world().number, 3);
    assert!(follower.feed.released(release(9, &[("r", "/a/", "gates")])));
    follower.follow();
    assert!(!follower.feed.released(release(8, &[("r", "/a/", "reads")])));
    follower.follow();
    assert_eq!(follower.world().number, 9);
    let route = follower.world().route("a.example", "/a/x");
    assert_eq!(route.map(|route| &*route.service), Some("gates"));
}

#[test]
fn routes_may_exchange_their_paths_in_one_release() {
    let mut follower = Follower::new(&["t-1"]);
    let before = [("r", "/a/", "reads"), ("s", "/b/", "gates")];
    follower.feed.released(release(4, &before));
    follower.follow();
    let after = [("r", "/b/", "reads"), ("s", "/a/", "gates")];
    follower.feed.released(release(5, &after));
    follower.follow();
    let route = follower.world().route("a.example", "/a/x");
    assert_eq!(route.map(|route| &*route.name), Some("s"));
}

#[test]
fn a_path_without_the_last_slash_of_its_route_is_not_below_it() {
    let follower = Follower::new(&["t-1"]);
    assert!(follower.world().route("a.example", "/a/x").is_some());
    assert!(follower.world().route("a.example", "/a/").is_some());
    assert!(follower.world().route("a.example", "/a").is_none());
    assert!(follower.world().route("a.example", "/ab/x").is_none());
}

#[test]
fn a_target_whose_entry_goes_is_out_at_once() {
    let mut follower = Follower::new(&["t-1", "t-2", "t-3", "t-4"]);
    follower.removed(SECOND_US, &["t-1"]);
    assert_eq!(follower.targets(), 3);
}

#[test]
fn entries_that_lapse_with_an_outage_stay_until_they_should_be_back() {
    let mut follower = Follower::new(&["t-1", "t-2"]);
    follower.feed.answered(9 * SECOND_US);
    follower.removed(9 * SECOND_US + 100_000, &["t-1", "t-2"]);
    assert_eq!(follower.targets(), 2);
    let after = follower.feed.targets_known_to();
    let back = vec![TargetEntry::Stands(target("t-1"))];
    follower.feed.changed(
        10 * SECOND_US,
        changes(after, after + 1, back),
        ChangeSource::Registry,
    );
    follower.tick(11 * SECOND_US);
    assert_eq!(follower.targets(), 2);
    follower.tick(12 * SECOND_US);
    assert_eq!(follower.targets(), 1);
}

#[test]
fn a_peer_that_reaches_the_registry_is_believed_while_it_is_away_from_here() {
    let mut follower = Follower::new(&["t-1", "t-2", "t-3", "t-4"]);
    let gone = |name: &str| vec![TargetEntry::Removed(name.into())];
    let plain = ChangeSource::Peer { stay_us: 0 };
    follower
        .feed
        .changed(2 * SECOND_US, changes(10, 11, gone("t-1")), plain);
    follower.tick(2 * SECOND_US);
    assert_eq!(follower.targets(), 3);
    let lapsing = ChangeSource::Peer { stay_us: 2_300_000 };
    follower
        .feed
        .changed(3 * SECOND_US, changes(11, 12, gone("t-2")), lapsing);
    follower.tick(4 * SECOND_US);
    assert_eq!(follower.targets(), 3);
    follower.tick(6 * SECOND_US);
    assert_eq!(follower.targets(), 2);
}

#[test]
fn most_entries_lost_at_once_are_taken_for_an_outage_for_a_moment() {
    let mut follower = Follower::new(&["t-1", "t-2", "t-3", "t-4"]);
    follower.removed(SECOND_US, &["t-1", "t-2", "t-3"]);
    assert_eq!(follower.targets(), 4);
    follower.tick(3 * SECOND_US);
    assert_eq!(follower.targets(), 1);
}

#[test]
fn changes_are_taken_in_once_and_only_without_a_gap() {
    let mut follower = Follower::new(&["t-1"]);
    let news = || vec![TargetEntry::Stands(target("t-2"))];
    assert_eq!(
        follower
            .feed
            .changed(0, changes(12, 14, news()), ChangeSource::Registry),
        Offered::Gap
    );
    assert_eq!(
        follower
            .feed
            .changed(0, changes(9, 12, news()), ChangeSource::Registry),
        Offered::Taken
    );
    assert_eq!(
        follower
            .feed
            .changed(0, changes(9, 12, news()), ChangeSource::Registry),
        Offered::Old
    );
    follower.follow();
    assert_eq!(follower.targets(), 2);
}

#[test]
fn a_listing_tells_what_it_changes_so_that_it_can_be_spread() {
    let mut follower = Follower::new(&["t-1", "t-2"]);
    let changes = follower.feed.listed(
        0,
        30,
        vec![target("t-2"), target("t-3")],
        ChangeSource::Registry,
    );
    let expected = [
        TargetEntry::Stands(target("t-3")),
        TargetEntry::Removed("t-1".into()),
    ];
    assert_eq!(changes, expected);
    assert_eq!(follower.feed.targets_changed(), 30);
    let again = follower.feed.listed(
        0,
        40,
        vec![target("t-2"), target("t-3")],
        ChangeSource::Registry,
    );
    assert!(again.is_empty());
    assert_eq!(follower.feed.targets_changed(), 30);
}

#[test]
fn targets_of_services_not_yet_released_wait() {
    let mut follower = Follower::new(&["t-1"]);
    let mut early = target("t-9");
    early.service = "new".into();
    let entries = vec![TargetEntry::Stands(early)];
    follower
        .feed
        .changed(0, changes(10, 11, entries), ChangeSource::Registry);
    follower.follow();
    assert!(!follower.world().targets.contains_key("t-9"));
    let mut later = release(7, &[("r", "/a/", "reads")]);
    later.services.push(service("new"));
    follower.feed.released(later);
    follower.follow();
    assert!(follower.world().targets.contains_key("t-9"));
}

#[test]
fn a_change_that_does_not_fit_changes_nothing() {
    let mut log = NoteLog::default();
    let mut note = Note::default();
    note.routes.add.push(route("r", "/a/", "nowhere"));
    assert!(log.adjust(5, &note).is_err());
    assert_eq!(log.number(), 0);
}

#[test]
fn changes_that_come_together_are_read_together() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut pace = Pace::default();
    let next = pace.next(0, Outcome::Changes(5), &mut rng);
    let Next::Watch { after: 5, at_us } = next else {
        panic!("expected a watch, got {next:?}");
    };
    assert!((200_000..800_000).contains(&at_us));
}

#[test]
fn a_failing_registry_is_asked_ever_less_and_soon_noticed_when_back() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut pace = Pace::default();
    let mut now_us = 0;
    for _ in 0..20 {
        let next = pace.next(now_us, Outcome::Failed, &mut rng);
        let (Next::Read { at_us } | Next::Watch { at_us, .. }) = next;
        assert!(at_us > now_us && at_us - now_us <= 600_000);
        now_us = at_us;
    }
    assert!(now_us > 3 * SECOND_US);
}

#[test]
fn a_list_of_one_that_missed_a_target_hides_not_from_others_that_it_left() {
    let mut follower = Follower::new(&["t-1"]);
    let came = vec![TargetEntry::Stands(target("t-2"))];
    follower
        .feed
        .changed(0, changes(10, 14, came), ChangeSource::Registry);
    // Another instance was at revision 12 and has read a list as of 20: it has seen
    // neither that the second target came nor that it left.
    let differences = EntryChanges {
        complete_to: 12,
        ..changes(10, 20, vec![TargetEntry::Stands(target("t-3"))])
    };
    let peer = ChangeSource::Peer { stay_us: 0 };
    let offered = follower.feed.changed(SECOND_US, differences, peer);
    assert_eq!(offered, Offered::Gap);
    assert_eq!(follower.feed.targets_known_to(), 14);
}

#[test]
fn one_that_was_behind_before_a_list_is_told_the_whole_list() {
    let mut follower = Follower::new(&["t-1", "t-2"]);
    follower
        .feed
        .listed(0, 20, vec![target("t-2")], ChangeSource::Registry);
    assert!(follower.feed.changes_after(10).is_some());
    assert!(follower.feed.changes_after(15).is_none());
}
