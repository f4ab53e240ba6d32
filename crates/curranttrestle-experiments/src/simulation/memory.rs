//! The memory of this process.

/// Size of a memory page in bytes on the supported machines.
const PAGE_BYTES: u64 = 4_096;

/// The resident memory of this process in bytes. Zero where procfs is not available.
pub fn resident_bytes() -> u64 {
    let Ok(text) = std::fs::read_to_string("/proc/self/statm") else {
        return 0;
    };
    let pages = text.split_whitespace().nth(1);
    let pages: u64 = pages.and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * PAGE_BYTES
}
