//! Tests of the watch that tells a pausing target from a dead one.

use policy::exchange::ACK_TIMEOUT_US;
use policy::exchange::SendState;
use policy::exchange::WINDOW_CHECK_PERIOD_US;
use policy::exchange::WindowStep;
use policy::exchange::WindowWatch;

const SECOND_US: u64 = 1_000_000;
/// Longest time between the system's own probes.
const MAX_BACKOFF_US: u64 = 120 * SECOND_US;

/// A connection whose peer has a closed window from the start, and acknowledges probes until it
/// dies.
struct Connection {
    watch: WindowWatch,
    /// Timeout that the system applies, in microseconds.
    timeout_us: u64,
    acked_us: u64,
}

impl Connection {
    /// Returns when the connection ends, in microseconds, if it does by `until_us`.
    fn run(&mut self, died_us: u64, until_us: u64) -> Option<u64> {
        let mut next_probe_us = 200_000;
        let mut backoff_us = 400_000;
        for now_us in (0..until_us).step_by(50_000) {
            if now_us >= self.timeout_us {
                return Some(now_us);
            }
            if now_us >= next_probe_us {
                if now_us < died_us {
                    self.acked_us = now_us;
                }
                // The system sends a probe before its timeout ends, however far it has backed off.
                let left_us = self.timeout_us - now_us;
                next_probe_us = now_us + backoff_us.min(left_us);
                backoff_us = (backoff_us * 2).min(MAX_BACKOFF_US);
            }
            if !now_us.is_multiple_of(WINDOW_CHECK_PERIOD_US) {
                continue;
            }
            let state = SendState {
                acked_bytes: 70_000,
                has_unacked: true,
                since_ack_us: now_us - self.acked_us,
            };
            match self.watch.check(now_us, state) {
                WindowStep::Keep => {}
                WindowStep::SetTimeout(timeout_us) => self.timeout_us = timeout_us,
                WindowStep::Dead => return Some(now_us),
            }
        }
        None
    }
}

fn connection() -> Connection {
    Connection {
        watch: WindowWatch::default(),
        timeout_us: ACK_TIMEOUT_US,
        acked_us: 0,
    }
}

/// Guards against requests that are lost as their target pauses while it reads a long body.
#[test]
fn a_target_that_acknowledges_probes_may_pause_for_long() {
    let end = connection().run(u64::MAX, 60 * SECOND_US);
    assert_eq!(end, None);
}

/// Guards against a dead or cut-off target that is noticed later because it paused before.
#[test]
fn a_target_that_dies_is_noticed_within_the_acknowledgement_timeout() {
    for died_us in (0..20 * SECOND_US).step_by(100_000) {
        let mut connection = connection();
        let end_us = connection.run(died_us, 60 * SECOND_US).expect("no end");
        let silent_us = end_us - connection.acked_us;
        assert!(
            silent_us <= ACK_TIMEOUT_US + WINDOW_CHECK_PERIOD_US,
            "{died_us}: {silent_us}"
        );
        assert!(end_us >= died_us.min(ACK_TIMEOUT_US), "{died_us}: {end_us}");
    }
}

/// Guards against a longer timeout that stays after the pause.
#[test]
fn the_timeout_returns_when_bytes_advance() {
    let mut connection = connection();
    assert_eq!(connection.run(u64::MAX, 10 * SECOND_US), None);
    assert!(connection.timeout_us > 10 * SECOND_US);
    let advanced = SendState {
        acked_bytes: 80_000,
        has_unacked: true,
        since_ack_us: 0,
    };
    let step = connection.watch.check(10 * SECOND_US, advanced);
    assert_eq!(step, WindowStep::SetTimeout(ACK_TIMEOUT_US));
}
