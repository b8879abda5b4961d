//! Tests of the memory that bodies may take, and of the bodies in flight to one target.

use std::sync::Arc;

use policy::limits::BodyMemory;
use policy::routing::TargetLoad;
use policy::routing::counted_body_bytes;

const MIB: u64 = 1 << 20;
const KIB: u64 = 1 << 10;

/// Guards against an instance whose memory large bodies fill, so that small ones are refused too.
#[test]
fn large_bodies_are_refused_at_their_part_of_the_limit_and_small_ones_go_on() {
    let memory = Arc::new(BodyMemory::new(8 * MIB));
    let mut held = Vec::new();
    while let Some(reservation) = memory.reserve_kept(64 * KIB) {
        held.push(reservation);
        assert!(memory.held_bytes() <= 7 * MIB);
    }
    assert_eq!(held.len(), 112);
    assert!(memory.reserve_streamed(Some(64 * MIB)).is_none());
    assert!(memory.reserve_streamed(None).is_none());
    while let Some(reservation) = memory.reserve_kept(16 * KIB) {
        held.push(reservation);
    }
    assert_eq!(memory.held_bytes(), 8 * MIB);
    assert!(memory.reserve_kept(1).is_none());
    // A request without a body needs no memory.
    assert!(memory.reserve_kept(0).is_some());
    held.clear();
    assert_eq!(memory.held_bytes(), 0);
    assert!(memory.reserve_streamed(Some(64 * MIB)).is_some());
}

/// Guards against connections that go on filling their buffers while memory is scarce, and against
/// bounds that apply in normal service.
#[test]
fn connections_hold_little_only_while_memory_is_scarce() {
    for limit_bytes in [40 * MIB, 256 * MIB] {
        let memory = BodyMemory::new(limit_bytes);
        memory.hold(limit_bytes / 8);
        assert!(memory.may_take_more(MIB));
        assert_eq!(memory.read_limit_bytes(), None);
        memory.hold(1);
        assert!(!memory.may_take_more(MIB));
        assert!(memory.may_take_more(8 * KIB));
        assert!(memory.read_limit_bytes() < Some(64 << 10));
        memory.release(limit_bytes / 8 + 1);
        assert!(memory.may_take_more(MIB));
        assert_eq!(memory.held_bytes(), 0);
    }
    assert_eq!(BodyMemory::new(MIB).unsent_limit_bytes(), 128 * KIB);
    assert_eq!(BodyMemory::new(40 * MIB).unsent_limit_bytes(), 640 * KIB);
    assert_eq!(BodyMemory::new(256 * MIB).unsent_limit_bytes(), MIB);
}

/// Guards against a target that gets more bodies at a time than its memory holds.
#[test]
fn a_target_at_its_bound_has_no_room_for_a_body_and_takes_others() {
    let load = Arc::new(TargetLoad::new(100));
    let first = load.take_for(0, 6 * MIB).expect("the target is idle");
    assert!(load.take_for(0, 3 * MIB).is_none());
    assert!(!load.has_room_for(0, 3 * MIB));
    let second = load.take_for(0, 2 * MIB).expect("the body fits");
    assert!(load.take_for(0, 1).is_none());
    assert!(load.take(0).is_some(), "a request without a body has room");
    // The body is in flight for longer than the request.
    let body = first.body();
    drop(first);
    assert!(load.take_for(0, 3 * MIB).is_none());
    drop(body);
    assert!(load.take_for(0, 3 * MIB).is_some());
    drop(second);
    // A body above the bound goes to a target without any.
    let large = load.take_for(0, 64 * MIB);
    assert!(large.is_some());
    assert!(load.take_for(0, 1).is_none());
    drop(large);
    let undeclared = counted_body_bytes(None);
    let bodies: Vec<_> = std::iter::from_fn(|| load.take_for(0, undeclared)).collect();
    assert_eq!(bodies.len(), 8);
}

/// Guards against read buffers that are not counted: those of 330 unread responses took 40 MB.
#[test]
fn the_read_buffers_of_long_bodies_count() {
    let memory = BodyMemory::new(8 * MIB);
    assert_eq!(memory.read_buffer_bytes(16 * KIB), 0);
    assert_eq!(memory.read_buffer_bytes(16 * KIB + 1), 128 * KIB);
    memory.hold(2 * MIB);
    assert_eq!(memory.read_buffer_bytes(16 * KIB + 1), 16 * KIB);
}
