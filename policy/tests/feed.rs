//! Tests of the registry view, the changes of the configuration that it causes, and the
//! schedule of calls to the registry.

use std::sync::Arc;

use model::Configuration;
use model::Note;
use model::configuration::Class;
use model::configuration::Repeat;
use model::configuration::Route;
use model::configuration::RouteTerms;
use model::configuration::Service;
use model::configuration::Target;
use policy::feed::ApplyResult;
use policy::feed::CallOutcome;
use policy::feed::CallSchedule;
use policy::feed::ChangeSource;
use policy::feed::EntryChanges;
use policy::feed::NextCall;
use policy::feed::RegistryView;
use policy::feed::Release;
use policy::feed::TargetEntry;
use policy::feed::revision_of;
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
        customers: None,
        idle_limit_ms: None,
    }
}

/// Changes of entries between two revisions, none of them reduced to a net difference.
fn changes(after: u64, revision: u64, entries: Vec<TargetEntry>) -> EntryChanges {
    EntryChanges {
        after,
        revision,
        complete_to: revision,
        entries,
        retain_ms: 0,
    }
}

/// A registry view and the configuration that results from it.
struct Follower {
    view: RegistryView,
    log: NoteLog,
}

impl Follower {
    fn new(targets: &[&str]) -> Self {
        let mut follower = Self {
            view: RegistryView::default(),
            log: NoteLog::default(),
        };
        let targets = targets.iter().map(|name| target(name)).collect();
        follower.view.record_answer(0);
        follower
            .view
            .apply_list(0, 10, targets, ChangeSource::Registry);
        follower
            .view
            .apply_release(release(3, &[("r", "/a/", "reads")]));
        follower.apply_view();
        follower
    }

    fn apply_view(&mut self) {
        if let Some((number, change)) = self.view.change(self.log.configuration()) {
            self.log
                .apply_change(number, &change)
                .expect("the change applies");
        }
    }

    fn remove_entries(&mut self, now_us: u64, names: &[&str]) {
        let after = self.view.targets_revision();
        let removal = |name: &&str| TargetEntry::Removed(Arc::from(*name));
        let entries = names.iter().map(removal).collect();
        self.view.apply_changes(
            now_us,
            changes(after, after + 1, entries),
            ChangeSource::Registry,
        );
        self.tick(now_us);
    }

    fn tick(&mut self, now_us: u64) {
        self.view.tick(now_us);
        self.apply_view();
    }

    fn targets(&self) -> usize {
        self.log.configuration().targets_of("reads").count()
    }

    fn configuration(&self) -> &Configuration {
        self.log.configuration()
    }
}

#[test]
fn a_release_is_applied_as_a_change_and_never_reverted_by_an_older_one() {
    let mut follower = Follower::new(&["t-1"]);
    assert_eq!(follower.configuration().number, 3);
    assert!(
        follower
            .view
            .apply_release(release(9, &[("r", "/a/", "gates")]))
    );
    follower.apply_view();
    assert!(
        !follower
            .view
            .apply_release(release(8, &[("r", "/a/", "reads")]))
    );
    follower.apply_view();
    assert_eq!(follower.configuration().number, 9);
    let route = follower.configuration().route("a.example", "/a/x");
    assert_eq!(route.map(|route| &*route.service), Some("gates"));
}

#[test]
fn routes_may_swap_their_paths_in_one_release() {
    let mut follower = Follower::new(&["t-1"]);
    let before = [("r", "/a/", "reads"), ("s", "/b/", "gates")];
    follower.view.apply_release(release(4, &before));
    follower.apply_view();
    let after = [("r", "/b/", "reads"), ("s", "/a/", "gates")];
    follower.view.apply_release(release(5, &after));
    follower.apply_view();
    let route = follower.configuration().route("a.example", "/a/x");
    assert_eq!(route.map(|route| &*route.name), Some("s"));
}

#[test]
fn a_path_without_the_trailing_slash_of_a_route_does_not_match_it() {
    let follower = Follower::new(&["t-1"]);
    assert!(
        follower
            .configuration()
            .route("a.example", "/a/x")
            .is_some()
    );
    assert!(follower.configuration().route("a.example", "/a/").is_some());
    assert!(follower.configuration().route("a.example", "/a").is_none());
    assert!(
        follower
            .configuration()
            .route("a.example", "/ab/x")
            .is_none()
    );
}

#[test]
fn a_target_whose_entry_is_removed_is_removed_at_once() {
    let mut follower = Follower::new(&["t-1", "t-2", "t-3", "t-4"]);
    follower.remove_entries(SECOND_US, &["t-1"]);
    assert_eq!(follower.targets(), 3);
}

#[test]
fn targets_whose_entries_expire_in_an_outage_are_retained_until_they_should_reappear() {
    let mut follower = Follower::new(&["t-1", "t-2"]);
    follower.view.record_answer(9 * SECOND_US);
    follower.remove_entries(9 * SECOND_US + 100_000, &["t-1", "t-2"]);
    assert_eq!(follower.targets(), 2);
    let after = follower.view.targets_revision();
    let reappeared = vec![TargetEntry::Present(target("t-1"))];
    follower.view.apply_changes(
        10 * SECOND_US,
        changes(after, after + 1, reappeared),
        ChangeSource::Registry,
    );
    follower.tick(11 * SECOND_US);
    assert_eq!(follower.targets(), 2);
    follower.tick(12 * SECOND_US);
    assert_eq!(follower.targets(), 1);
}

#[test]
fn removals_from_a_peer_are_applied_while_the_registry_is_unreachable_here() {
    let mut follower = Follower::new(&["t-1", "t-2", "t-3", "t-4"]);
    let removal = |name: &str| vec![TargetEntry::Removed(name.into())];
    let at_once = ChangeSource::Peer { retain_us: 0 };
    follower
        .view
        .apply_changes(2 * SECOND_US, changes(10, 11, removal("t-1")), at_once);
    follower.tick(2 * SECOND_US);
    assert_eq!(follower.targets(), 3);
    let retained = ChangeSource::Peer {
        retain_us: 2_300_000,
    };
    follower
        .view
        .apply_changes(3 * SECOND_US, changes(11, 12, removal("t-2")), retained);
    follower.tick(4 * SECOND_US);
    assert_eq!(follower.targets(), 3);
    follower.tick(6 * SECOND_US);
    assert_eq!(follower.targets(), 2);
}

#[test]
fn a_mass_removal_of_entries_is_treated_as_a_short_outage() {
    let mut follower = Follower::new(&["t-1", "t-2", "t-3", "t-4"]);
    follower.remove_entries(SECOND_US, &["t-1", "t-2", "t-3"]);
    assert_eq!(follower.targets(), 4);
    follower.tick(3 * SECOND_US);
    assert_eq!(follower.targets(), 1);
}

#[test]
fn changes_are_applied_once_and_only_without_a_gap() {
    let mut follower = Follower::new(&["t-1"]);
    let added = || vec![TargetEntry::Present(target("t-2"))];
    assert_eq!(
        follower
            .view
            .apply_changes(0, changes(12, 14, added()), ChangeSource::Registry),
        ApplyResult::Gap
    );
    assert_eq!(
        follower
            .view
            .apply_changes(0, changes(9, 12, added()), ChangeSource::Registry),
        ApplyResult::Taken
    );
    assert_eq!(
        follower
            .view
            .apply_changes(0, changes(9, 12, added()), ChangeSource::Registry),
        ApplyResult::Old
    );
    follower.apply_view();
    assert_eq!(follower.targets(), 2);
}

#[test]
fn applying_a_list_returns_the_changes_to_broadcast() {
    let mut follower = Follower::new(&["t-1", "t-2"]);
    let changes = follower.view.apply_list(
        0,
        30,
        vec![target("t-2"), target("t-3")],
        ChangeSource::Registry,
    );
    let expected = [
        TargetEntry::Present(target("t-3")),
        TargetEntry::Removed("t-1".into()),
    ];
    assert_eq!(changes, expected);
    assert_eq!(follower.view.targets_changed(), 30);
    let again = follower.view.apply_list(
        0,
        40,
        vec![target("t-2"), target("t-3")],
        ChangeSource::Registry,
    );
    assert!(again.is_empty());
    assert_eq!(follower.view.targets_changed(), 30);
}

#[test]
fn targets_wait_for_the_release_of_their_service() {
    let mut follower = Follower::new(&["t-1"]);
    let mut early = target("t-9");
    early.service = "new".into();
    let entries = vec![TargetEntry::Present(early)];
    follower
        .view
        .apply_changes(0, changes(10, 11, entries), ChangeSource::Registry);
    follower.apply_view();
    assert!(!follower.configuration().targets.contains_key("t-9"));
    let mut later = release(7, &[("r", "/a/", "reads")]);
    later.services.push(service("new"));
    follower.view.apply_release(later);
    follower.apply_view();
    assert!(follower.configuration().targets.contains_key("t-9"));
}

#[test]
fn an_invalid_change_has_no_effect() {
    let mut log = NoteLog::default();
    let mut note = Note::default();
    note.routes.add.push(route("r", "/a/", "nowhere"));
    assert!(log.apply_change(5, &note).is_err());
    assert_eq!(log.number(), 0);
}

#[test]
fn changes_close_together_are_read_in_one_call() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut call_schedule = CallSchedule::default();
    let next = call_schedule.next(0, CallOutcome::Changes(5), &mut rng);
    let NextCall::Watch { after: 5, at_us } = next else {
        panic!("expected a watch, got {next:?}");
    };
    assert!((200_000..800_000).contains(&at_us));
}

#[test]
fn calls_to_a_failing_registry_back_off_up_to_a_bound() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut call_schedule = CallSchedule::default();
    let mut now_us = 0;
    for _ in 0..20 {
        let next = call_schedule.next(now_us, CallOutcome::Failed, &mut rng);
        let (NextCall::Read { at_us } | NextCall::Watch { at_us, .. }) = next;
        assert!(at_us > now_us && at_us - now_us <= 600_000);
        now_us = at_us;
    }
    assert!(now_us > 3 * SECOND_US);
}

#[test]
fn a_list_difference_that_omits_a_removal_is_not_applied() {
    let mut follower = Follower::new(&["t-1"]);
    let added = vec![TargetEntry::Present(target("t-2"))];
    follower
        .view
        .apply_changes(0, changes(10, 14, added), ChangeSource::Registry);
    // Another instance at revision 12 has read a list as of revision 20, so its difference
    // contains neither the addition nor the removal of `t-2`.
    let differences = EntryChanges {
        complete_to: 12,
        ..changes(10, 20, vec![TargetEntry::Present(target("t-3"))])
    };
    let peer = ChangeSource::Peer { retain_us: 0 };
    let offered = follower.view.apply_changes(SECOND_US, differences, peer);
    assert_eq!(offered, ApplyResult::Gap);
    assert_eq!(follower.view.targets_revision(), 14);
}

#[test]
fn no_changes_are_returned_after_a_revision_that_a_list_skipped() {
    let mut follower = Follower::new(&["t-1", "t-2"]);
    follower
        .view
        .apply_list(0, 20, vec![target("t-2")], ChangeSource::Registry);
    assert!(follower.view.changes_after(10).is_some());
    assert!(follower.view.changes_after(15).is_none());
}

/// A view of three targets as of revision 40 of era 1, of which one has left since, at 41, and one
/// has joined, at 42.
fn view_before_restoration() -> RegistryView {
    let mut view = RegistryView::default();
    let old = ["t0", "t1", "t2"].map(|name| Target {
        incarnation: 7,
        ..target(name)
    });
    view.apply_list(0, revision_of(1, 40), old.to_vec(), ChangeSource::Registry);
    let changes = |after: u64, entry: TargetEntry| EntryChanges {
        after: revision_of(1, after),
        revision: revision_of(1, after + 1),
        complete_to: revision_of(1, after + 1),
        entries: vec![entry],
        retain_ms: 0,
    };
    let left = changes(40, TargetEntry::Removed("t0".into()));
    view.apply_changes(SECOND_US, left, ChangeSource::Registry);
    let joined = Target {
        incarnation: 9,
        ..target("t9")
    };
    let joined = changes(41, TargetEntry::Present(joined));
    view.apply_changes(SECOND_US, joined, ChangeSource::Registry);
    view
}

fn copy() -> Vec<Target> {
    let old = ["t0", "t1", "t2"].map(|name| Target {
        incarnation: 7,
        ..target(name)
    });
    old.to_vec()
}

fn listed(view: &RegistryView) -> Vec<Arc<str>> {
    let list = view.list().expect("a list was applied");
    list.iter().map(|target| target.name.clone()).collect()
}

#[test]
fn a_restored_registry_brings_no_target_back_that_had_left() {
    let mut view = view_before_restoration();
    let restored_us = 2 * SECOND_US;
    view.apply_list(
        restored_us,
        revision_of(2, 40),
        copy(),
        ChangeSource::Registry,
    );
    assert_eq!(listed(&view), ["t1".into(), "t2".into()]);
    assert_eq!(view.targets_revision(), revision_of(2, 40));
    assert!(!view.take_reread(restored_us));
    // Its entry would have lapsed by now.
    let later_us = restored_us + 7 * SECOND_US;
    assert!(view.take_reread(later_us));
    view.apply_list(later_us, revision_of(2, 41), copy(), ChangeSource::Registry);
    assert_eq!(listed(&view).len(), 3);
}

#[test]
fn a_target_that_is_missing_in_the_copy_is_retained_until_it_is_back_or_gone() {
    let in_use = |view: &RegistryView| {
        let (_, note) = view
            .change(&Configuration::default())
            .expect("the view differs from an empty configuration");
        let names = note.targets.add.iter().map(|target| target.name.clone());
        names.collect::<std::collections::BTreeSet<Arc<str>>>()
    };
    let mut view = view_before_restoration();
    view.apply_release(release(1, &[]));
    view.apply_list(
        2 * SECOND_US,
        revision_of(2, 40),
        copy(),
        ChangeSource::Registry,
    );
    view.tick(4 * SECOND_US);
    assert!(in_use(&view).contains("t9"));
    view.tick(5 * SECOND_US);
    assert!(!in_use(&view).contains("t9"));
}

#[test]
fn answers_of_an_earlier_era_change_nothing() {
    let mut view = view_before_restoration();
    view.apply_list(
        2 * SECOND_US,
        revision_of(2, 30),
        copy(),
        ChangeSource::Registry,
    );
    let before = listed(&view);
    let late = vec![target("t5")];
    view.apply_list(
        3 * SECOND_US,
        revision_of(1, 90),
        late,
        ChangeSource::Registry,
    );
    let late = EntryChanges {
        after: revision_of(1, 42),
        revision: revision_of(1, 91),
        complete_to: revision_of(1, 91),
        entries: vec![TargetEntry::Removed("t1".into())],
        retain_ms: 0,
    };
    let result = view.apply_changes(3 * SECOND_US, late, ChangeSource::Registry);
    assert_eq!(result, ApplyResult::Old);
    assert_eq!(listed(&view), before);
}

#[test]
fn a_list_after_a_peer_has_told_of_the_restoration_brings_no_left_target_back_either() {
    let mut view = view_before_restoration();
    let told = EntryChanges {
        after: revision_of(1, 42),
        revision: revision_of(2, 40),
        complete_to: revision_of(1, 42),
        entries: vec![TargetEntry::Removed("t9".into())],
        retain_ms: 2_300,
    };
    let source = ChangeSource::Peer {
        retain_us: 2_300_000,
    };
    let result = view.apply_changes(2 * SECOND_US, told, source);
    assert_eq!(result, ApplyResult::Taken);
    view.apply_list(
        3 * SECOND_US,
        revision_of(2, 40),
        copy(),
        ChangeSource::Registry,
    );
    assert_eq!(listed(&view), ["t1".into(), "t2".into()]);
}
