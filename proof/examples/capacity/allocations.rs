//! Counting memory and allocations.

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

static BYTES: AtomicI64 = AtomicI64::new(0);
static COUNT: AtomicU64 = AtomicU64::new(0);

struct Counting;

#[global_allocator]
static ALLOCATOR: Counting = Counting;

// SAFETY: All calls go to the system's allocator unchanged; counting touches
// nothing but atomics.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        BYTES.fetch_add(layout.size() as i64, Ordering::Relaxed);
        COUNT.fetch_add(1, Ordering::Relaxed);
        // SAFETY: The caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        BYTES.fetch_sub(layout.size() as i64, Ordering::Relaxed);
        // SAFETY: The caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

/// Bytes in use.
pub(super) fn bytes() -> f64 {
    BYTES.load(Ordering::Relaxed) as f64
}

/// Allocations so far.
pub(super) fn count() -> u64 {
    COUNT.load(Ordering::Relaxed)
}
