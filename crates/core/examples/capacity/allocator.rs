//! A global allocator that counts the bytes that are handed out.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

static LIVE_BYTES: AtomicUsize = AtomicUsize::new(0);

/// The system's allocator, with a count of live bytes.
pub struct CountingAllocator;

// SAFETY: every call is passed on unchanged to the system's allocator, which keeps the contract of
// `GlobalAlloc`; the counter does not touch the memory.
#[allow(unsafe_code, reason = "a global allocator cannot be written without it")]
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        LIVE_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `dealloc`, and `System` allocated the block.
        unsafe { System.dealloc(pointer, layout) }
    }
}

/// Bytes that are allocated at present.
pub fn live_bytes() -> f64 {
    LIVE_BYTES.load(Ordering::Relaxed) as f64
}
