//! Tests of the choice of the index version.

use std::sync::Arc;

use medlarpin_core::prelude::*;
use medlarpin_core::version_choice::choose_version;

/// Builds a shard map with one replica for each shard; each letter of `leafs` is the name of a
/// leaf.
fn map(version: u64, leafs: &str) -> Arc<ShardMap> {
    let replica =
        |(shard, leaf): (u32, char)| (ShardId(shard), vec![LeafId::new(&leaf.to_string())]);
    let replicas = (0..).zip(leafs.chars()).map(replica).collect();
    Arc::new(ShardMap::new("s".into(), IndexVersion(version), replicas))
}

/// Guards against the choice of a version that covers less than another, of an older version with
/// equal coverage, and of a version without coverage. Only leafs with lowercase names serve.
#[test]
fn chooses_the_newest_of_the_best_covered() {
    let check = |maps: &[(u64, &str)], expected: Option<u64>| {
        let built: Vec<_> = maps
            .iter()
            .map(|(version, leafs)| map(*version, leafs))
            .collect();
        let serves = |leaf: &LeafId, _| leaf.as_str().chars().all(char::is_lowercase);
        let chosen = choose_version(&built, serves).map(|map| map.version().0);
        assert_eq!(chosen, expected, "{maps:?}");
    };
    check(&[], None);
    check(&[(1, "")], None);
    check(&[(1, "AB")], None);
    check(&[(2, "ab"), (1, "ab")], Some(2));
    check(&[(1, "ab"), (2, "aB")], Some(1));
    check(&[(1, "aB"), (2, "abCD"), (3, "abCDE")], Some(2));
}
