//! Tests of the limit of the time that an answer takes.

use border::TransferLimit;

const LIMIT: TransferLimit = TransferLimit {
    max_pause_ms: 800,
    min_bytes_per_s: 100_000,
};

#[test]
fn a_pause_is_limited_whatever_has_arrived() {
    assert_eq!(LIMIT.next_part_ms(0, 0), Some(800));
    assert_eq!(LIMIT.next_part_ms(500, 1_000_000), Some(800));
    assert_eq!(LIMIT.next_part_ms(9_000, 1_000_000), Some(800));
}

#[test]
fn time_is_granted_for_what_has_arrived_only() {
    // 10 ms for each kilobyte, beside one pause.
    assert_eq!(LIMIT.next_part_ms(700, 0), Some(100));
    assert_eq!(LIMIT.next_part_ms(800, 0), None);
    assert_eq!(LIMIT.next_part_ms(800, 1_000), Some(10));
    assert_eq!(LIMIT.next_part_ms(810, 1_000), None);
    assert_eq!(LIMIT.next_part_ms(10_799, 1_000_000), Some(1));
    assert_eq!(LIMIT.next_part_ms(10_800, 1_000_000), None);
}

#[test]
fn large_answers_do_not_overflow() {
    assert_eq!(LIMIT.next_part_ms(u64::MAX, usize::MAX), None);
    assert_eq!(LIMIT.next_part_ms(0, usize::MAX), Some(800));
}
