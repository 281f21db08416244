//! Selection of the index version that a query is pinned to.

use std::cmp::Ordering;
use std::sync::Arc;

use crate::catalog::ShardMap;
use crate::ids::{IndexVersion, LeafId};

/// The share of an index version's shards that can be served, as an exact fraction.
#[derive(Debug, Clone, Copy)]
struct ServableShare {
    servable: u64,
    /// Number of all shards; at least 1.
    shards: u64,
}

impl ServableShare {
    /// Compares without division, whose rounding could make equal shares differ.
    fn compare(self, other: Self) -> Ordering {
        (self.servable * other.shards).cmp(&(other.servable * self.shards))
    }
}

/// Chooses the version with the largest share of servable shards, and the newest one on a tie.
///
/// `serves` returns true if a leaf is usable and has not reported the version as gone. Returns
/// `None` if no shard of any version can be served.
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
