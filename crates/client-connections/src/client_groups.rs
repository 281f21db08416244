use std::sync::Arc;

use medlarpin_core::client_pressure::ClientLimits;
use medlarpin_core::prelude::Clock;

use crate::clients::{ClientCounts, Clients, descriptor_limit};
use crate::sockets::Sockets;

/// The clients of a process by the address that they use. Each group has connections and memory that no other
/// group can take.
#[derive(Debug, Clone)]
pub struct ClientGroups {
    /// Callers. Their memory also holds the results that other daemons have asked for.
    pub callers: Clients,
    /// Operators.
    pub operators: Clients,
    /// The load balancer's readiness checks.
    pub readiness_checks: Clients,
    /// Messages of other daemons, from the time when they begin to arrive until they are no longer used. The
    /// connections of other daemons are counted by `callers`, and so are their results.
    pub messages: Clients,
    /// Buffers of connections to leafs.
    pub leafs: Clients,
    /// Descriptors of the connections of callers, of other daemons and to leafs.
    pub sockets: Sockets,
}

impl ClientGroups {
    /// Creates the groups of a process with this memory; reads the descriptor limit of the process.
    #[must_use]
    pub fn new(memory_bytes: usize, clock: &Arc<dyn Clock>) -> Self {
        let group = |limits| Clients::with_limits(limits, Arc::clone(clock));
        let descriptors = descriptor_limit();
        let sockets = Sockets::new(ClientLimits::sockets_max(descriptors));
        Self {
            callers: Clients::with_sockets(
                ClientLimits::new(memory_bytes, descriptors),
                sockets.clone(),
                Arc::clone(clock),
            ),
            operators: group(ClientLimits::for_operators(memory_bytes)),
            readiness_checks: group(ClientLimits::for_readiness_checks(memory_bytes)),
            messages: Clients::for_messages(
                ClientLimits::message_bytes_max(memory_bytes),
                Arc::clone(clock),
            ),
            leafs: Clients::for_leafs(
                ClientLimits::leaf_bytes_max(memory_bytes),
                Arc::clone(clock),
            ),
            sockets,
        }
    }

    /// Disconnects slow clients of the groups that are under pressure.
    pub fn disconnect_slow(&self) {
        for group in self.all() {
            // The counts have the number.
            let _ = group.disconnect_slow();
        }
    }

    /// Returns what has been done to the clients of all groups so far.
    #[must_use]
    pub fn counts(&self) -> ClientCounts {
        let groups = self.all().map(Clients::counts);
        groups
            .into_iter()
            .fold(ClientCounts::default(), |sum, group| ClientCounts {
                disconnected: sum.disconnected + group.disconnected,
                connections_refused: sum.connections_refused + group.connections_refused,
                denied: sum.denied + group.denied,
            })
    }

    fn all(&self) -> [&Clients; 5] {
        [
            &self.callers,
            &self.operators,
            &self.readiness_checks,
            &self.messages,
            &self.leafs,
        ]
    }
}
