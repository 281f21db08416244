use std::sync::Arc;

use medlarpin_core::client_pressure::ClientLimits;
use wire::ShardResult;

use super::*;

/// Returns the memory of callers.
fn callers(bytes: usize) -> Clients {
    let limits = ClientLimits {
        held_bytes_max: bytes,
        connections_max: 0,
        peers_max: 0,
    };
    Clients::with_limits(limits, Arc::new(SystemClock))
}

fn covered(shard: u32, row_bytes: usize) -> ShardResult {
    ShardResult {
        shard: ShardId(shard),
        outcome: ShardOutcome::Covered {
            rows: vec!["x".repeat(row_bytes)],
        },
    }
}

/// Guards against replies that take more than was reserved without asking, against a reservation that replies cannot
/// use, and against memory that is lost.
#[tokio::test]
async fn replies_use_what_is_reserved_and_then_take_more() {
    let callers = callers(16_000);
    let memory = QueryMemory::reserve(&callers, 100, 200).await.unwrap();
    assert_eq!(callers.used_bytes(), 100 + 200 * ROW_COPIES);
    assert!(memory.cover_reply(150));
    assert!(memory.cover_reply(50));
    assert_eq!(callers.used_bytes(), 100 + 200 * ROW_COPIES);
    assert!(memory.cover_reply(300));
    assert_eq!(callers.used_bytes(), 100 + 500 * ROW_COPIES);
    // A holder gets a quarter of what is free.
    assert!(!memory.cover_reply(4_000));
    assert!(!memory.cover_reply(usize::MAX));
    assert_eq!(callers.counts().denied, 2);
    assert_eq!(callers.used_bytes(), 100 + 500 * ROW_COPIES);
    drop(memory);
    assert_eq!(callers.used_bytes(), 0);
}

/// Guards against a limit that a single long reply meets while there is nothing else, on a VM of the default memory.
#[test]
fn a_reply_of_the_longest_length_is_covered_in_calm() {
    const REPLY_BYTES_MAX: usize = 4 << 20;
    const MEMORY_BYTES: usize = 112 << 20;
    let callers = callers(ClientLimits::new(MEMORY_BYTES, None).held_bytes_max);
    assert!(QueryMemory::new(&callers).cover_reply(REPLY_BYTES_MAX));
}

/// Guards against an answer without memory once its query has ended, and against one that keeps the memory of the
/// replies.
#[tokio::test]
async fn an_answer_keeps_its_memory_until_it_is_dropped() {
    let callers = callers(16_000);
    for (answer_bytes, reserved_bytes) in [(400, 200), (1_400, 200), (0, 10)] {
        let memory = QueryMemory::reserve(&callers, 0, reserved_bytes).await;
        let memory = memory.unwrap();
        let answer = memory.attach(vec![7; answer_bytes]);
        drop(memory);
        assert_eq!(callers.used_bytes(), answer_bytes);
        drop(answer);
        assert_eq!(callers.used_bytes(), 0);
    }
}

/// Guards against rows of other daemons that take memory without asking, and against a shard that counts as covered or
/// as not run without its rows.
#[test]
fn rows_without_memory_are_not_covered() {
    let callers = callers(16_000);
    let memory = QueryMemory::new(&callers);
    let mut reply = BatchReply {
        results: vec![covered(1, 300), covered(2, 4_000), covered(3, 200)],
        ..BatchReply::default()
    };
    cover_rows(&memory, &mut reply);
    let refused = ShardOutcome::Uncovered {
        reason: UncoveredReason::InvalidReply,
        may_have_run: true,
    };
    assert_eq!(reply.results[0], covered(1, 300));
    assert_eq!(reply.results[1].outcome, refused);
    assert_eq!(reply.results[2], covered(3, 200));
    assert_eq!(callers.used_bytes(), 500 * ROW_COPIES);
}
