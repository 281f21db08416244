//! Tests of the memory of leafs that have said that they are leaving.

use medlarpin_core::prelude::*;
use medlarpin_core::routing::StatedDepartures;

/// Guards against a leaf whose time for new requests starts anew with each of its answers, and
/// against taking a leaf that has started again for the one that left.
#[test]
fn the_first_statement_of_a_run_counts() {
    let start = Instant::now();
    let mut departures = StatedDepartures::default();
    let (run, next_run) = (LeafId::new("a0@1"), LeafId::new("a0@2"));
    assert!(departures.record(&run, start));
    assert!(!departures.record(&run, start + Duration::from_secs(1)));
    assert_eq!(departures.stated_at(&run), Some(start));
    assert_eq!(departures.stated_at(&next_run), None);
}

/// Guards against memory without bound, and against forgetting the leafs that are leaving now.
#[test]
fn the_memory_is_bounded() {
    let start = Instant::now();
    let mut departures = StatedDepartures::default();
    for number in 0..20_000_u32 {
        let run = LeafId::new(&format!("a{number}"));
        assert!(departures.record(&run, start + Duration::from_millis(50 * u64::from(number))));
    }
    assert!(departures.stated_at(&LeafId::new("a0")).is_none());
    assert!(departures.stated_at(&LeafId::new("a19999")).is_some());
}
