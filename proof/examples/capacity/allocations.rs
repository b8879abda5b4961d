//! Global allocator that counts the bytes in use and the allocations.

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

static BYTES_IN_USE: AtomicI64 = AtomicI64::new(0);
static ALLOCATION_COUNT: AtomicU64 = AtomicU64::new(0);

struct CountingAllocator;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

// SAFETY: All calls are forwarded unchanged to the system allocator; the counters are
// atomics and do not allocate.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        BYTES_IN_USE.fetch_add(layout.size() as i64, Ordering::Relaxed);
        ALLOCATION_COUNT.fetch_add(1, Ordering::Relaxed);
        // SAFETY: The caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        BYTES_IN_USE.fetch_sub(layout.size() as i64, Ordering::Relaxed);
        // SAFETY: The caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

/// Allocated bytes that have not been freed.
pub(super) fn bytes_in_use() -> f64 {
    BYTES_IN_USE.load(Ordering::Relaxed) as f64
}

/// Number of allocations since the start of the process.
pub(super) fn allocation_count() -> u64 {
    ALLOCATION_COUNT.load(Ordering::Relaxed)
}
