//! Division of a service's leafs into leaf groups.

use std::fmt;

use crate::catalog::{Leaf, Service};
use crate::ids::{FailureDomain, LeafId, ServiceName};

/// Maximum number of leafs in a group.
pub const MAX_GROUP_SIZE: usize = 16;

/// Identifier of a leaf group.
///
/// It does not depend on the group's leafs, so a change of leafs moves no group to another holder.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId {
    /// Service of the leafs.
    pub service: ServiceName,
    /// Failure domain of the leafs.
    pub failure_domain: FailureDomain,
    /// Index of the group within the service and the failure domain, from 0.
    pub index: u32,
}

impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.service, self.failure_domain, self.index)
    }
}

/// Leafs of one service in one failure domain that always have the same holders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeafGroup {
    id: GroupId,
    /// Sorted by id; at least 1 and at most [`MAX_GROUP_SIZE`].
    leafs: Vec<LeafId>,
}

impl LeafGroup {
    /// Returns the group's identifier.
    #[must_use]
    pub fn id(&self) -> &GroupId {
        &self.id
    }

    /// Returns the group's leafs, sorted by id.
    #[must_use]
    pub fn leafs(&self) -> &[LeafId] {
        &self.leafs
    }

    /// Returns true if the leaf belongs to the group.
    #[must_use]
    pub fn contains(&self, leaf: &LeafId) -> bool {
        self.leafs.binary_search(leaf).is_ok()
    }
}

/// Divides a service's leafs into groups and returns them sorted by identifier.
#[must_use]
pub fn group_leafs(service: &Service) -> Vec<LeafGroup> {
    let mut leafs: Vec<&Leaf> = service.leafs().iter().collect();
    // The sort is stable, so the leafs of a failure domain stay sorted by id.
    leafs.sort_by(|a, b| a.failure_domain.cmp(&b.failure_domain));
    leafs
        .chunk_by(|a, b| a.failure_domain == b.failure_domain)
        .flat_map(|domain| domain.chunks(MAX_GROUP_SIZE).zip(0..))
        .map(|(leafs, index)| LeafGroup {
            id: GroupId {
                service: service.name().clone(),
                failure_domain: leafs[0].failure_domain.clone(),
                index,
            },
            leafs: leafs.iter().map(|leaf| leaf.id.clone()).collect(),
        })
        .collect()
}
