//! When refused callers are told to come back, and what they get then.

use model::ResultCode;
use policy::limits::Refused;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn times(refused: Refused, count: usize) -> Vec<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut times: Vec<u64> = (0..count)
        .map(|_| refused.return_after_ms(&mut rng))
        .collect();
    times.sort_unstable();
    times
}

#[test]
fn callers_refused_together_do_not_come_back_together() {
    let refused = Refused {
        code: ResultCode::TargetRefused,
        is_full: true,
        left_us: 8_000_000,
    };
    let times = times(refused, 1_000);
    let busiest = times.iter().map(|from| {
        let within = |time: &&u64| (*from..*from + 100).contains(*time);
        times.iter().filter(within).count()
    });
    // Spread over 900 ms, a tenth of a second gets about a ninth of them.
    assert!(busiest.max().unwrap_or(0) < 200);
}

#[test]
fn callers_stay_away_longer_where_targets_are_full() {
    let at = |is_full| Refused {
        code: ResultCode::TargetRefused,
        is_full,
        left_us: 8_000_000,
    };
    assert!(times(at(true), 100)[50] > 2 * times(at(false), 100)[50]);
}

#[test]
fn no_caller_is_sent_away_beyond_a_quarter_of_its_time() {
    let refused = Refused {
        code: ResultCode::NoTarget,
        is_full: true,
        left_us: 400_000,
    };
    assert!(times(refused, 100).iter().all(|time| *time <= 100));
}

#[test]
fn an_instance_that_cannot_serve_sends_callers_to_another_at_once() {
    let refused = Refused {
        code: ResultCode::Draining,
        is_full: true,
        left_us: 8_000_000,
    };
    assert!(times(refused, 100).iter().all(|time| *time <= 150));
}
