//! Choice of the index version that a query is pinned to.

use std::cmp::Ordering;
use std::sync::Arc;

use crate::catalog::ShardMap;
use crate::ids::{IndexVersion, LeafId};

/// Number of servable shards and of all shards of a version; never 0 shards.
#[derive(Debug, Clone, Copy)]
struct ServableShare {
    servable: u64,
    shards: u64,
}

impl ServableShare {
    /// Compares exactly; quotients of floating-point numbers could make equal shares differ.
    fn compare(self, other: Self) -> Ordering {
        (self.servable * other.shards).cmp(&(other.servable * self.shards))
    }
}

/// Chooses the newest version whose share of servable shards is the best among all versions.
///
/// `serves` tells whether a leaf is usable and has not reported the version as gone. Returns `None`
/// if no shard of any version can be served.
#[must_use]
pub fn choose_version(
    maps: &[Arc<ShardMap>],
    serves: impl Fn(&LeafId, IndexVersion) -> bool,
) -> Option<Arc<ShardMap>> {
    let (share, map) = maps
        .iter()
        .filter(|map| !map.shards().is_empty())
        .map(|map| (servable_share(map, &serves), map))
        .max_by(|(a_share, a), (b_share, b)| {
            a_share
                .compare(*b_share)
                .then_with(|| a.version().cmp(&b.version()))
        })?;
    (share.servable > 0).then(|| Arc::clone(map))
}

fn servable_share(
    map: &ShardMap,
    serves: &impl Fn(&LeafId, IndexVersion) -> bool,
) -> ServableShare {
    let is_servable = |replicas: &[LeafId]| replicas.iter().any(|leaf| serves(leaf, map.version()));
    let servable = map
        .shards()
        .iter()
        .filter(|(_, replicas)| is_servable(replicas))
        .count();
    ServableShare {
        servable: servable as u64,
        shards: map.shards().len() as u64,
    }
}
