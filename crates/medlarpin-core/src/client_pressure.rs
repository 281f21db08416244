//! Which clients are disconnected when the bytes held for them, or their connections, become too many.

use std::time::Duration;

/// Divisor of the memory of a process; the quotient is for bytes that are held for others. With three eighths
/// instead of a quarter, the crowds of the tests took 52 MB of 48: the allocator keeps freed parts of the heap,
/// and connections to leafs have read buffers as well.
const HELD_MEMORY_DIVISOR: usize = 4;
/// Divisor of the memory of a process; the quotient is for the read buffers of callers' connections.
const CONNECTION_MEMORY_DIVISOR: usize = 4;
/// Memory of a caller's connection in the worst case: a read buffer of 16 KiB that the head in use refers
/// to, and one with bytes read ahead.
const CONNECTION_BYTES: usize = 32 << 10;
/// Divisor of the descriptor limit; the quotient is for callers.
const DESCRIPTOR_DIVISOR: usize = 2;
/// Divisor of the descriptor limit; the quotient is for the connections of other daemons. The rest is for leafs,
/// connections to other daemons, and files.
const PEER_DESCRIPTOR_DIVISOR: usize = 4;
/// Connections that are accepted in any case.
const CONNECTIONS_MIN: usize = 16;
/// Divisor of the memory of a process; the quotient is for messages of other daemons.
const MESSAGE_MEMORY_DIVISOR: usize = 8;
/// Divisor of the memory of a process; the quotient is for the buffers of connections to leafs.
const LEAF_MEMORY_DIVISOR: usize = 8;
/// Part of the memory that all of these may take together. It is more than the sum of their guaranteed parts, and
/// less than that of their limits.
const TOTAL_MEMORY_PART: (usize, usize) = (11, 32);
/// Divisor of the memory of a process; the quotient is guaranteed to callers.
const CALLERS_GUARANTEED_DIVISOR: usize = 8;
/// Divisor of the memory of a process; the quotient is guaranteed each to operators, to messages of other daemons and
/// to the buffers of connections to leafs.
const OTHERS_GUARANTEED_DIVISOR: usize = 32;
/// Part of the descriptor limit that is for connections of callers, of other daemons and to leafs, which share it.
/// The rest is for operators, readiness checks, connections that the daemon opens to other daemons and to the
/// store, and files.
const SOCKET_PART: (usize, usize) = (13, 16);
/// Divisor of the memory of a process; the quotient is for answers to operators.
const OPERATOR_MEMORY_DIVISOR: usize = 16;
/// Divisor of the memory of a process; the quotient is for answers to readiness checks, which have no body.
const READINESS_MEMORY_DIVISOR: usize = 256;
/// Time for which the daemon waits for a client before the client can be disconnected. A round trip and the
/// retransmission of a lost segment take less.
pub const CLIENT_WAIT_MIN: Duration = Duration::from_secs(1);

/// What a process may use for its clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Memory for bytes that are held for others.
    pub held_bytes_max: usize,
    /// Number of open connections of callers.
    pub connections_max: usize,
    /// Number of open connections that other daemons have opened.
    pub peers_max: usize,
}

impl ClientLimits {
    /// Derives the limits from the memory and the descriptor limit of the process; `None` if the latter is
    /// unknown or unlimited.
    #[must_use]
    pub fn new(memory_bytes: usize, descriptors: Option<usize>) -> Self {
        let by_memory = memory_bytes / CONNECTION_MEMORY_DIVISOR / CONNECTION_BYTES;
        let by_descriptors = descriptors.map_or(usize::MAX, |limit| limit / DESCRIPTOR_DIVISOR);
        Self {
            held_bytes_max: memory_bytes / HELD_MEMORY_DIVISOR,
            connections_max: by_memory.min(by_descriptors).max(CONNECTIONS_MIN),
            peers_max: descriptors.map_or(usize::MAX, |limit| {
                (limit / PEER_DESCRIPTOR_DIVISOR).max(CONNECTIONS_MIN)
            }),
        }
    }

    /// Returns the limits for operators, who have a few connections and memory of their own.
    #[must_use]
    pub fn for_operators(memory_bytes: usize) -> Self {
        Self::for_few(memory_bytes / OPERATOR_MEMORY_DIVISOR)
    }

    /// Returns the limits for the load balancer's readiness checks.
    #[must_use]
    pub fn for_readiness_checks(memory_bytes: usize) -> Self {
        Self::for_few(memory_bytes / READINESS_MEMORY_DIVISOR)
    }

    /// Returns the memory for messages of other daemons, in bytes.
    #[must_use]
    pub fn message_bytes_max(memory_bytes: usize) -> usize {
        memory_bytes / MESSAGE_MEMORY_DIVISOR
    }

    /// Returns the memory for the buffers of connections to leafs, in bytes.
    #[must_use]
    pub fn leaf_bytes_max(memory_bytes: usize) -> usize {
        memory_bytes / LEAF_MEMORY_DIVISOR
    }

    /// Returns the memory that callers, operators, readiness checks, messages and buffers take together, in bytes.
    #[must_use]
    pub fn total_bytes_max(memory_bytes: usize) -> usize {
        let (part, whole) = TOTAL_MEMORY_PART;
        memory_bytes / whole * part
    }

    /// Returns the memory that callers can always take, in bytes.
    #[must_use]
    pub fn callers_guaranteed_bytes(memory_bytes: usize) -> usize {
        memory_bytes / CALLERS_GUARANTEED_DIVISOR
    }

    /// Returns the memory that operators can always take, and messages of other daemons and the buffers of connections
    /// to leafs each as much again, in bytes.
    #[must_use]
    pub fn others_guaranteed_bytes(memory_bytes: usize) -> usize {
        memory_bytes / OTHERS_GUARANTEED_DIVISOR
    }

    /// Returns the number of connections of callers, of other daemons and to leafs, all together.
    #[must_use]
    pub fn sockets_max(descriptors: Option<usize>) -> usize {
        let (part, whole) = SOCKET_PART;
        descriptors.map_or(usize::MAX, |limit| limit / whole * part)
    }

    fn for_few(held_bytes_max: usize) -> Self {
        Self {
            held_bytes_max,
            connections_max: CONNECTIONS_MIN,
            peers_max: 0,
        }
    }
}

impl ClientLimits {
    /// Returns true if so much is in use that slow clients are disconnected.
    #[must_use]
    pub fn is_exceeded_in_part(&self, used: ClientUse) -> bool {
        self.is_memory_short(used) || self.are_connections_short(used)
    }

    fn is_memory_short(&self, used: ClientUse) -> bool {
        used.held_bytes > self.held_bytes_max / 2
    }

    fn are_connections_short(&self, used: ClientUse) -> bool {
        used.connections > self.connections_max / 8 * 7
    }
}

/// What a process uses for its clients at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientUse {
    /// Bytes that are held for others.
    pub held_bytes: usize,
    /// Open connections of callers.
    pub connections: usize,
}

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientPhase {
    /// The client has not sent a complete head so far.
    New,
    /// All answers have been written; the next head has not arrived.
    Idle,
    /// The body of a request is arriving.
    Sending,
    /// The daemon works on a request.
    Served,
    /// An answer is being written.
    Receiving,
}

/// The progress of a client in its present phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientProgress {
    /// The present phase.
    pub phase: ClientPhase,
    /// Time since the phase began.
    pub waited: Duration,
    /// Bytes that the client has sent and read in the phase.
    pub moved_bytes: u64,
    /// Bytes that are held for the client.
    pub held_bytes: usize,
}

impl ClientProgress {
    fn rate_per_s(&self) -> f64 {
        self.moved_bytes as f64 / self.waited.as_secs_f64().max(f64::EPSILON)
    }

    /// Returns true if the daemon has waited for the client long enough to disconnect it.
    fn is_slow(&self) -> bool {
        self.phase != ClientPhase::Served && self.waited >= CLIENT_WAIT_MIN
    }

    /// Returns true if disconnecting the client returns bytes that are held for it.
    fn holds_memory(&self) -> bool {
        match self.phase {
            ClientPhase::Sending | ClientPhase::Receiving => self.held_bytes > 0,
            ClientPhase::New | ClientPhase::Idle | ClientPhase::Served => false,
        }
    }
}

/// Returns the positions of the clients to disconnect, those with the least progress first; none unless there
/// is pressure on the memory or the connections.
#[must_use]
pub fn clients_to_disconnect(
    limits: ClientLimits,
    used: ClientUse,
    clients: &[ClientProgress],
) -> Vec<usize> {
    let is_memory_short = limits.is_memory_short(used);
    let are_connections_short = limits.are_connections_short(used);
    if !is_memory_short && !are_connections_short {
        return Vec::new();
    }
    let mut slow: Vec<usize> = (0..clients.len())
        .filter(|position| clients[*position].is_slow())
        .filter(|position| are_connections_short || clients[*position].holds_memory())
        .collect();
    slow.sort_by(|left, right| {
        let (left, right) = (&clients[*left], &clients[*right]);
        let is_idle = |client: &ClientProgress| client.phase == ClientPhase::Idle;
        is_idle(left)
            .cmp(&is_idle(right))
            .then(left.rate_per_s().total_cmp(&right.rate_per_s()))
            .then(right.waited.cmp(&left.waited))
    });
    let mut bytes_left = 0;
    if is_memory_short {
        bytes_left = used.held_bytes - limits.held_bytes_max / 8 * 3;
    }
    let mut connections_left = 0;
    if are_connections_short {
        connections_left = used.connections - limits.connections_max / 4 * 3;
    }
    let mut chosen = Vec::new();
    for position in slow {
        let client = &clients[position];
        let helps = connections_left > 0 || (bytes_left > 0 && client.holds_memory());
        if helps {
            bytes_left = bytes_left.saturating_sub(client.held_bytes);
            connections_left = connections_left.saturating_sub(1);
            chosen.push(position);
        }
    }
    chosen
}
