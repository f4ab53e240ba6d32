//! Timers in milliseconds.

use std::future::Future;
use std::time::Duration;

use futures_lite::FutureExt;
use tokio::time;

use crate::clock;

/// Waits for a duration.
pub async fn sleep_ms(duration_ms: u64) {
    time::sleep(Duration::from_millis(duration_ms)).await;
}

/// Waits until a time of the steady clock.
pub async fn sleep_until(steady_ms: u64) {
    sleep_ms(steady_ms.saturating_sub(clock::now().steady_ms)).await;
}

/// Waits for `work` at most `limit_ms`. On timeout drops `work` and returns `None`.
///
/// ```
/// use curranttrestle_gateway::executor::block_on;
/// use curranttrestle_gateway::timer::with_timeout;
/// assert_eq!(block_on(with_timeout(1_000, async { 7 }))?, Some(7));
/// assert_eq!(block_on(with_timeout(1, std::future::pending::<u32>()))?, None);
/// # Ok::<(), std::io::Error>(())
/// ```
pub async fn with_timeout<T>(limit_ms: u64, work: impl Future<Output = T>) -> Option<T> {
    let timeout = async {
        sleep_ms(limit_ms).await;
        None
    };
    async { Some(work.await) }.or(timeout).await
}
