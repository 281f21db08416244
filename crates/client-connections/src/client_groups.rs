use std::sync::Arc;

use medlarpin_core::client_pressure::ClientLimits;
use medlarpin_core::prelude::Clock;
use medlarpin_core::routing::MemoryBudget;

use crate::account::Account;
use crate::clients::{ClientCounts, Clients, descriptor_limit};
use crate::common_memory::CommonMemory;
use crate::sockets::Sockets;

/// What a process holds for others, by whom it is held for.
///
/// Each group has connections and a part of the memory that no other group can take. What all of them take together
/// is less than the sum of their limits, so that a group can use what the others leave.
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
        let descriptors = descriptor_limit();
        let sockets = Sockets::new(ClientLimits::sockets_max(descriptors));
        let common = CommonMemory::new(ClientLimits::total_bytes_max(memory_bytes));
        let account = |budget: MemoryBudget, guaranteed_bytes: usize| {
            Account::new(budget, guaranteed_bytes, common.clone())
        };
        let callers = ClientLimits::new(memory_bytes, descriptors);
        let callers_memory = account(
            MemoryBudget::new(callers.held_bytes_max),
            ClientLimits::callers_guaranteed_bytes(memory_bytes),
        );
        let others_guaranteed_bytes = ClientLimits::others_guaranteed_bytes(memory_bytes);
        // Their few connections need no descriptors of the common ones. A single state dump of a large fleet may take
        // most of their memory.
        let few = |limits: ClientLimits| {
            let budget = MemoryBudget::with_free_part(limits.held_bytes_max, 1);
            let memory = account(budget, limits.held_bytes_max.min(others_guaranteed_bytes));
            Clients::with_memory(limits, Sockets::new(usize::MAX), memory, Arc::clone(clock))
        };
        let messages_max = ClientLimits::message_bytes_max(memory_bytes);
        let messages = account(
            Clients::message_budget(messages_max),
            others_guaranteed_bytes,
        );
        let leafs_max = ClientLimits::leaf_bytes_max(memory_bytes);
        let leafs = account(Clients::leaf_budget(leafs_max), others_guaranteed_bytes);
        Self {
            operators: few(ClientLimits::for_operators(memory_bytes)),
            readiness_checks: few(ClientLimits::for_readiness_checks(memory_bytes)),
            messages: Clients::for_memory(messages_max, messages, Arc::clone(clock)),
            leafs: Clients::for_memory(leafs_max, leafs, Arc::clone(clock)),
            callers: Clients::with_memory(
                callers,
                sockets.clone(),
                callers_memory,
                Arc::clone(clock),
            ),
            sockets,
        }
    }

    /// Disconnects slow clients of the groups that are under pressure. Messages and leafs have no clients.
    pub fn disconnect_slow(&self) {
        for group in [&self.callers, &self.operators, &self.readiness_checks] {
            // The counts have the number.
            let _ = group.disconnect_slow();
        }
    }

    /// Returns what has been done to the clients of all groups so far.
    #[must_use]
    pub fn counts(&self) -> ClientCounts {
        let groups = self.all().map(Clients::counts);
        let add = |sum: ClientCounts, group: ClientCounts| ClientCounts {
            disconnected: sum.disconnected + group.disconnected,
            connections_refused: sum.connections_refused + group.connections_refused,
            denied: sum.denied + group.denied,
        };
        groups.into_iter().fold(ClientCounts::default(), add)
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
