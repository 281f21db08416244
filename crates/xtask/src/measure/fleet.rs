//! A deployment of fakes and the daemons over it.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use stand_ins::prelude::*;

use super::Context;
use super::daemons::DaemonProcess;
use super::error::MeasureError;
use super::load::{Balancer, Client, client, get, post};

/// Service of all scenarios.
pub(super) const SERVICE: &str = "order-desk";
/// Team of most scenarios.
pub(super) const TEAM: &str = "orders";
/// Far above what any awaited state takes on a busy machine.
const BOUND: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What a scenario starts.
#[derive(Debug, Clone)]
pub(super) struct FleetConfig {
    /// Number of daemons.
    pub(super) daemons: usize,
    /// The only service.
    pub(super) service: ServiceConfig,
    /// Teams to publish.
    pub(super) teams: Vec<TeamConfig>,
    /// Keys of the daemons' settings that differ from the defaults.
    pub(super) settings: Vec<(&'static str, Value)>,
}

impl FleetConfig {
    /// Returns six daemons in three failure domains over leafs with two replicas of each shard.
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
            settings: vec![("probe_interval_ms", json!(200))],
        }
    }

    /// Changes one key of the daemons' settings.
    pub(super) fn with(mut self, key: &'static str, value: impl Into<Value>) -> Self {
        self.settings.push((key, value.into()));
        self
    }
}

/// Running daemons over running fakes.
#[derive(Debug)]
pub(super) struct Fleet {
    daemons: Vec<DaemonProcess>,
    deployment: Deployment,
    client: Client,
    shards: u32,
}

impl Fleet {
    /// Starts everything and waits until each daemon answers completely.
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
                DaemonProcess::new(position, domain, directory, platform, &config.settings)?;
            daemons.push(daemon);
        }
        deployment
            .platform()
            .set_vms(daemons.iter().map(entry).collect());
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
                fleet.wait_complete(daemon, &team.name).await?;
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

    /// Returns a load balancer over all daemons, each of which counts as ready.
    pub(super) fn balancer(&self) -> Balancer {
        let addresses = self.daemons.iter();
        Balancer::new(
            addresses
                .map(|daemon| (daemon.query_address(), daemon.operator_address()))
                .collect(),
        )
    }

    /// Shuts a daemon down in order, starts it again and waits until it is ready.
    pub(super) async fn restart(
        &mut self,
        context: &Context,
        position: usize,
    ) -> Result<(), MeasureError> {
        let daemon = &mut self.daemons[position];
        daemon.terminate()?;
        let started_at = Instant::now();
        while !daemon.has_ended()? {
            check_bound(daemon, "ended", started_at)?;
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
            check_bound(daemon, "ready", started_at)?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn wait_complete(&self, daemon: &DaemonProcess, team: &str) -> Result<(), MeasureError> {
        let body = json!({ "team": team, "service": SERVICE, "query": "is it complete" });
        let started_at = Instant::now();
        loop {
            let reply = post(&self.client, daemon.query_address(), body.to_string()).await;
            if reply.is_some_and(|(status, _)| status == 200) {
                return Ok(());
            }
            check_bound(daemon, "complete", started_at)?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

fn entry(daemon: &DaemonProcess) -> VmEntry {
    VmEntry {
        name: daemon.name().to_owned(),
        rpc_address: daemon.rpc_address().to_string(),
        failure_domain: daemon.failure_domain().to_owned(),
        region: "region-0".to_owned(),
        state: VmEntryState::Live,
    }
}

fn check_bound(
    daemon: &DaemonProcess,
    state: &'static str,
    started_at: Instant,
) -> Result<(), MeasureError> {
    if started_at.elapsed() < BOUND {
        return Ok(());
    }
    Err(MeasureError::Timeout {
        daemon: daemon.name().to_owned(),
        state,
        bound_s: BOUND.as_secs(),
    })
}
