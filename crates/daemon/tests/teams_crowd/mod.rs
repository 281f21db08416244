//! A crowd at a daemon that serves teams.

use std::net::SocketAddr;

use crate::fleet::Fleet;
use crate::fleet::config::{FleetConfig, query};
use crate::slow_readers::{Bounds, Crowd, ONE_AT_A_TIME, Script, check_served, watch};

/// Memory of the VM in MiB, as in `slow_readers_teams.rs`.
const MEMORY_MB: u64 = 64;
/// Descriptor limit of the process.
const DESCRIPTORS: usize = 1_024;
/// Resident memory must stay within the VM's, and a part of the descriptors must stay free.
const BOUNDS: Bounds = Bounds {
    resident_mb: MEMORY_MB,
    descriptors: DESCRIPTORS - 100,
};

/// Connects a crowd to one of the daemon's addresses, watches the process, and checks that it serves an ordinary
/// caller and an operator while the crowd is connected and after it has left.
pub async fn check(
    name: &str,
    address: impl Fn(&Fleet) -> SocketAddr,
    clients: usize,
    script: &Script,
) {
    let _guard = ONE_AT_A_TIME.lock().await;
    let mut config = FleetConfig::new();
    config.daemons = 1;
    config.descriptors = Some(DESCRIPTORS);
    config.set("memory_mb", MEMORY_MB.into());
    let fleet = Fleet::start(config).await;
    let crowd = Crowd::start(address(&fleet), clients, script);
    watch(name, fleet.process_id(0), &crowd, BOUNDS).await;
    let check_all = async || {
        let is_answered = async || {
            let reply = fleet.try_query(0, &query("ordinary", 2_000)).await;
            reply.is_some_and(|reply| reply.outcome() == "complete")
        };
        check_served(name, is_answered).await;
        check_served(name, async || fleet.state(0).await.is_some()).await;
    };
    check_all().await;
    drop(crowd);
    check_all().await;
}
