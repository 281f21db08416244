use client_connections::ClientGroups;
use prometheus::{IntGauge, Registry};

/// Gauges of the memory and the connections of clients, updated when metrics are requested.
#[derive(Debug)]
pub(crate) struct ClientMetrics {
    held_bytes: IntGauge,
    caller_connections: IntGauge,
    clients_disconnected: IntGauge,
    connections_refused: IntGauge,
    room_denied: IntGauge,
}

impl ClientMetrics {
    /// Creates and registers the gauges.
    pub(crate) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let gauge = |name: &str, help: &str| -> Result<IntGauge, prometheus::Error> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        Ok(Self {
            held_bytes: gauge(
                "medlarpin_held_bytes",
                "Bytes held for callers, leafs and other daemons",
            )?,
            caller_connections: gauge("medlarpin_caller_connections", "Callers' connections")?,
            clients_disconnected: gauge(
                "medlarpin_clients_disconnected",
                "Slow clients disconnected since the start, for lack of room",
            )?,
            connections_refused: gauge(
                "medlarpin_connections_refused",
                "Connections closed at once since the start, as too many were open",
            )?,
            room_denied: gauge(
                "medlarpin_room_denied",
                "Requests, answers and results since the start that found no room",
            )?,
        })
    }

    /// Sets the gauges to the present state.
    pub(crate) fn update(&self, clients: &ClientGroups) {
        let counts = clients.counts();
        let set =
            |gauge: &IntGauge, value: u64| gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        set(&self.held_bytes, clients.callers.used_bytes() as u64);
        set(
            &self.caller_connections,
            clients.callers.open_count() as u64,
        );
        set(&self.clients_disconnected, counts.disconnected);
        set(&self.connections_refused, counts.connections_refused);
        set(&self.room_denied, counts.denied);
    }
}
