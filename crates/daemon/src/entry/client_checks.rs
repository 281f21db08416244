//! Disconnects slow clients under pressure, and reports it.

use std::time::Duration;

use client_connections::{ClientCounts, ClientGroups};

use crate::logging::ENTRY;

/// Interval between two searches for slow clients.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Number of searches between two log lines, which bounds the number of lines.
const CHECKS_PER_LINE: u32 = 4;

/// Disconnects slow clients under pressure; never ends.
pub async fn disconnect_slow_clients(clients: ClientGroups) {
    let mut logged = ClientCounts::default();
    loop {
        for _ in 0..CHECKS_PER_LINE {
            tokio::time::sleep(CHECK_INTERVAL).await;
            clients.disconnect_slow();
        }
        let counts = clients.counts();
        if counts != logged {
            log::warn!(
                target: ENTRY,
                "Disconnected {} slow clients, refused {} connections and denied memory {} times; {} bytes are \
                 held for {} callers.",
                counts.disconnected - logged.disconnected,
                counts.connections_refused - logged.connections_refused,
                counts.denied - logged.denied,
                clients.callers.used_bytes(),
                clients.callers.open_count(),
            );
            logged = counts;
        }
    }
}
