//! Three daemons and a deployment of stand-ins for the platform and the leafs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use daemon::Daemon;
use medlarpin_core::prelude::SystemClock;
use serde_json::json;
use stand_ins::prelude::*;
use stand_ins::server::reserve_port;

use crate::error::QuickstartError;

/// Service that the steps query.
pub(crate) const SERVICE: &str = "order-desk";
/// Shards of the service.
pub(crate) const SHARDS: u32 = 12;
/// Index version of the service.
pub(crate) const INDEX_VERSION: u64 = 7;
/// Team with limits that the steps do not reach.
pub(crate) const ORDERS_TEAM: &str = "order-desk";
/// Team with a low rate limit.
pub(crate) const EXPORTS_TEAM: &str = "export-agents";

const DAEMONS: usize = 3;
const REGION: &str = "region-0";
/// The fleet is usually ready within 2 s; a busy machine may take longer.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Divided among the daemons: each one admits 3 queries per second.
const EXPORTS_TEAM_RATE_PER_S: u64 = 9;

/// Running daemons and their stand-ins.
#[derive(Debug)]
pub(crate) struct Fleet {
    daemons: Vec<Daemon>,
    deployment: Deployment,
}

impl Fleet {
    /// Starts everything and waits until all daemons are ready.
    pub(crate) async fn start() -> Result<Self, QuickstartError> {
        let deployment = Deployment::start(deployment_config()).await?;
        let domains = deployment.failure_domains();
        // The ports stay bound until the daemons listen on them, so that no other process takes them.
        let mut reserved = Vec::new();
        for domain in domains.iter().cycle().take(DAEMONS) {
            let (socket, address) = reserve_port().map_err(QuickstartError::Port)?;
            reserved.push((socket, address, domain));
        }
        // Publish the VM list first: a daemon that is not listed has no share of the team limits.
        let vms = reserved.iter().enumerate();
        let vms = vms.map(|(position, (_socket, rpc_address, domain))| VmEntry {
            name: vm_name(position),
            rpc_address: rpc_address.to_string(),
            failure_domain: (*domain).clone(),
            region: REGION.to_owned(),
            state: VmEntryState::Live,
        });
        deployment.platform().set_vms(vms.collect());
        let mut daemons = Vec::new();
        for (position, (_socket, rpc_address, domain)) in reserved.iter().enumerate() {
            let platform = deployment.platform().address();
            let daemon = start_daemon(position, *rpc_address, domain, platform).await?;
            daemons.push(daemon);
        }
        let fleet = Self {
            daemons,
            deployment,
        };
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    pub(crate) fn daemons(&self) -> &[Daemon] {
        &self.daemons
    }

    pub(crate) fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Stops all daemons gracefully.
    pub(crate) async fn shutdown(self) {
        let shutdowns = self.daemons.into_iter().map(Daemon::shutdown);
        let shutdowns: Vec<_> = shutdowns.map(tokio::spawn).collect();
        for shutdown in shutdowns {
            // A panic in a shutdown has already been printed; still wait for the other daemons.
            let _ = shutdown.await;
        }
    }

    async fn wait_until_ready(&self) -> Result<(), QuickstartError> {
        let ready = async {
            while !self.daemons.iter().all(Daemon::is_ready) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let ready = tokio::time::timeout(READY_TIMEOUT, ready).await;
        ready.map_err(|_elapsed| QuickstartError::NotReady(READY_TIMEOUT))
    }
}

/// Returns the name of a daemon's VM.
pub(crate) fn vm_name(position: usize) -> String {
    format!("vm-{position}")
}

async fn start_daemon(
    position: usize,
    rpc_address: SocketAddr,
    failure_domain: &str,
    platform: SocketAddr,
) -> Result<Daemon, QuickstartError> {
    let text = json!({
        "vm": vm_name(position),
        "failure_domain": failure_domain,
        "region": REGION,
        "query_address": "127.0.0.1:0",
        "rpc_address": rpc_address.to_string(),
        "operator_address": "127.0.0.1:0",
        "platform_addresses": [platform.to_string()],
        // A short grace period suffices, since no load balancer needs time to react to the readiness.
        "shutdown_grace_ms": 100,
    });
    let settings = settings::parse_daemon(&text.to_string(), &vm_name(position))?;
    Ok(Daemon::start(settings, Arc::new(SystemClock)).await?)
}

fn deployment_config() -> DeploymentConfig {
    let mut exports = TeamConfig::new(EXPORTS_TEAM);
    exports.rate_limit_per_s = EXPORTS_TEAM_RATE_PER_S;
    DeploymentConfig {
        services: vec![ServiceConfig {
            name: SERVICE.to_owned(),
            leafs: 6,
            replicas: 2,
            shards: SHARDS,
            slots: 2,
            connection_limit: 60,
            service_time: Duration::from_millis(5),
        }],
        teams: vec![TeamConfig::new(ORDERS_TEAM), exports],
        failure_domains: DAEMONS,
        index_version: INDEX_VERSION,
    }
}
