//! What signals do to the belief in a target.

use policy::evidence::BASE_FAILURE_PROBABILITY;
use policy::evidence::FailureEstimate;
use policy::evidence::Signal;

const SECOND_US: u64 = 1_000_000;

#[test]
fn one_reset_decides_and_one_error_does_not() {
    let fresh = FailureEstimate::default();
    assert!(fresh.after(0, Signal::Reset).at(0) > 0.9);
    let after_error = fresh.after(0, Signal::Error).at(0);
    assert!((0.15..0.25).contains(&after_error));
    let after_two = fresh.after(0, Signal::Error).after(0, Signal::Error).at(0);
    assert!(after_two > 0.5);
}

#[test]
fn a_target_left_alone_is_believed_again_after_the_longest_spell() {
    let suspect = FailureEstimate::default().after(0, Signal::Reset);
    assert!(suspect.at(5 * SECOND_US) > 0.3);
    assert!(suspect.at(13 * SECOND_US) < 0.25);
    assert!(suspect.at(600 * SECOND_US) >= BASE_FAILURE_PROBABILITY * 0.99);
}

#[test]
fn good_answers_clear_a_doubt_that_has_faded() {
    let suspect = FailureEstimate::default().after(0, Signal::Reset);
    let tried = suspect.after(6 * SECOND_US, Signal::Good);
    assert!(tried.at(6 * SECOND_US) < 0.25);
    let failed = suspect.after(6 * SECOND_US, Signal::Reset);
    assert!(failed.at(6 * SECOND_US) > 0.9);
}

#[test]
fn good_answers_never_make_a_target_trusted_beyond_rest() {
    let mut estimate = FailureEstimate::default();
    for _ in 0..100 {
        estimate = estimate.after(0, Signal::Good);
    }
    assert!(estimate.after(0, Signal::Reset).at(0) > 0.9);
}
