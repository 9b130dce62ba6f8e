//! A global allocator that counts the allocated bytes.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

static LIVE_BYTES: AtomicUsize = AtomicUsize::new(0);

/// The system allocator with a counter of the live bytes.
pub struct CountingAllocator;

// SAFETY: every call is forwarded unchanged to the system allocator, which upholds the contract of
// `GlobalAlloc`; the counter does not access the memory.
#[allow(unsafe_code, reason = "a global allocator cannot be written without it")]
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        LIVE_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `dealloc`, and `System` allocated the block.
        unsafe { System.dealloc(pointer, layout) }
    }
}

/// Returns the number of bytes that are allocated now.
pub fn live_bytes() -> f64 {
    LIVE_BYTES.load(Ordering::Relaxed) as f64
}
