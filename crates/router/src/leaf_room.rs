use std::sync::Arc;

use client_connections::Room;
use leaf_stream::{BufferMemory, BufferSizes};
use medlarpin_core::routing::{Route, RouteTarget};

use crate::attempt_result::LeafFailure;
use crate::caller_request::CallerRequest;
use crate::refusal::Refusal;
use crate::route_state::RouteState;
use crate::shared::Shared;

/// Memory for the connections to the leafs that get a request, reserved before the first of them gets it.
#[derive(Debug)]
pub(crate) struct LeafRoom {
    memory: Room,
    sizes: BufferSizes,
    state: Arc<RouteState>,
}

impl LeafRoom {
    /// Reserves memory for a connection to one leaf of each service of the route.
    ///
    /// # Errors
    ///
    /// Fails if there is no room, also after idle connections have been closed.
    pub(crate) async fn reserve(
        shared: &Shared,
        route: &Route,
        state: &Arc<RouteState>,
        request: &CallerRequest,
    ) -> Result<Self, Refusal> {
        let sizes = BufferSizes {
            head_bytes: request.head_bytes(),
            read_bytes: state.read_buffer_size.expected_bytes(),
        };
        let connections = match &route.target {
            RouteTarget::Scatter(scatter) => scatter.shards.len(),
            RouteTarget::Service(_) | RouteTarget::Split(_) => 1,
        };
        let mut memory = shared.clients.leafs.hold();
        let bytes = connections.saturating_mul(sizes.connection_bytes());
        if !memory.try_grow(bytes) {
            // Only those wait for whom connections have been closed: each return of memory wakes all that wait.
            let leafs = &shared.clients.leafs;
            if !close_idle_connections(shared) {
                leafs.record_denied();
                return Err(Refusal::OutOfMemory);
            }
            if !leafs.wait_for_relief(&mut memory, bytes).await {
                return Err(Refusal::OutOfMemory);
            }
        }
        Ok(Self {
            memory: memory.into(),
            sizes,
            state: Arc::clone(state),
        })
    }

    /// Gives a connection the memory that it needs for the request, first from the room, which a hedge or a retry
    /// may exceed.
    ///
    /// # Errors
    ///
    /// Fails if there is no memory.
    pub(crate) fn cover(&self, shared: &Shared, buffers: &BufferMemory) -> Result<(), LeafFailure> {
        let missing_bytes = buffers.missing_bytes(self.sizes);
        let mut memory = self.memory.split(self.sizes.connection_bytes());
        // A reused connection has memory of its own, so that the rest returns.
        memory.shrink(memory.bytes().saturating_sub(missing_bytes));
        if !memory.try_grow(missing_bytes - memory.bytes()) {
            shared.clients.leafs.record_denied();
            return Err(LeafFailure::NoMemory);
        }
        buffers.cover(memory, self.sizes);
        Ok(())
    }

    /// Records what a connection has needed for the request.
    pub(crate) fn record(&self, buffers: &BufferMemory) {
        self.state.read_buffer_size.record(buffers.read_bytes());
    }
}

/// Closes idle connections to leafs to make room for others; returns false if that has just been done.
pub(crate) fn close_idle_connections(shared: &Shared) -> bool {
    let is_due = shared.clients.leafs.start_search();
    if is_due {
        shared.leafs.close_longest_idle();
    }
    is_due
}
