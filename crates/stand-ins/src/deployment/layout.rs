//! Placement of leafs in failure domains and of shards on leafs.

/// Returns the failure domain of each leaf; the leafs of one domain are consecutive.
pub(super) fn place_leafs(leafs: usize, failure_domains: usize) -> Vec<usize> {
    let used = failure_domains.min(leafs);
    (0..leafs).map(|leaf| leaf * used / leafs).collect()
}

/// Returns the leafs of each shard, by position.
///
/// The shards are partitioned into one block for each domain. Replica `r` of block `b` is placed in
/// domain `b + r`, modulo the number of domains, so replicas are in different domains. Each domain
/// assigns the shards of a block to its leafs in consecutive ranges.
pub(super) fn place_shards(shards: u32, replicas: usize, domains: &[usize]) -> Vec<Vec<usize>> {
    let shards = shards as usize;
    let domain_count = domains.last().map_or(0, |last| last + 1);
    let mut map = vec![Vec::with_capacity(replicas); shards];
    for replica in 0..replicas {
        for domain in 0..domain_count {
            let block = (domain + domain_count - replica) % domain_count;
            let block_shards: Vec<usize> = (0..shards)
                .filter(|shard| shard * domain_count / shards == block)
                .collect();
            let leafs: Vec<usize> = (0..domains.len())
                .filter(|leaf| domains[*leaf] == domain)
                .collect();
            for (position, shard) in block_shards.iter().enumerate() {
                map[*shard].push(leafs[position * leafs.len() / block_shards.len()]);
            }
        }
    }
    map
}
