//! An oracle that knows all requests and all targets at each moment.
//!
//! All slots serve one queue, most urgent requests first, then those with the least time left. A
//! request that cannot be served within its latency objective is dropped, and no slot is ever idle
//! while one waits.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::simulation::SLOTS;
use crate::simulation::TARGETS;
use crate::simulation::Trace;

/// Returns by call whether the oracle serves it within its latency objective.
pub(crate) fn serve(trace: &Trace) -> Vec<bool> {
    let mut in_time = vec![false; trace.calls.len()];
    let mut free_at_us: BinaryHeap<Reverse<u64>> =
        (0..TARGETS as u32 * SLOTS).map(|_| Reverse(0)).collect();
    // Waiting calls by priority and the time by which their work has to begin.
    let mut waiting: BinaryHeap<Reverse<(usize, u64, usize)>> = BinaryHeap::new();
    let mut next = 0;
    while let Some(Reverse(slot_us)) = free_at_us.pop() {
        let now_us = match (waiting.is_empty(), trace.calls.get(next)) {
            (true, None) => break,
            (true, Some(call)) => slot_us.max(call.began_us),
            (false, _) => slot_us,
        };
        while let Some(call) = trace.calls.get(next).filter(|call| call.began_us <= now_us) {
            let latest_us = (call.began_us + call.objective_us).saturating_sub(call.work_us);
            waiting.push(Reverse((call.kind, latest_us, next)));
            next += 1;
        }
        let mut free_us = now_us;
        while let Some(Reverse((_, latest_us, call))) = waiting.pop() {
            if latest_us >= now_us {
                in_time[call] = true;
                free_us = now_us + trace.calls[call].work_us;
                break;
            }
        }
        free_at_us.push(Reverse(free_us));
    }
    in_time
}
