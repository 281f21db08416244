//! A daemon without tasks, for unit tests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use medlarpin_core::prelude::SystemClock;
use medlarpin_core::routing::{LeafDirectory, ObservationTime};

use crate::crash_memory::CrashMemory;
use crate::delegation::Delegations;
use crate::leaf::Leaf;
use crate::leaf_permits::LeafPermits;
use crate::leaf_rate_reports::LeafRateReports;
use crate::metrics::Metrics;
use crate::shared::Shared;

/// Settings of a VM in the failure domain `z9` that knows no other daemon.
pub(crate) const SETTINGS: &str = r#"{
    "vm": "vm-1", "failure_domain": "z9", "region": "r1",
    "query_address": "127.0.0.1:0", "readiness_address": "127.0.0.1:0",
    "operator_address": "127.0.0.1:0", "store_address": "127.0.0.1:9", "seed_addresses": [],
    "drain_s": 3, "shutdown_grace_s": 6, "repeat_ratio": 0.2, "repeat_window_s": 10,
    "repeat_slack": 10, "cpu_share": 1.0,
}"#;

const CONFIG: &str = r#"{"version": 1, "limits": {"maxHeaderBytes": 1000, "maxBodyBytes": 1000,
    "headerTimeoutMs": 1000, "idleTimeoutMs": 1000}}"#;

/// Creates what the tasks of a daemon share. It has not heard of anything so far.
pub(crate) fn shared(settings: &str) -> Arc<Shared> {
    let settings = settings::parse_router(settings, "settings").unwrap();
    let own_address = settings.peer_address;
    Arc::new(Shared::new(
        settings,
        own_address,
        Arc::new(SystemClock),
        CrashMemory::new().0,
        Delegations::new().0,
        LeafRateReports::new().0,
        LeafPermits::new().0,
        Metrics::new().unwrap(),
    ))
}

/// Puts a configuration in force, and publishes a leaf in the failure domain `z1`. Returns the leaf and the directory
/// that has it alone.
pub(crate) fn publish_leaf(shared: &Shared, address: SocketAddr) -> (Arc<Leaf>, LeafDirectory) {
    let config = platform::parse_config(CONFIG.as_bytes()).unwrap();
    shared.config.store(Some(Arc::new(config)));
    let entry = format!(
        r#"{{"service": "a", "address": "{address}", "zone": "z1", "slots": 2, "state": "ready",
        "warmupLeftMs": 0, "seq": 1, "born": 1}}"#
    );
    let mut directory = LeafDirectory::new(Duration::from_secs(1));
    let observed = ObservationTime {
        known_until: None,
        now: shared.now(),
        is_restored: false,
    };
    let entry = platform::parse_leaf("a0", entry.as_bytes()).unwrap();
    directory.publish(entry, observed);
    shared.leafs.update(&directory, shared.now());
    (shared.leafs.all().remove(0), directory)
}
