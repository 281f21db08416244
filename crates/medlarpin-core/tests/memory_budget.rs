//! Tests of the memory that many holders share.

use medlarpin_core::routing::MemoryBudget;

const LIMIT: usize = 40 << 20;
const CHUNK: usize = 16 << 10;

/// Load pattern: all leafs of many shards send bodies without end. Guards against a process that
/// exceeds its memory, and against ordinary answers that find no room.
#[test]
fn endless_holders_leave_room_for_small_ones() {
    let check = |holders: usize, small_bytes: usize| {
        let mut budget = MemoryBudget::new(LIMIT);
        let mut held = vec![0; holders];
        let mut grows = true;
        while grows {
            grows = false;
            for bytes in &mut held {
                if budget.try_grow(*bytes, CHUNK) {
                    *bytes += CHUNK;
                    grows = true;
                }
            }
        }
        assert!(budget.used_bytes() <= LIMIT, "{holders}");
        assert!(budget.try_grow(0, small_bytes), "{holders}");
        budget.release(small_bytes);
        for bytes in held {
            budget.release(bytes);
        }
        assert_eq!(budget.used_bytes(), 0);
    };
    check(1, 1 << 20);
    check(10, 1 << 20);
    check(174, 32 << 10);
    check(1_000, 8 << 10);
}

/// Guards against one holder that takes most of the memory.
#[test]
fn a_single_holder_gets_a_part_of_the_free_memory() {
    let check = |held: usize, more: usize, is_granted: bool| {
        let mut budget = MemoryBudget::new(LIMIT);
        assert!(held == 0 || budget.try_grow(0, held));
        assert_eq!(budget.try_grow(held, more), is_granted, "{held} + {more}");
    };
    check(0, LIMIT / 4, true);
    check(0, LIMIT / 4 + 1, false);
    check(0, usize::MAX, false);
    check(LIMIT / 8, LIMIT / 16, true);
    check(LIMIT / 8, LIMIT / 8, false);
}

/// Guards against memory in use beyond the limit that lets others in, or that never returns.
#[test]
fn memory_in_use_already_counts_beyond_the_limit() {
    let mut budget = MemoryBudget::new(1_000);
    budget.take(1_500);
    assert_eq!(budget.used_bytes(), 1_500);
    assert!(!budget.try_grow(0, 1));
    budget.release(1_100);
    assert!(budget.try_grow(0, 150));
    assert!(!budget.try_grow(0, 150));
}
