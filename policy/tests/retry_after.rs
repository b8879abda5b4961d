//! Retry-after times of refused callers.

use model::ResultCode;
use policy::limits::RefusedRequest;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn retry_times(refused: RefusedRequest, count: usize) -> Vec<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut retry_times: Vec<u64> = (0..count)
        .map(|_| refused.retry_after_ms(&mut rng))
        .collect();
    retry_times.sort_unstable();
    retry_times
}

#[test]
fn callers_refused_together_do_not_retry_together() {
    let refused = RefusedRequest {
        code: ResultCode::TargetRefused,
        is_full: true,
        pause_left_us: 0,
        left_us: 8_000_000,
        is_prioritized: false,
    };
    let retry_times = retry_times(refused, 1_000);
    let counts = retry_times.iter().map(|start_ms| {
        let in_window =
            |retry_after_ms: &&u64| (*start_ms..*start_ms + 100).contains(*retry_after_ms);
        retry_times.iter().filter(in_window).count()
    });
    // The times are distributed over 900 ms, so any 100 ms contain about a ninth of them.
    assert!(counts.max().unwrap_or(0) < 200);
}

#[test]
fn retry_is_later_if_the_targets_are_full() {
    let refusal = |is_full| RefusedRequest {
        code: ResultCode::TargetRefused,
        is_full,
        pause_left_us: 0,
        left_us: 8_000_000,
        is_prioritized: false,
    };
    assert!(retry_times(refusal(true), 100)[50] > 2 * retry_times(refusal(false), 100)[50]);
}

#[test]
fn retry_is_within_a_quarter_of_the_remaining_time() {
    let refused = RefusedRequest {
        code: ResultCode::NoTarget,
        is_full: true,
        pause_left_us: 0,
        left_us: 400_000,
        is_prioritized: false,
    };
    assert!(
        retry_times(refused, 100)
            .iter()
            .all(|retry_after_ms| *retry_after_ms <= 100)
    );
}

#[test]
fn retry_is_early_if_another_instance_can_serve() {
    let refused = RefusedRequest {
        code: ResultCode::Draining,
        is_full: true,
        pause_left_us: 0,
        left_us: 8_000_000,
        is_prioritized: false,
    };
    assert!(
        retry_times(refused, 100)
            .iter()
            .all(|retry_after_ms| *retry_after_ms <= 150)
    );
}

#[test]
fn retries_are_distributed_over_the_time_after_a_pause_of_all_targets() {
    let refused = RefusedRequest {
        code: ResultCode::Overloaded,
        is_full: true,
        pause_left_us: 1_500_000,
        left_us: 20_000_000,
        is_prioritized: false,
    };
    let retry_times = retry_times(refused, 1_000);
    assert!(retry_times[0] >= 1_500, "{}", retry_times[0]);
    assert!(retry_times[900] - retry_times[100] > 1_000);
}

/// Guards against callers with a priority that wait although a new request has the same chance at
/// once, and against callers that come back before a pause of all targets ends.
#[test]
fn callers_with_a_priority_come_back_soon_unless_all_targets_pause() {
    let refusal = |pause_left_us| RefusedRequest {
        code: ResultCode::TargetRefused,
        is_full: false,
        pause_left_us,
        left_us: 8_000_000,
        is_prioritized: true,
    };
    let soon = retry_times(refusal(0), 100);
    assert!(soon[0] >= 20 && soon[99] <= 60, "{soon:?}");
    assert!(retry_times(refusal(500_000), 100)[0] >= 500);
}
