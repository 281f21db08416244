//! A deployment of fakes and the daemons that use it.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use stand_ins::prelude::*;

use super::Context;
use super::daemon_process::DaemonProcess;
use super::error::MeasureError;
use super::load::{Balancer, Client, client, get, post};

/// Service of all scenarios.
pub(super) const SERVICE: &str = "order-desk";
/// Team of most scenarios.
pub(super) const TEAM: &str = "orders";
/// Timeout for a daemon to reach an awaited state; far above the time it takes on a busy machine.
const STATE_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Daemons, service and teams that a scenario starts.
#[derive(Debug, Clone)]
pub(super) struct FleetConfig {
    /// Number of daemons.
    pub(super) daemons: usize,
    /// The only service.
    pub(super) service: ServiceConfig,
    /// Teams to publish.
    pub(super) teams: Vec<TeamConfig>,
    /// Keys of the daemons' settings that override the defaults.
    pub(super) overrides: Vec<(&'static str, Value)>,
}

impl FleetConfig {
    /// Returns six daemons in three failure domains and a service with two replicas of each shard.
    pub(super) fn new(leafs: usize, shards: u32, slots: usize, service_time_ms: u64) -> Self {
        Self {
            daemons: 6,
            service: ServiceConfig {
                name: SERVICE.to_owned(),
                leafs,
                replicas: 2,
                shards,
                slots,
                connection_limit: 60,
                service_time: Duration::from_millis(service_time_ms),
            },
            teams: vec![TeamConfig::new(TEAM)],
            // Members find each other sooner than with the default of 1 s, which shortens the start.
            overrides: vec![("probe_interval_ms", json!(200))],
        }
    }

    /// Overrides one key of the daemons' settings.
    pub(super) fn with_setting(mut self, key: &'static str, value: impl Into<Value>) -> Self {
        self.overrides.push((key, value.into()));
        self
    }
}

/// Running fakes and daemons.
#[derive(Debug)]
pub(super) struct Fleet {
    daemons: Vec<DaemonProcess>,
    deployment: Deployment,
    client: Client,
    shards: u32,
}

impl Fleet {
    /// Starts fakes and daemons, and waits until each daemon covers all shards for each team.
    pub(super) async fn start(
        context: &Context,
        config: FleetConfig,
    ) -> Result<Self, MeasureError> {
        let shards = config.service.shards;
        let deployment = DeploymentConfig {
            services: vec![config.service],
            teams: config.teams.clone(),
            failure_domains: 3,
            index_version: 1,
        };
        let deployment = context.fakes.spawn(Deployment::start(deployment)).await??;
        let domains = deployment.failure_domains();
        let platform = deployment.platform().address();
        let mut daemons = Vec::with_capacity(config.daemons);
        for position in 0..config.daemons {
            let domain = &domains[position % domains.len()];
            let directory = &context.directory;
            let daemon =
                DaemonProcess::new(position, domain, directory, platform, &config.overrides)?;
            daemons.push(daemon);
        }
        deployment
            .platform()
            .set_vms(daemons.iter().map(vm_entry).collect());
        for daemon in &mut daemons {
            daemon.start(&context.program)?;
        }
        let fleet = Self {
            daemons,
            deployment,
            client: client(),
            shards,
        };
        for position in 0..fleet.daemons.len() {
            fleet.wait_ready(position).await?;
        }
        for daemon in &fleet.daemons {
            for team in &config.teams {
                fleet.wait_full_coverage(daemon, &team.name).await?;
            }
        }
        Ok(fleet)
    }

    /// Returns the daemons.
    pub(super) fn daemons(&self) -> &[DaemonProcess] {
        &self.daemons
    }

    /// Returns the fakes.
    pub(super) fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Returns the HTTP client.
    pub(super) fn client(&self) -> &Client {
        &self.client
    }

    /// Returns the number of shards of the service.
    pub(super) fn shards(&self) -> u32 {
        self.shards
    }

    /// Returns a load balancer over all daemons, which initially counts each of them as ready.
    pub(super) fn balancer(&self) -> Balancer {
        let addresses = self.daemons.iter();
        Balancer::new(
            addresses
                .map(|daemon| (daemon.query_address(), daemon.operator_address()))
                .collect(),
        )
    }

    /// Shuts a daemon down gracefully, starts it again and waits until it is ready.
    pub(super) async fn restart(
        &mut self,
        context: &Context,
        position: usize,
    ) -> Result<(), MeasureError> {
        let daemon = &mut self.daemons[position];
        daemon.terminate()?;
        let started_at = Instant::now();
        while !daemon.has_exited()? {
            check_timeout(daemon, "stopped", started_at)?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        daemon.start(&context.program)?;
        self.wait_ready(position).await
    }

    async fn wait_ready(&self, position: usize) -> Result<(), MeasureError> {
        let daemon = &self.daemons[position];
        let started_at = Instant::now();
        loop {
            let reply = get(&self.client, daemon.operator_address(), "/ready").await;
            if reply.is_some_and(|(status, _)| status == 200) {
                return Ok(());
            }
            check_timeout(daemon, "ready", started_at)?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn wait_full_coverage(
        &self,
        daemon: &DaemonProcess,
        team: &str,
    ) -> Result<(), MeasureError> {
        let body = json!({ "team": team, "service": SERVICE, "query": "is it complete" });
        let started_at = Instant::now();
        loop {
            let reply = post(&self.client, daemon.query_address(), body.to_string()).await;
            if reply.is_some_and(|(status, _)| status == 200) {
                return Ok(());
            }
            check_timeout(daemon, "able to cover all shards", started_at)?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

fn vm_entry(daemon: &DaemonProcess) -> VmEntry {
    VmEntry {
        name: daemon.name().to_owned(),
        rpc_address: daemon.rpc_address().to_string(),
        failure_domain: daemon.failure_domain().to_owned(),
        region: "region-0".to_owned(),
        state: VmEntryState::Live,
    }
}

fn check_timeout(
    daemon: &DaemonProcess,
    state: &'static str,
    started_at: Instant,
) -> Result<(), MeasureError> {
    if started_at.elapsed() < STATE_TIMEOUT {
        return Ok(());
    }
    Err(MeasureError::Timeout {
        daemon: daemon.name().to_owned(),
        state,
        timeout_s: STATE_TIMEOUT.as_secs(),
    })
}
