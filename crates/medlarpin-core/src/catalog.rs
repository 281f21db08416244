//! What the platform publishes, as checked types.

use std::net::SocketAddr;

use crate::ids::{
    FailureDomain, IndexVersion, LeafId, Region, Revision, ServiceName, ShardId, TeamName, VmName,
};

/// State of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum VmState {
    /// The VM may hold leaf groups.
    Live,
    /// The VM is about to stop; it gets no new work.
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

/// The platform's list of VMs; it lags behind the world.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct VmList {
    revision: Revision,
    /// Sorted by name, without duplicates.
    vms: Vec<Vm>,
}

impl VmList {
    /// Creates a list; of several entries with one name the first stays.
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

/// One address that serves shards.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leaf {
    /// Identifier within the service.
    pub id: LeafId,
    /// Address of the leaf's HTTP listener.
    pub address: SocketAddr,
    /// Failure domain of the leaf.
    pub failure_domain: FailureDomain,
    /// Requests that the leaf works on at once; at least 1.
    pub slots: u32,
    /// Connections that the leaf accepts; at least 1.
    pub connection_limit: u32,
    /// Time that opening a connection takes.
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
    /// Creates a service; of several leafs with one id the first stays.
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

/// The leafs that hold each shard at one index version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardMap {
    service: ServiceName,
    version: IndexVersion,
    /// Sorted by shard, without duplicates.
    replicas: Vec<(ShardId, Vec<LeafId>)>,
}

impl ShardMap {
    /// Creates a shard map; of several entries for one shard the first stays.
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

    /// Returns the leafs that hold a shard; `None` if the version has no such shard.
    #[must_use]
    pub fn replicas(&self, shard: ShardId) -> Option<&[LeafId]> {
        let index = self
            .replicas
            .binary_search_by_key(&shard, |(shard, _)| *shard)
            .ok()?;
        self.replicas.get(index).map(|(_, leafs)| leafs.as_slice())
    }
}

/// The coverage that a team waits for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CoverageTarget {
    /// Waits for every shard until the deadline.
    All,
    /// Is content with this share of the shards, above 0 and below 1.
    MinShare(f64),
}

/// A team's limits and expectations.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamSettings {
    /// Name of the team.
    pub name: TeamName,
    /// Weight in the fair queues; at least 1.
    pub weight: u32,
    /// Queries a second over the whole fleet; at least 1.
    pub rate_limit_per_s: u32,
    /// Queries at once over the whole fleet; at least 1.
    pub concurrency_limit: u32,
    /// Deadline of a query that names none.
    pub deadline_default_ms: u32,
    /// Longest deadline that a query may name; at least the default.
    pub deadline_cap_ms: u32,
    /// Coverage that the team waits for.
    pub coverage_target: CoverageTarget,
    /// False if none of the team's queries is idempotent, whatever the caller says.
    pub repeat_allowed: bool,
}
