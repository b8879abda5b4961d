//! Tests of the note, claim and snapshot stores on a platform that is unreachable, loses its
//! replies, or has concurrent writers.

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

const LOSING_ANSWERS: PlatformFault = PlatformFault {
    away: false,
    slow_ms: 0,
    loses_answers: true,
};
const UNREACHABLE: PlatformFault = PlatformFault {
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
async fn a_submission_with_a_lost_answer_returns_its_actual_result() {
    let (memory, platform) = platform();
    let store = NoteStore::new(platform);
    memory.set_fault(LOSING_ANSWERS);
    let submitted = store
        .submit(&note("one"))
        .await
        .expect("the note is stored");
    assert_eq!(submitted.number, 1);
    memory.set_fault(PlatformFault::default());
    let again = store
        .submit(&note("one"))
        .await
        .expect("the note is stored");
    assert_eq!((again.number, again.is_duplicate), (1, true));
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
async fn the_loser_of_two_concurrent_submissions_gets_number_taken() {
    let (memory, platform) = platform();
    // With the delay, both submissions read the log before either writes to it.
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
    let has_conflict = results
        .iter()
        .any(|result| matches!(result, Err(SubmitError::NumberTaken { number: 1, .. })));
    assert!(has_conflict, "{results:?}");
}

#[tokio::test]
async fn a_key_has_one_winner_even_if_answers_are_lost() {
    let (memory, platform) = platform();
    let claims = ClaimStore::new(platform, 100);
    memory.set_fault(LOSING_ANSWERS);
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
        "a late record of an attempt that no longer holds the claim is ignored"
    );
    assert!(claims.finish(&key, &second, ClaimState::Ran).await);
    assert_eq!(
        claims.claim(&key, &third).await,
        ClaimAnswer::Held(ClaimState::Ran)
    );
}

#[tokio::test]
async fn nothing_is_claimed_while_the_platform_is_unreachable() {
    let (memory, platform) = platform();
    let claims = ClaimStore::new(platform, 100);
    memory.set_fault(UNREACHABLE);
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
        .expect("a snapshot exists");
    assert_eq!((number, parts), (9, part("nine")));
}
