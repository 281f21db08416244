//! Tests of when a daemon that has started may rely on its configuration.

use std::net::SocketAddr;

use medlarpin_core::prelude::*;
use medlarpin_core::routing::{CONFIG_CHECK_TIME_MAX, ConfigCheck, ProcessStart};

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
