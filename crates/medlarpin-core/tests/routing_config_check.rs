//! Tests of when a daemon that has started may rely on its configuration.

use std::net::SocketAddr;

use medlarpin_core::prelude::*;
use medlarpin_core::routing::{CONFIG_CHECK_TIME_MAX, ConfigCheck, ProcessStart, StoreRevision};

/// Guards against a daemon that is ready before it has compared its configuration, and against one
/// that is never ready because no other daemon answers.
#[test]
fn a_restarted_daemon_compares_its_configuration_first() {
    fn check(is_first_start: bool, has_peers: bool, is_needed: bool) {
        let start = ProcessStart {
            at: Instant::now(),
            is_first_start,
            seeds: vec![SocketAddr::from(([192, 0, 2, 1], 8106))],
        };
        let now = start.at + CONFIG_CHECK_TIME_MAX / 2;
        let mut checked = ConfigCheck::new(&start, has_peers);
        assert_eq!(checked.is_complete(now), !is_needed);
        assert!(checked.is_complete(start.at + CONFIG_CHECK_TIME_MAX));
        checked.compared();
        assert!(checked.is_complete(now));
    }
    check(false, true, true);
    check(true, true, false);
    check(false, false, false);
}

/// Guards against a daemon that trusts a restored store to list the newest configuration, and against
/// one that waits for others although the store was never restored.
#[test]
fn only_a_store_that_was_never_restored_makes_the_comparison_needless() {
    fn check(era: u64, is_complete: bool) {
        let start = ProcessStart {
            at: Instant::now(),
            is_first_start: false,
            seeds: vec![SocketAddr::from(([192, 0, 2, 1], 8106))],
        };
        let mut checked = ConfigCheck::new(&start, true);
        checked.store_read(StoreRevision { era, number: 7 });
        assert_eq!(checked.is_complete(start.at), is_complete, "{era}");
    }
    // A store that states no era cannot be restored.
    check(0, true);
    check(1, true);
    check(2, false);
    check(9, false);
}
