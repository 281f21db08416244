use bytes::Bytes;
use client_connections::{Clients, HeldMemory};
use medlarpin_core::prelude::*;
use parking_lot::Mutex;
use wire::BatchReply;

#[cfg(test)]
mod tests;

/// Number of times that a row is in memory at most: in the buffer of the connection to the leaf, in
/// the reply and in the result of its shard. Later it is in the answer and in its JSON text.
const ROW_COPIES: usize = 3;

/// Memory for the replies to one query and for its answer, from that of callers.
///
/// Some is reserved before a leaf gets the query. Replies that need more take more, and those that
/// find none are dropped. All of it returns when the query has ended, but for what the answer takes.
#[derive(Debug)]
pub struct QueryMemory {
    clients: Clients,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// Memory of the query's text.
    text: HeldMemory,
    /// Each copy is a holder of its own, as each of them is limited by what is free.
    copies: [HeldMemory; ROW_COPIES],
    /// Memory of each copy that is in use; at most what the copy has.
    used_bytes: usize,
}

impl QueryMemory {
    /// Creates the memory of a query for which nothing is reserved.
    #[must_use]
    pub fn new(clients: &Clients) -> Self {
        let state = State {
            text: clients.hold(),
            copies: std::array::from_fn(|_| clients.hold()),
            used_bytes: 0,
        };
        Self {
            clients: clients.clone(),
            state: Mutex::new(state),
        }
    }

    /// Reserves memory for the text of a query and for an answer of the expected size; `None` if
    /// there is no room.
    pub async fn reserve(
        clients: &Clients,
        text_bytes: usize,
        answer_bytes: usize,
    ) -> Option<Self> {
        let mut reserved = Self::new(clients);
        let state = reserved.state.get_mut();
        if !clients.grow(&mut state.text, text_bytes).await {
            return None;
        }
        for copy in &mut state.copies {
            if !clients.grow(copy, answer_bytes).await {
                return None;
            }
        }
        Some(reserved)
    }

    /// Uses memory for a part of a reply, and for the copies of its rows that follow; returns false
    /// if there is none. The reply must then be dropped.
    #[must_use]
    pub fn cover_reply(&self, reply_bytes: usize) -> bool {
        let mut state = self.state.lock();
        let used_bytes = state.used_bytes.saturating_add(reply_bytes);
        for copy in &mut state.copies {
            if !copy.try_grow(used_bytes.saturating_sub(copy.bytes())) {
                self.clients.record_denied();
                return false;
            }
        }
        state.used_bytes = used_bytes;
        true
    }

    /// Attaches memory to the encoded answer until the caller has read it; replies no longer use it.
    /// The answer exists already, so that it may take more than there is.
    #[must_use]
    pub fn attach(&self, answer: Vec<u8>) -> Bytes {
        let bytes = answer.capacity();
        let mut state = self.state.lock();
        state.used_bytes = 0;
        let mut memory = self.clients.hold();
        for copy in &mut state.copies {
            memory.merge(copy.split(bytes - memory.bytes()));
        }
        drop(state);
        memory.take(bytes - memory.bytes());
        memory.into_bytes(answer)
    }
}

/// Uses memory for the rows that another daemon has sent. Shards whose rows find none are no longer
/// covered.
pub fn cover_rows(memory: &QueryMemory, reply: &mut BatchReply) {
    for result in &mut reply.results {
        if let ShardOutcome::Covered { rows } = &result.outcome
            && !memory.cover_reply(rows.iter().map(String::len).sum())
        {
            result.outcome = ShardOutcome::Uncovered {
                reason: UncoveredReason::InvalidReply,
                may_have_run: true,
            };
        }
    }
}
