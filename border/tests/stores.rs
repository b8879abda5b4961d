//! Notes and claims while the platform is away, loses answers, or has two writers.

use std::sync::Arc;

use border::ClaimStore;
use border::NoteStore;
use border::Platform;
use border::SnapshotStore;
use border::SubmitError;
use model::Note;
use policy::command::ClaimAnswer;
use policy::command::ClaimState;
use standin::MemoryPlatform;
use standin::PlatformFault;

const LOSES: PlatformFault = PlatformFault {
    away: false,
    slow_ms: 0,
    loses_answers: true,
};
const AWAY: PlatformFault = PlatformFault {
    away: true,
    slow_ms: 0,
    loses_answers: false,
};

fn note(submission: &str) -> Note {
    Note {
        title: submission.into(),
        submission: submission.into(),
        ..Note::default()
    }
}

fn platform() -> (Arc<MemoryPlatform>, Arc<dyn Platform>) {
    let memory = Arc::new(MemoryPlatform::default());
    (memory.clone(), memory)
}

#[tokio::test]
async fn a_submission_whose_answer_is_lost_ends_in_the_true_result() {
    let (memory, platform) = platform();
    let store = NoteStore::new(platform);
    memory.set_fault(LOSES);
    let submitted = store.submit(&note("one")).await.expect("the note stands");
    assert_eq!(submitted.number, 1);
    memory.set_fault(PlatformFault::default());
    let again = store.submit(&note("one")).await.expect("the note stands");
    assert_eq!((again.number, again.earlier), (1, true));
    assert_eq!(
        store
            .configuration()
            .await
            .expect("the platform answers")
            .number,
        1
    );
}

#[tokio::test]
async fn of_two_submitters_one_is_told_which_note_came_first() {
    let (memory, platform) = platform();
    // Both read the log before either writes.
    memory.set_fault(PlatformFault {
        slow_ms: 50,
        ..PlatformFault::default()
    });
    let store = NoteStore::new(platform);
    let (one, two) = (note("one"), note("two"));
    let (first, second) = tokio::join!(store.submit(&one), store.submit(&two));
    let results = [first, second];
    let accepted = results.iter().filter(|result| result.is_ok()).count();
    assert_eq!(accepted, 1, "{results:?}");
    let raced = results
        .iter()
        .any(|result| matches!(result, Err(SubmitError::Raced { number: 1, .. })));
    assert!(raced, "{results:?}");
}

#[tokio::test]
async fn a_key_has_one_winner_whatever_answers_are_lost() {
    let (memory, platform) = platform();
    let claims = ClaimStore::new(platform, 100);
    memory.set_fault(LOSES);
    let key: Arc<str> = "claims/k".into();
    let tags: Vec<Arc<str>> = (0..8).map(|at| format!("attempt-{at}").into()).collect();
    let answers = futures::future::join_all(tags.iter().map(|tag| claims.claim(&key, tag))).await;
    let winners = answers
        .iter()
        .filter(|answer| **answer == ClaimAnswer::Won)
        .count();
    assert_eq!(winners, 1, "{answers:?}");
}

#[tokio::test]
async fn a_key_whose_command_was_not_run_can_be_claimed_again() {
    let (_, platform) = platform();
    let claims = ClaimStore::new(platform, 100);
    let key: Arc<str> = "claims/k".into();
    let (first, second, third): (Arc<str>, Arc<str>, Arc<str>) =
        ("a".into(), "b".into(), "c".into());
    assert_eq!(claims.claim(&key, &first).await, ClaimAnswer::Won);
    assert_eq!(
        claims.claim(&key, &second).await,
        ClaimAnswer::Held(ClaimState::Begun)
    );
    assert!(claims.finish(&key, &first, ClaimState::NotRun).await);
    assert_eq!(claims.claim(&key, &second).await, ClaimAnswer::Won);
    assert!(
        claims.finish(&key, &first, ClaimState::NotRun).await,
        "a late record of another attempt"
    );
    assert!(claims.finish(&key, &second, ClaimState::Ran).await);
    assert_eq!(
        claims.claim(&key, &third).await,
        ClaimAnswer::Held(ClaimState::Ran)
    );
}

#[tokio::test]
async fn nothing_is_claimed_while_the_platform_is_away() {
    let (memory, platform) = platform();
    let claims = ClaimStore::new(platform, 100);
    memory.set_fault(AWAY);
    assert_eq!(
        claims.claim(&"claims/k".into(), &"a".into()).await,
        ClaimAnswer::Unavailable
    );
    assert_eq!(memory.peek("claims/k"), None);
}

#[tokio::test]
async fn the_number_of_claims_at_once_is_bounded() {
    let (_, platform) = platform();
    let claims = ClaimStore::new(platform, 0);
    assert_eq!(
        claims.claim(&"claims/k".into(), &"a".into()).await,
        ClaimAnswer::TooMany
    );
}

#[tokio::test]
async fn an_older_snapshot_does_not_replace_a_later_one() {
    let (_, platform) = platform();
    let snapshots = SnapshotStore::new(platform);
    let part = |text: &str| vec![Arc::<str>::from(text)];
    snapshots
        .write(9, &part("nine"), "writer")
        .await
        .expect("the platform answers");
    snapshots
        .write(5, &part("five"), "writer")
        .await
        .expect("the platform answers");
    let (number, parts) = snapshots
        .read()
        .await
        .expect("the platform answers")
        .expect("a snapshot stands");
    assert_eq!((number, parts), (9, part("nine")));
}
