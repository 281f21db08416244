//! Disconnects slow clients under pressure, and reports it.

use std::sync::Arc;
use std::time::Duration;

use client_connections::ClientCounts;
use tokio::time::sleep;

use crate::event::Event;
use crate::leaf_room::close_idle_connections;
use crate::shared::Shared;

/// Interval between two searches for slow callers.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Number of searches between two log lines, which bounds the number of lines.
const CHECKS_PER_LINE: u32 = 4;

/// Runs the task that disconnects slow callers; it never ends.
pub(crate) async fn disconnect_slow_callers(shared: Arc<Shared>) {
    let mut logged = ClientCounts::default();
    loop {
        for _ in 0..CHECKS_PER_LINE {
            sleep(CHECK_INTERVAL).await;
            shared.clients.disconnect_slow();
            if shared.clients.sockets.are_short() {
                let _ = close_idle_connections(&shared);
            }
        }
        let counts = shared.clients.counts();
        if counts != logged {
            Event::CallersLimited {
                disconnected: counts.disconnected - logged.disconnected,
                connections_refused: counts.connections_refused - logged.connections_refused,
                denied: counts.denied - logged.denied,
                held_bytes: shared.clients.callers.used_bytes(),
                connections: shared.clients.callers.open_count(),
            }
            .log();
            logged = counts;
        }
    }
}
