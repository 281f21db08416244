//! Validated types for the VM list, services, shard maps and team settings that the platform
//! publishes.

use std::net::SocketAddr;

use crate::ids::{
    FailureDomain, IndexVersion, LeafId, Region, Revision, ServiceName, ShardId, TeamName, VmName,
};

/// State of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum VmState {
    /// The VM may hold leaf groups.
    Live,
    /// The VM is about to stop and gets no new requests.
    Leaving,
}

/// One entry of the VM list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// Name of the VM.
    pub name: VmName,
    /// Address of the daemon's RPC listener.
    pub rpc_address: SocketAddr,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Region of the VM.
    pub region: Region,
    /// State of the VM.
    pub state: VmState,
}

/// The platform's list of VMs. It can be stale: a listed VM may be gone and a new one missing.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct VmList {
    revision: Revision,
    /// Sorted by name, without duplicates.
    vms: Vec<Vm>,
}

impl VmList {
    /// Creates a list; if several entries have the same name, the first one wins.
    #[must_use]
    pub fn new(revision: Revision, mut vms: Vec<Vm>) -> Self {
        vms.sort_by(|a, b| a.name.cmp(&b.name));
        vms.dedup_by(|a, b| a.name == b.name);
        Self { revision, vms }
    }

    /// Returns the list's revision.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the entries, sorted by name.
    #[must_use]
    pub fn vms(&self) -> &[Vm] {
        &self.vms
    }

    /// Finds an entry by name.
    #[must_use]
    pub fn get(&self, name: &VmName) -> Option<&Vm> {
        let index = self.vms.binary_search_by(|vm| vm.name.cmp(name)).ok()?;
        self.vms.get(index)
    }
}

/// A leaf: a server at one address that searches shards of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leaf {
    /// Identifier within the service.
    pub id: LeafId,
    /// Address of the leaf's HTTP listener.
    pub address: SocketAddr,
    /// Failure domain of the leaf.
    pub failure_domain: FailureDomain,
    /// Number of requests that the leaf processes concurrently; at least 1.
    pub slots: u32,
    /// Maximum number of connections that the leaf accepts; at least 1.
    pub connection_limit: u32,
    /// Time that it takes to open a connection to the leaf, in milliseconds.
    pub new_connection_ms: u32,
}

/// A searchable service and its leafs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    name: ServiceName,
    /// Sorted by id, without duplicates.
    leafs: Vec<Leaf>,
}

impl Service {
    /// Creates a service; if several leafs have the same id, the first one wins.
    #[must_use]
    pub fn new(name: ServiceName, mut leafs: Vec<Leaf>) -> Self {
        leafs.sort_by(|a, b| a.id.cmp(&b.id));
        leafs.dedup_by(|a, b| a.id == b.id);
        Self { name, leafs }
    }

    /// Returns the service's name.
    #[must_use]
    pub fn name(&self) -> &ServiceName {
        &self.name
    }

    /// Returns the leafs, sorted by id.
    #[must_use]
    pub fn leafs(&self) -> &[Leaf] {
        &self.leafs
    }

    /// Finds a leaf by id.
    #[must_use]
    pub fn leaf(&self, id: &LeafId) -> Option<&Leaf> {
        let index = self.leafs.binary_search_by(|leaf| leaf.id.cmp(id)).ok()?;
        self.leafs.get(index)
    }
}

/// Replica placement of one index version: the leafs that hold each shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardMap {
    service: ServiceName,
    version: IndexVersion,
    /// Sorted by shard, without duplicates.
    replicas: Vec<(ShardId, Vec<LeafId>)>,
}

impl ShardMap {
    /// Creates a shard map; if several entries have the same shard, the first one wins.
    #[must_use]
    pub fn new(
        service: ServiceName,
        version: IndexVersion,
        mut replicas: Vec<(ShardId, Vec<LeafId>)>,
    ) -> Self {
        replicas.sort_by_key(|(shard, _)| *shard);
        replicas.dedup_by_key(|(shard, _)| *shard);
        Self {
            service,
            version,
            replicas,
        }
    }

    /// Returns the name of the service.
    #[must_use]
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Returns the index version that the map describes.
    #[must_use]
    pub fn version(&self) -> IndexVersion {
        self.version
    }

    /// Returns all shards with their replicas, sorted by shard.
    #[must_use]
    pub fn shards(&self) -> &[(ShardId, Vec<LeafId>)] {
        &self.replicas
    }

    /// Returns the replicas of a shard; `None` if the index version has no such shard.
    #[must_use]
    pub fn replicas(&self, shard: ShardId) -> Option<&[LeafId]> {
        let index = self
            .replicas
            .binary_search_by_key(&shard, |(shard, _)| *shard)
            .ok()?;
        self.replicas.get(index).map(|(_, leafs)| leafs.as_slice())
    }
}

/// The coverage that a team's queries wait for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CoverageTarget {
    /// Wait for all shards, at most until the deadline.
    All,
    /// Stop waiting when this share of the shards is covered; above 0 and below 1.
    MinShare(f64),
}

/// A team's limits and the defaults for its queries.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamSettings {
    /// Name of the team.
    pub name: TeamName,
    /// Weight in the fair queues; at least 1.
    pub weight: u32,
    /// Maximum rate in queries per second, over the whole fleet; at least 1.
    pub rate_limit_per_s: u32,
    /// Maximum number of concurrent queries, over the whole fleet; at least 1.
    pub concurrency_limit: u32,
    /// Default deadline of a query, in milliseconds.
    pub deadline_default_ms: u32,
    /// Maximum deadline of a query, in milliseconds; at least the default.
    pub deadline_cap_ms: u32,
    /// Coverage that the team's queries wait for.
    pub coverage_target: CoverageTarget,
    /// False if the team's queries must not be retried or hedged, even if the caller marks them as
    /// idempotent.
    pub retries_allowed: bool,
}
