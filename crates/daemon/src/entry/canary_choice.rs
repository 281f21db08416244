//! Selects the shard and leaf of a canary.

use medlarpin_core::canary::canary_group;
use medlarpin_core::plan::{Batch, Task};
use medlarpin_core::prelude::*;

use crate::entry::group::QueryRoutes;
use crate::view::ServiceView;

/// Selects the canary's shard and leaf; returns `None` if no requested shard has a usable replica.
///
/// Entry daemons that see the same leaf groups choose the same one for a fingerprint, so that one
/// holder runs all its canaries.
pub fn canary_batch<'a>(
    fingerprint: Fingerprint,
    shards: &[ShardId],
    map: &'a ShardMap,
    service: &ServiceView,
    routes: &QueryRoutes,
) -> Option<Batch<'a>> {
    // For each group, the first requested shard with a usable replica in it; sorted by group.
    let mut groups: Vec<(usize, ShardId, &LeafId)> = Vec::new();
    for shard in shards {
        for leaf in usable_replicas(*shard, map, routes) {
            let Some(group) = service.group_of(leaf) else {
                continue;
            };
            if let Err(index) = groups.binary_search_by_key(&group, |(group, ..)| *group) {
                groups.insert(index, (group, *shard, leaf));
            }
        }
    }
    let key = |(group, ..): &(usize, ShardId, &LeafId)| service.groups[*group].key.as_str();
    let keys: Vec<&str> = groups.iter().map(key).collect();
    let (group, shard, leaf) = groups[canary_group(fingerprint, &keys)?];
    let others = usable_replicas(shard, map, routes).filter(|other| *other != leaf);
    Some(Batch {
        group,
        tasks: vec![Task {
            shard,
            leaf,
            alternatives: others.collect(),
        }],
    })
}

fn usable_replicas<'a>(
    shard: ShardId,
    map: &'a ShardMap,
    routes: &QueryRoutes,
) -> impl Iterator<Item = &'a LeafId> {
    let replicas = map.replicas(shard).unwrap_or_default();
    let version = map.version();
    replicas
        .iter()
        .filter(move |leaf| routes.serves(leaf, version))
}
