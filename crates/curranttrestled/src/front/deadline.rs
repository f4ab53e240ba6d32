//! Waits that end at a deadline.

use std::time::Duration;

use futures_lite::FutureExt;

use crate::shared::Shared;

/// Waits for `future` at most until `deadline_ms` of steady time.
pub async fn until<T>(
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
