//! Futures with a deadline.

use std::time::Duration;

use futures_lite::FutureExt;

use crate::shared::Shared;

/// Waits for `future` until `deadline_ms` of steady time. Returns `None` if the deadline passes
/// first, and drops the future.
pub async fn with_deadline<T>(
    shared: &Shared,
    deadline_ms: u64,
    future: impl Future<Output = T>,
) -> Option<T> {
    let left_ms = deadline_ms.saturating_sub(shared.clock.now().steady_ms);
    let done = async { Some(future.await) };
    let expired = async {
        smol::Timer::after(Duration::from_millis(left_ms)).await;
        None
    };
    done.or(expired).await
}
