//! Stops a gateway.

use std::rc::Rc;

use async_task::Task;

use crate::clock;
use crate::front::ClientConnections;
use crate::gateway::{Gateway, Phase, TICK_INTERVAL_MS};
use crate::peers::Peers;
use crate::reload::SettingsCheck;
use crate::settings::{GatewaySettings, ReloadCause};
use crate::timer::sleep_ms;

/// Stops gracefully: waits until the load balancer has noticed that the gateway is not ready,
/// then completes requests in flight.
pub async fn shut_down<F: FnMut(ReloadCause) -> Option<GatewaySettings>>(
    gateway: &Rc<Gateway>,
    clients: &ClientConnections,
    peers: &Peers,
    accepting: Task<()>,
    mut settings: SettingsCheck<F>,
) {
    let started_ms = clock::now().steady_ms;
    let mut grace_ms = gateway.bounds().stop.grace_ms;
    gateway.phase.set(Phase::NotReady);
    log::info!(
        "kind=stopping open_requests={} grace_ms={grace_ms}",
        gateway.open_requests.get()
    );
    let mut accepting = Some(accepting);
    loop {
        sleep_ms(TICK_INTERVAL_MS).await;
        let now = clock::now();
        gateway.tick(now);
        peers.send_due(gateway, now);
        settings.update(gateway, now);
        let options = gateway.bounds().stop;
        // The platform may still apply a longer time that was announced before.
        grace_ms = grace_ms.max(options.grace_ms);
        let elapsed_ms = now.since_ms(started_ms);
        if elapsed_ms >= options.accept_ms
            && let Some(accepting) = accepting.take()
        {
            accepting.cancel().await;
            clients.close_idle();
        }
        if accepting.is_none() {
            let exit_ms = started_ms.saturating_add(grace_ms);
            gateway.phase.set(Phase::Draining { exit_ms });
        }
        let is_done = accepting.is_none() && clients.open_count() == 0;
        if is_done || elapsed_ms >= grace_ms {
            return;
        }
    }
}
