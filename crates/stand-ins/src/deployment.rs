//! A small deployment: fake leafs of several services and a fake platform that publishes them.

mod config;
mod layout;

use std::io;

use displaydoc::Display;
use parking_lot::Mutex;
use serde_json::{Value, json};
use thiserror::Error;

pub use self::config::{Coverage, DeploymentConfig, ServiceConfig, TeamConfig};

use crate::leaf::{FakeLeaf, LeafConfig, Shards};
use crate::platform::FakePlatform;

/// why a deployment could not be started or changed
#[derive(Debug, Display, Error)]
pub enum DeploymentError {
    /// service {service}: cannot place {replicas} replicas in different failure domains
    Replicas {
        /// Name of the service.
        service: String,
        /// Configured number of replicas.
        replicas: usize,
    },
    /// the deployment has no service {0}
    UnknownService(String),
    /// cannot start a fake platform or leaf
    Start(#[from] io::Error),
}

#[derive(Debug)]
struct RunningService {
    config: ServiceConfig,
    leafs: Vec<FakeLeaf>,
    /// Failure domain of each leaf, by position.
    domains: Vec<usize>,
}

#[derive(Debug)]
struct ShardMap {
    service: String,
    version: u64,
    /// Leafs of each shard, by position.
    leafs: Vec<Vec<usize>>,
}

/// A running deployment; dropping it closes all ports.
#[derive(Debug)]
pub struct Deployment {
    platform: FakePlatform,
    failure_domains: usize,
    services: Vec<RunningService>,
    maps: Mutex<Vec<ShardMap>>,
}

impl Deployment {
    /// Starts the leafs and the platform and publishes all services, teams and shard maps at one
    /// revision.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be bound, or if a service has no replicas or more replicas than
    /// failure domains.
    pub async fn start(config: DeploymentConfig) -> Result<Self, DeploymentError> {
        let mut deployment = Self {
            platform: FakePlatform::start().await?,
            failure_domains: config.failure_domains,
            services: Vec::new(),
            maps: Mutex::default(),
        };
        let mut texts = Vec::new();
        for (position, service) in config.services.into_iter().enumerate() {
            let running = start_service(service, config.failure_domains, position).await?;
            let path = format!("services/{}", running.config.name);
            texts.push((path, running.text(None)));
            let (name, shards) = (running.config.name.clone(), running.config.shards);
            deployment.services.push(running);
            texts.push(deployment.load_version(&name, config.index_version, shards)?);
        }
        for team in &config.teams {
            texts.push((format!("teams/{}", team.name), team.text()));
        }
        let texts: Vec<_> = texts
            .iter()
            .map(|(path, text)| (&**path, &**text))
            .collect();
        deployment.platform.set_many(&texts);
        Ok(deployment)
    }

    /// Returns the fake platform.
    #[must_use]
    pub fn platform(&self) -> &FakePlatform {
        &self.platform
    }

    /// Returns the names of the failure domains.
    #[must_use]
    pub fn failure_domains(&self) -> Vec<String> {
        (0..self.failure_domains).map(domain_name).collect()
    }

    /// Returns the leaf with the identifier, which is `<service>-<position>`.
    ///
    /// # Panics
    ///
    /// Panics if the deployment has no such leaf.
    #[must_use]
    pub fn leaf(&self, id: &str) -> &FakeLeaf {
        self.leafs()
            .find(|leaf| leaf.id() == id)
            .expect("the deployment has the leaf")
    }

    /// Iterates over all leafs.
    pub fn leafs(&self) -> impl Iterator<Item = &FakeLeaf> {
        self.services.iter().flat_map(|service| &service.leafs)
    }

    /// Returns the identifiers of the leafs that hold a shard of a published version; none if the
    /// version or shard is unknown.
    #[must_use]
    pub fn replicas(&self, service: &str, version: u64, shard: u32) -> Vec<String> {
        let maps = self.maps.lock();
        // A version may have been published again with other shards; the latest map applies.
        let map = maps
            .iter()
            .rfind(|map| map.service == service && map.version == version);
        let leafs = map.and_then(|map| map.leafs.get(shard as usize));
        leafs
            .into_iter()
            .flatten()
            .map(|leaf| leaf_id(service, *leaf))
            .collect()
    }

    /// Loads a version with the given number of shards on the leafs and publishes its shard map;
    /// returns the new revision.
    ///
    /// # Errors
    ///
    /// Fails if the service is unknown.
    pub fn publish_version(
        &self,
        service: &str,
        version: u64,
        shards: u32,
    ) -> Result<u64, DeploymentError> {
        let (path, text) = self.load_version(service, version, shards)?;
        Ok(self.platform.set(&path, &text))
    }

    /// Removes a version from the published tree and returns the new revision; the leafs keep
    /// serving it.
    pub fn withdraw_version(&self, service: &str, version: u64) -> u64 {
        self.platform
            .remove(&format!("indexes/{service}/{version}"))
    }

    /// Publishes a service without one of its leafs and returns the new revision; the leaf keeps
    /// running.
    ///
    /// # Errors
    ///
    /// Fails if the service is unknown.
    pub fn remove_leaf(&self, service: &str, leaf: &str) -> Result<u64, DeploymentError> {
        let text = self.service(service)?.text(Some(leaf));
        Ok(self.platform.set(&format!("services/{service}"), &text))
    }

    /// Publishes new settings of a team and returns the new revision.
    pub fn publish_team(&self, team: &TeamConfig) -> u64 {
        self.platform
            .set(&format!("teams/{}", team.name), &team.text())
    }

    /// Returns the number of search requests that all leafs together received.
    #[must_use]
    pub fn total_requests(&self) -> u64 {
        self.leafs().map(FakeLeaf::requests).sum()
    }

    /// Returns the number of search requests that all leafs together began to process.
    #[must_use]
    pub fn total_runs(&self) -> u64 {
        self.leafs().map(FakeLeaf::run_count).sum()
    }

    fn service(&self, name: &str) -> Result<&RunningService, DeploymentError> {
        let service = self
            .services
            .iter()
            .find(|running| running.config.name == name);
        service.ok_or_else(|| DeploymentError::UnknownService(name.to_owned()))
    }

    /// Loads a version on the leafs and returns the path and text under which to publish its shard
    /// map.
    fn load_version(
        &self,
        service: &str,
        version: u64,
        shards: u32,
    ) -> Result<(String, String), DeploymentError> {
        let running = self.service(service)?;
        let map = layout::place_shards(shards, running.config.replicas, &running.domains);
        for (position, leaf) in running.leafs.iter().enumerate() {
            let leaf_shards = (0..)
                .zip(&map)
                .filter(|(_, leafs)| leafs.contains(&position));
            leaf.add_version(
                version,
                Shards::Subset(leaf_shards.map(|(shard, _)| shard).collect()),
            );
        }
        let path = format!("indexes/{service}/{version}");
        let text = index_text(service, &map);
        let map = ShardMap {
            service: service.to_owned(),
            version,
            leafs: map,
        };
        self.maps.lock().push(map);
        Ok((path, text))
    }
}

async fn start_service(
    config: ServiceConfig,
    failure_domains: usize,
    position: usize,
) -> Result<RunningService, DeploymentError> {
    let domains = layout::place_leafs(config.leafs, failure_domains);
    if config.replicas == 0 || config.replicas > failure_domains.min(config.leafs) {
        let replicas = config.replicas;
        return Err(DeploymentError::Replicas {
            service: config.name,
            replicas,
        });
    }
    let mut leafs = Vec::with_capacity(config.leafs);
    for leaf in 0..config.leafs {
        let config = LeafConfig {
            id: leaf_id(&config.name, leaf),
            service: config.name.clone(),
            slots: config.slots,
            connection_limit: config.connection_limit,
            service_time: config.service_time,
            seed: (position * 1_000_003 + leaf) as u64,
            versions: Vec::new(),
        };
        leafs.push(FakeLeaf::start(config).await?);
    }
    Ok(RunningService {
        config,
        leafs,
        domains,
    })
}

impl RunningService {
    /// Returns the JSON text of the service, without the leaf `excluded`.
    fn text(&self, excluded: Option<&str>) -> String {
        let leaf = |(leaf, domain): (&FakeLeaf, &usize)| {
            json!({
                "id": leaf.id(),
                "address": leaf.address().to_string(),
                "failure_domain": domain_name(*domain),
                "slots": self.config.slots,
                "connection_limit": self.config.connection_limit,
                "new_connection_ms": 1,
            })
        };
        let leafs: Vec<Value> = self
            .leafs
            .iter()
            .zip(&self.domains)
            .filter(|(leaf, _)| Some(leaf.id()) != excluded)
            .map(leaf)
            .collect();
        json!({ "leafs": leafs }).to_string()
    }
}

/// Returns the JSON text of a shard map.
fn index_text(service: &str, map: &[Vec<usize>]) -> String {
    let entry = |(shard, leafs): (u32, &Vec<usize>)| {
        let leafs: Vec<_> = leafs.iter().map(|leaf| leaf_id(service, *leaf)).collect();
        json!({ "shard": shard, "leafs": leafs })
    };
    let shards: Vec<Value> = (0..).zip(map).map(entry).collect();
    json!({ "shards": shards }).to_string()
}

fn leaf_id(service: &str, position: usize) -> String {
    format!("{service}-{position}")
}

fn domain_name(position: usize) -> String {
    format!("domain-{position}")
}
