//! Order and refusals of the queue of one service in one instance.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::ResultCode;
use policy::limits::FairQueue;

const NOW_US: u64 = 1_000_000;
const DEADLINE_US: u64 = NOW_US + 10_000_000_000;
const LIMIT: usize = 100;

fn push(queue: &mut FairQueue<u8>, priority: u8, customer: &str) -> Result<(), ResultCode> {
    let customer: Arc<str> = customer.into();
    queue
        .push(NOW_US, (priority, &customer), DEADLINE_US, LIMIT, priority)
        .map_err(|refusal| refusal.code)
}

#[test]
fn more_urgent_requests_are_served_first() {
    let mut queue = FairQueue::default();
    for priority in [2, 0, 1, 0] {
        push(&mut queue, priority, "a").expect("queue has room");
    }
    let order: Vec<u8> = std::iter::from_fn(|| queue.pop(NOW_US)).collect();
    assert_eq!(order, [0, 0, 1, 2]);
    assert!(queue.is_empty());
}

#[test]
fn customers_of_one_priority_take_turns() {
    let mut queue = FairQueue::default();
    for number in 0..10 {
        let customer: Arc<str> = if number < 8 { "busy" } else { "idle" }.into();
        queue
            .push(NOW_US, (1, &customer), DEADLINE_US, LIMIT, customer.clone())
            .expect("queue has room");
    }
    let first: Vec<Arc<str>> = (0..4).filter_map(|_| queue.pop(NOW_US)).collect();
    let idle = first.iter().filter(|customer| &***customer == "idle");
    assert_eq!(idle.count(), 2);
}

/// Guards against a less urgent kind that waits for ever behind a steady stream of urgent requests.
#[test]
fn a_lower_priority_gets_a_quarter_of_its_fair_turns() {
    let mut queue = FairQueue::default();
    for _ in 0..20 {
        push(&mut queue, 0, "a").expect("queue has room");
        push(&mut queue, 3, "a").expect("queue has room");
    }
    let mut served: BTreeMap<u8, usize> = BTreeMap::new();
    for _ in 0..400 {
        let priority = queue.pop(NOW_US).expect("queue is never empty");
        *served.entry(priority).or_default() += 1;
        push(&mut queue, priority, "a").expect("queue has room");
    }
    // Half of the waiting requests are of each priority, so the fair turn is 200.
    assert!((48..=54).contains(&served[&3]), "{served:?}");
}

/// Guards against urgent requests that are refused because less urgent ones fill the queue.
#[test]
fn less_urgent_requests_take_no_room_from_urgent_ones() {
    let mut queue = FairQueue::default();
    for _ in 0..LIMIT {
        push(&mut queue, 1, "a").expect("queue has room");
    }
    assert_eq!(push(&mut queue, 1, "a"), Err(ResultCode::QueueFull));
    assert_eq!(push(&mut queue, 2, "a"), Err(ResultCode::QueueFull));
    assert_eq!(push(&mut queue, 0, "a"), Ok(()));
    assert_eq!(queue.len(), LIMIT + 1);
}

#[test]
fn abandoned_requests_are_removed_from_each_priority() {
    let mut queue = FairQueue::default();
    for priority in 0..3 {
        push(&mut queue, priority, "a").expect("queue has room");
        push(&mut queue, priority, "b").expect("queue has room");
    }
    queue.remove(&"a".into(), |priority| *priority > 0);
    assert_eq!(queue.len(), 4);
    let order: Vec<u8> = std::iter::from_fn(|| queue.pop(NOW_US)).collect();
    assert_eq!(order, [0, 0, 1, 2]);
}
