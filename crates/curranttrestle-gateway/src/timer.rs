//! Waiting, in milliseconds.

use std::future::Future;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::Timer;

use crate::clock;

/// Waits for a time.
pub async fn sleep_ms(duration_ms: u64) {
    Timer::after(Duration::from_millis(duration_ms)).await;
}

/// Waits until a moment of the steady clock.
pub async fn sleep_until(steady_ms: u64) {
    sleep_ms(steady_ms.saturating_sub(clock::now().steady_ms)).await;
}

/// Waits for `work` for a limited time. None: the time is over, and `work` was dropped.
///
/// ```
/// use curranttrestle_gateway::timer::within;
/// assert_eq!(smol::block_on(within(1_000, async { 7 })), Some(7));
/// assert_eq!(smol::block_on(within(1, std::future::pending::<u32>())), None);
/// ```
pub async fn within<T>(limit_ms: u64, work: impl Future<Output = T>) -> Option<T> {
    let expire = async {
        sleep_ms(limit_ms).await;
        None
    };
    async { Some(work.await) }.or(expire).await
}
